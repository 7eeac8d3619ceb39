/**
 * Determines which daemons are connected to all others; promises with a time bound hold for these only.
 */
import type { FaultHistory, FaultKind } from '../FaultHistory.js';
import type { SoakDaemon } from '../SoakDaemon.js';
import { CONTACT_MILLISECONDS } from '../soakBounds.js';

/** Faults that may disconnect a daemon; a reload of settings and the end of a runner do not. */
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

/** Answers from the faults of the preceding seconds. */
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
   * @param index - position of a daemon.
   * @param from - start of the period, monotonic ms.
   * @param to - end of the period, monotonic ms.
   * @returns Whether its process ran and no fault affected it, its link or the store, from some time before the period on.
   */
  holds(index: number, from: number, to: number): boolean {
    const since = from - CONTACT_MILLISECONDS;
    const touching = this.history
      .during(TOUCHING, since, to)
      .some(({ daemon }) => daemon === undefined || daemon === index);
    return !touching && this.daemons[index]?.wasUp(since, to) === true;
  }
}
