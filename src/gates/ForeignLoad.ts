/**
 * Estimates the foreign work on a runner, which is the work that this gate did not send. It comes from an
 * earlier holder of the gate, or from a second holder while the daemons' member lists differ. It is known from
 * a handover or from the runner's own delayed reports, and the estimate decays with time.
 */

/** Options of a {@link ForeignLoad}. */
export interface ForeignLoadOptions {
  /** Share that is added to the foreign work of a delayed report. */
  margin?: number;
  /** Time without a handover or report after which the estimate has decayed to 0, in milliseconds. */
  decayMilliseconds?: number;
}

/** The other holder may have started more since the report; a quarter is the room that the usual bound leaves. */
const DEFAULT_MARGIN = 0.25;

/** Longer than the duration of almost all requests. */
const DEFAULT_DECAY_MILLISECONDS = 15_000;

/** A difference below this share of the gate's own work is noise, since both are counted at different times. */
const NOISE_SHARE = 0.05;

/** Estimate of the foreign work on one runner, which decays linearly to 0. */
export class ForeignLoad {
  private readonly margin: number;

  private readonly decayMilliseconds: number;

  private work = 0;

  private updatedAt = 0;

  private known = true;

  /**
   * @param options - margin and decay time.
   */
  constructor({
    margin = DEFAULT_MARGIN,
    decayMilliseconds = DEFAULT_DECAY_MILLISECONDS,
  }: ForeignLoadOptions = {}) {
    this.margin = margin;
    this.decayMilliseconds = decayMilliseconds;
  }

  /** @returns Whether a handover or report has arrived since the last {@link ForeignLoad.forget}. */
  get isKnown(): boolean {
    return this.known;
  }

  /** Discards the estimate. Until the next handover or report, the runner may be full. */
  forget(): void {
    this.known = false;
    this.work = 0;
  }

  /**
   * Sets the estimate from a handover.
   *
   * @param now - monotonic milliseconds.
   * @param work - tokens of work that the old holder has on the runner.
   */
  applyHandOver(now: number, work: number): void {
    this.known = true;
    this.work = work;
    this.updatedAt = now;
  }

  /**
   * Sets the estimate from a load report of the runner.
   *
   * @param now - monotonic milliseconds.
   * @param reported - tokens of work that the runner reported.
   * @param own - tokens of work that this gate had sent by the time of the report.
   */
  applyReport(now: number, reported: number, own: number): void {
    const difference = Math.max(0, reported - own);
    const estimate = difference <= own * NOISE_SHARE ? 0 : difference * (1 + this.margin);
    this.work = estimate;
    this.updatedAt = now;
    this.known = true;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Tokens of foreign work that are expected to be left on the runner.
   */
  workAt(now: number): number {
    const left = 1 - (now - this.updatedAt) / this.decayMilliseconds;
    return this.work * Math.max(0, left);
  }
}
