/**
 * Which daemons are in touch: promises with a bound in time hold for these.
 */
import type { FaultHistory, FaultKind } from '../FaultHistory.js';
import type { SoakDaemon } from '../SoakDaemon.js';
import { CONTACT_MILLISECONDS } from '../soakBounds.js';

/** A reload of settings and a runner's end touch no daemon. */
const TOUCHING: readonly FaultKind[] = [
  'stall',
  'break',
  'silence',
  'cut',
  'kill',
  'stop',
  'pause',
  'store',
];

/** Looks at the faults of the time before. */
export class Contact {
  private readonly history: FaultHistory;

  private readonly daemons: readonly SoakDaemon[];

  /**
   * @param history - all faults.
   * @param daemons - all daemons.
   */
  constructor(history: FaultHistory, daemons: readonly SoakDaemon[]) {
    this.history = history;
    this.daemons = daemons;
  }

  /**
   * @param index - of a daemon.
   * @param from - monotonic ms.
   * @param to - monotonic ms.
   * @returns Whether its process ran and no fault touched it, its link or the store, from some time before on.
   */
  holds(index: number, from: number, to: number): boolean {
    const since = from - CONTACT_MILLISECONDS;
    const touching = this.history
      .during(TOUCHING, since, to)
      .some(({ daemon }) => daemon === undefined || daemon === index);
    return !touching && this.daemons[index]?.wasUp(since, to) === true;
  }
}
