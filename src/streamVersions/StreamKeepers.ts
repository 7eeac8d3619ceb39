/**
 * Determines which daemons keep the record of a stream, and in which order they are asked for it.
 */
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { DaemonEntry } from '../sync/FleetStore.js';

/** Largest fleet in which all daemons keep all records: any of them may be the only one that is left. */
const LARGEST_FLEET_OF_KEEPERS = 16;

/** Number of daemons that keep a record in a larger fleet; with half of them lost, one in sixteen records is. */
const KEEPERS = 4;

/** Number of daemons that are asked at most; after a change of the list, keepers are a few places further on. */
const MAXIMUM_ASKED = 24;

/** Streams are ordered by groups, because ordering hundreds of daemons for each stream takes too long. */
const GROUPS = 256n;

/** The order of all daemons for each group of streams. */
export class StreamKeepers {
  private readonly orders = new Map<bigint, readonly DaemonEntry[]>();

  private daemons: readonly DaemonEntry[] = [];

  /**
   * Replaces the list of daemons.
   *
   * @param daemons - the available daemons, this one included.
   */
  update(daemons: readonly DaemonEntry[]): void {
    const isSame =
      daemons.length === this.daemons.length &&
      daemons.every(({ name }, index) => name === this.daemons[index]?.name);
    this.daemons = daemons;
    if (!isSame) this.orders.clear();
  }

  /**
   * @param stream - key of a stream.
   * @returns The daemons that keep its record.
   */
  keepersOf(stream: bigint): readonly DaemonEntry[] {
    const isSmall = this.daemons.length <= LARGEST_FLEET_OF_KEEPERS;
    return isSmall ? this.daemons : this.orderOf(stream).slice(0, KEEPERS);
  }

  /**
   * @param stream - key of a stream.
   * @returns All daemons that may be asked for its record, its keepers first.
   */
  askableFor(stream: bigint): readonly DaemonEntry[] {
    return this.orderOf(stream).slice(0, MAXIMUM_ASKED);
  }

  private orderOf(stream: bigint): readonly DaemonEntry[] {
    const group = stream % GROUPS;
    const known = this.orders.get(group);
    if (known) return known;
    const named = this.daemons.map((daemon) => ({ id: daemon.name, daemon }));
    const order = rendezvousOrder(`streams ${group}`, named).map(({ daemon }) => daemon);
    this.orders.set(group, order);
    return order;
  }
}
