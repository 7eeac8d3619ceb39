/**
 * Estimates how long work takes at one runner, relative to the usual runner of its service.
 *
 * A runner states how busy its instance is, which changes several times a second, so that statement is trusted for less
 * than a second. What it does not state, such as slower hardware, shows in the time between the events of its streams.
 */

/** Options of a {@link RunnerSpeed}. */
export interface RunnerSpeedOptions {
  /** Time after which a statement counts for nothing, in ms. */
  statementMilliseconds?: number;
  /** Number of streams after which the observed time between events counts fully. */
  confidentSamples?: number;
}

/** Noise on a runner's instance lasts about this long, in ms. */
const STATEMENT_MILLISECONDS = 600;

/**
 * Time constant of the mean of a runner's statements, to which a statement decays where streams show nothing, in ms. One
 * statement moves it little, so that a forged or stale one is forgotten.
 */
const MEAN_MILLISECONDS = 3_000;

/** With fewer streams, a few slow ones would make a runner look slow. */
const CONFIDENT_SAMPLES = 12;

/** Weight of a new sample in the moving average once it is confident. */
const SAMPLE_WEIGHT = 0.1;

/** Range of statements that are believed; a runner is never trusted to be much faster than others. */
const FASTEST_STATED = 0.2;
const SLOWEST_STATED = 20;

/** Range of the long-term figure. */
const FASTEST_OBSERVED = 0.5;
const SLOWEST_OBSERVED = 4;

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}

/** What is known of the speed of one incarnation of a runner. */
export class RunnerSpeed {
  private readonly statementMilliseconds: number;

  private readonly confidentSamples: number;

  private stated = 1;

  /** Mean of the statements, by the time for which they were in force. */
  private meanStated = 1;

  private statedAt = Number.NEGATIVE_INFINITY;

  private eventMilliseconds = 0;

  private samples = 0;

  /**
   * @param options - how far statements and observations are trusted.
   */
  constructor({
    statementMilliseconds = STATEMENT_MILLISECONDS,
    confidentSamples = CONFIDENT_SAMPLES,
  }: RunnerSpeedOptions = {}) {
    this.statementMilliseconds = statementMilliseconds;
    this.confidentSamples = confidentSamples;
  }

  /** @returns When the runner last stated its slowdown, monotonic ms. */
  get lastStatedAt(): number {
    return this.statedAt;
  }

  /** @returns The slowdown that the runner stated last. */
  get lastStated(): number {
    return this.stated;
  }

  /** @returns Mean time between events of its streams, in ms; `undefined` before there are enough of them. */
  get confidentEventMilliseconds(): number | undefined {
    return this.samples >= this.confidentSamples ? this.eventMilliseconds : undefined;
  }

  /**
   * Records a statement of the runner; an older one than the last is ignored.
   *
   * @param slowdown - how long work takes on its instance, relative to the usual time.
   * @param at - when it was stated, monotonic ms.
   */
  recordStated(slowdown: number, at: number): void {
    if (at < this.statedAt || !Number.isFinite(slowdown) || slowdown <= 0) return;
    this.stated = clamp(slowdown, FASTEST_STATED, SLOWEST_STATED);
    const inForce = Math.min(this.statementMilliseconds, at - this.statedAt);
    const weight = Number.isFinite(this.statedAt) ? 1 - Math.exp(-inForce / MEAN_MILLISECONDS) : 0;
    this.meanStated += weight * (this.stated - this.meanStated);
    this.statedAt = at;
  }

  /**
   * Records the pace of a stream.
   *
   * @param milliseconds - mean time between its events.
   */
  recordEventPace(milliseconds: number): void {
    if (!Number.isFinite(milliseconds) || milliseconds <= 0) return;
    this.samples += 1;
    const weight = Math.max(SAMPLE_WEIGHT, 1 / this.samples);
    this.eventMilliseconds += weight * (milliseconds - this.eventMilliseconds);
  }

  /**
   * @param medianEventMilliseconds - median over the runners of the service; `undefined` if it is unknown.
   * @param now - monotonic ms.
   * @returns Factor by which work takes longer than usual; above 0.
   */
  slowdownAt(medianEventMilliseconds: number | undefined, now: number): number {
    const trust = Math.max(0, 1 - (now - this.statedAt) / this.statementMilliseconds);
    const observed = this.observedSlowdown(medianEventMilliseconds);
    if (observed !== undefined) return observed * (1 + trust * (this.stated - 1));
    return this.meanStated + trust * (this.stated - this.meanStated);
  }

  private observedSlowdown(median: number | undefined): number | undefined {
    const own = this.confidentEventMilliseconds;
    if (own === undefined || !median) return undefined;
    return clamp(own / median, FASTEST_OBSERVED, SLOWEST_OBSERVED);
  }
}
