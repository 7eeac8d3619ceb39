/**
 * Determines which daemons keep the record of a stream, and in which order they are asked for it.
 */
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { bucketOf, STREAM_BUCKETS } from './streamBuckets.js';

/** Largest fleet in which all daemons keep all records: any of them may be the only one that is left. */
const LARGEST_FLEET_OF_KEEPERS = 16;

/** Number of daemons that keep a record in a larger fleet; with half of them lost, one in sixteen records is. */
const KEEPERS = 4;

/**
 * Number of daemons of a small fleet that get the records of another one before the rest do. Where half of the fleet is
 * lost, all of them are lost in one of eight cases at most.
 */
const FIRST_KEEPERS = 3;

/** Number of daemons that are asked at most; after a change of the list, keepers are a few places further on. */
const MAXIMUM_ASKED = 24;

/** Daemons that write a bucket to the store; if one ends, what it has not written yet is not lost. */
const WRITERS_OF_BUCKET = 2;

/** Daemons of the fleet for each one that writes to the store, which takes some hundred writes a second of all. */
const DAEMONS_FOR_WRITER = 24;

/**
 * Fewest daemons that write to the store where not all daemons keep all records: with half of the fleet lost, those of all
 * buckets would too often be among them.
 */
const FEWEST_WRITERS_OF_LARGE_FLEET = 4;

/** Shortest time between two writes of one daemon, in ms, and its growth with the number of daemons that write. */
const SHORTEST_WRITE_MILLISECONDS = 100;
const WRITE_MILLISECONDS_FOR_WRITER = 20;

/** Streams are ordered by groups, because ordering hundreds of daemons for each stream takes too long. */
const GROUPS = 256n;

/** The order of all daemons for each group of streams. */
export class StreamKeepers {
  private readonly orders = new Map<bigint, readonly DaemonEntry[]>();

  private readonly firstKeepers = new Map<string, readonly DaemonEntry[]>();

  private daemons: readonly DaemonEntry[] = [];

  /** The daemons that write to the store, in their order. */
  private writers: readonly DaemonEntry[] = [];

  /**
   * Replaces the list of daemons.
   *
   * @param daemons - the available daemons, this one included.
   */
  update(daemons: readonly DaemonEntry[]): void {
    const isSame =
      daemons.length === this.daemons.length &&
      daemons.every(({ name, newsAddress }, index) => {
        const known = this.daemons[index];
        return name === known?.name && newsAddress === known.newsAddress;
      });
    this.daemons = daemons;
    if (isSame) return;
    this.orders.clear();
    this.firstKeepers.clear();
    const fewest = this.isSmall ? WRITERS_OF_BUCKET : FEWEST_WRITERS_OF_LARGE_FLEET;
    const count = Math.ceil(daemons.length / DAEMONS_FOR_WRITER);
    const writers = Math.min(Math.max(count, fewest), STREAM_BUCKETS);
    this.writers = this.orderFor('stream writers').slice(0, writers);
  }

  /** @returns Whether every daemon keeps the records of all streams. */
  get isSmall(): boolean {
    return this.daemons.length <= LARGEST_FLEET_OF_KEEPERS;
  }

  /**
   * @param stream - key of a stream.
   * @returns The daemons that keep its record.
   */
  keepersOf(stream: bigint): readonly DaemonEntry[] {
    return this.isSmall ? this.daemons : this.orderOf(stream).slice(0, KEEPERS);
  }

  /**
   * @param daemon - name of a daemon of a small fleet.
   * @returns The other daemons that get its records first: few, so that they can be told often.
   */
  firstKeepersOf(daemon: string): readonly DaemonEntry[] {
    const known = this.firstKeepers.get(daemon);
    if (known) return known;
    const others = this.orderFor(`first keepers of ${daemon}`).filter(
      ({ name }) => name !== daemon,
    );
    const first = others.slice(0, FIRST_KEEPERS);
    this.firstKeepers.set(daemon, first);
    return first;
  }

  /** @returns Shortest time between two writes of a daemon to the store, in ms; the store's rate is shared by all. */
  get writeMilliseconds(): number {
    return Math.max(
      SHORTEST_WRITE_MILLISECONDS,
      this.writers.length * WRITE_MILLISECONDS_FOR_WRITER,
    );
  }

  /**
   * @param stream - key of a stream.
   * @returns The daemons that keep its record, and those that write it to the store.
   */
  holdersOf(stream: bigint): readonly DaemonEntry[] {
    const writers = this.isSmall ? [] : this.writersOf(bucketOf(stream));
    return [...new Set([...this.keepersOf(stream), ...writers])];
  }

  /**
   * @param bucket - number of a bucket.
   * @returns The daemons that write its records to the store.
   */
  writersOf(bucket: number): readonly DaemonEntry[] {
    const { writers } = this;
    const places = Array.from({ length: WRITERS_OF_BUCKET }, (_, place) => bucket + place);
    const chosen = places.map((place) => writers[place % writers.length]);
    return [...new Set(chosen)].filter((writer) => writer !== undefined);
  }

  /**
   * @param name - name of a daemon.
   * @returns The buckets that it writes to the store.
   */
  bucketsOf(name: string): ReadonlySet<number> {
    const all = Array.from({ length: STREAM_BUCKETS }, (_, bucket) => bucket);
    return new Set(all.filter((bucket) => this.writersOf(bucket).some((one) => one.name === name)));
  }

  /**
   * Fewer entries are written where few daemons write: buckets with the same writers share the keys of the first one.
   *
   * @param bucket - number of a bucket.
   * @returns The first bucket with the same writers.
   */
  keyBucketOf(bucket: number): number {
    return this.writers.length > 0 ? bucket % this.writers.length : bucket;
  }

  /**
   * @param name - name of a daemon.
   * @returns The buckets whose keys it reads at its start; all in a fleet whose records fit into a few pages.
   */
  readBucketsOf(name: string): readonly number[] | 'all' {
    const isWriter = this.writerPlaceOf(name) >= 0;
    if (this.isSmall || (isWriter && this.writers.length < STREAM_BUCKETS)) return 'all';
    return isWriter ? [...this.bucketsOf(name)] : [];
  }

  /**
   * @param name - name of a daemon.
   * @returns Its place among the daemons that write to the store, from 0; -1 if it is none of them.
   */
  writerPlaceOf(name: string): number {
    return this.writers.findIndex((writer) => writer.name === name);
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
    const order = this.orderFor(`streams ${group}`);
    this.orders.set(group, order);
    return order;
  }

  private orderFor(key: string): readonly DaemonEntry[] {
    const named = this.daemons.map((daemon) => ({ id: daemon.name, daemon }));
    return rendezvousOrder(key, named).map(({ daemon }) => daemon);
  }
}
