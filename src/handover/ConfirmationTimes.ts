/**
 * How long other daemons take to confirm that they would take a request, so that busy ones are not asked in vain.
 *
 * What fails without it: in a fleet that is short of processor time, each daemon confirms a little later than it is waited
 * for. Every request is offered to several daemons and taken by none, and those offers keep the daemons busy.
 */

/** Shortest time after which another daemon is asked as well, in ms: a round trip and its queue. */
const SHORTEST_MILLISECONDS = 150;

/** Longest such time, in ms; with it, two daemons can be asked within the shortest deadlines of most services. */
const LONGEST_MILLISECONDS = 400;

/** Multiple of the usual time after which a confirmation is late. */
const LATE_FACTOR = 2;

/** Weight of the latest confirmation. */
const WEIGHT = 0.2;

/** Moving average of the times. */
export class ConfirmationTimes {
  private usualMilliseconds = 0;

  /** @returns Time after which another daemon is asked as well, in ms. */
  get delayMilliseconds(): number {
    const late = this.usualMilliseconds * LATE_FACTOR;
    return Math.min(LONGEST_MILLISECONDS, Math.max(SHORTEST_MILLISECONDS, late));
  }

  /**
   * @param milliseconds - time that a daemon took to confirm, late or not.
   */
  record(milliseconds: number): void {
    this.usualMilliseconds += WEIGHT * (milliseconds - this.usualMilliseconds);
  }
}
