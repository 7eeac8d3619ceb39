/**
 * Estimates how long it takes to move a KV cache and how long to rebuild it, corrected by measured moves.
 */

/** The properties of a cache that its estimate depends on. */
export interface EstimatedCache {
  readonly cachedTokens: number;
  /** Prefill rate of the receiving runner, in prompt tokens a second; 0 if it is not known. */
  readonly prefillTokensPerSecond: number;
}

/** Measurement of a completed move. */
export interface MeasuredMove {
  readonly tokens: number;
  readonly bytes: number;
  readonly milliseconds: number;
}

/** Options of a {@link CacheMoveEstimate}. */
export interface CacheMoveEstimateOptions {
  /** Size of the KV cache of one token, in bytes, until a move has measured it. */
  bytesPerToken?: number;
  /** Transfer rate in bytes a second, until a move has measured it. */
  bytesPerSecond?: number;
  /** Prefill rate in prompt tokens a second, for runners whose own rate is not known. */
  prefillTokensPerSecond?: number;
}

const DEFAULT_BYTES_PER_TOKEN = 131_072;
const DEFAULT_BYTES_PER_SECOND = 1_000_000_000;
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 10_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Time that each move takes for calls and scheduling, whatever its size. */
const FIXED_MOVE_MILLISECONDS = 20;

/** Rebuilding must take this many times longer, since the estimate is rough and a move uses shared bandwidth. */
const MINIMUM_SPEEDUP = 1.25;

/** Weight of the newest measurement in the exponentially weighted mean. */
const MEASUREMENT_WEIGHT = 0.3;

/** Estimates move and rebuild times for one daemon. */
export class CacheMoveEstimate {
  private readonly prefillTokensPerSecond: number;

  private bytesPerToken: number;

  private bytesPerSecond: number;

  /**
   * @param options - initial estimates.
   */
  constructor({
    bytesPerToken = DEFAULT_BYTES_PER_TOKEN,
    bytesPerSecond = DEFAULT_BYTES_PER_SECOND,
    prefillTokensPerSecond = DEFAULT_PREFILL_TOKENS_PER_SECOND,
  }: CacheMoveEstimateOptions) {
    this.bytesPerToken = bytesPerToken;
    this.bytesPerSecond = bytesPerSecond;
    this.prefillTokensPerSecond = prefillTokensPerSecond;
  }

  /**
   * @param cache - a cache that could be moved.
   * @returns Whether moving it is clearly faster than rebuilding it.
   */
  isWorthMoving(cache: EstimatedCache): boolean {
    return this.moveMilliseconds(cache) * MINIMUM_SPEEDUP < this.rebuildMilliseconds(cache);
  }

  /**
   * @param cache - a cache that could be moved.
   * @returns Expected duration of the move, in milliseconds.
   */
  moveMilliseconds({ cachedTokens }: EstimatedCache): number {
    const bytes = cachedTokens * this.bytesPerToken;
    return FIXED_MOVE_MILLISECONDS + (bytes * MILLISECONDS_PER_SECOND) / this.bytesPerSecond;
  }

  /**
   * @param cache - a cache that could be moved.
   * @returns Expected duration of the rebuild, in milliseconds.
   */
  rebuildMilliseconds({ cachedTokens, prefillTokensPerSecond }: EstimatedCache): number {
    const rate = prefillTokensPerSecond || this.prefillTokensPerSecond;
    return (cachedTokens * MILLISECONDS_PER_SECOND) / rate;
  }

  /**
   * Corrects the estimate by one measurement. A single move is a noisy sample, so it has a small weight.
   *
   * @param move - the measured move.
   */
  addMeasurement(move: MeasuredMove): void {
    this.applyMeasurement(move, MEASUREMENT_WEIGHT);
  }

  /**
   * Replaces the estimate by the measurement of a trial move.
   *
   * @param move - the measured move.
   */
  resetToMeasurement(move: MeasuredMove): void {
    this.applyMeasurement(move, 1);
  }

  private applyMeasurement({ tokens, bytes, milliseconds }: MeasuredMove, weight: number): void {
    const transferring = Math.max(1, milliseconds - FIXED_MOVE_MILLISECONDS);
    const bytesPerSecond = (bytes * MILLISECONDS_PER_SECOND) / transferring;
    this.bytesPerToken += weight * (bytes / Math.max(1, tokens) - this.bytesPerToken);
    this.bytesPerSecond += weight * (bytesPerSecond - this.bytesPerSecond);
  }
}
