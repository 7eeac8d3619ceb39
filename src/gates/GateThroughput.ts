/**
 * Measures the throughput of a gate's runner and derives expected waits from it.
 */
import { ThroughputMeter } from './ThroughputMeter.js';

/** Initial rates, used until the throughput of the runner has been measured. */
const INITIAL_TOKENS_PER_MILLISECOND = 1;
const INITIAL_REQUESTS_PER_MILLISECOND = 1 / 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Measures the rates at which tokens of work and requests leave one runner. */
export class GateThroughput {
  private readonly tokens = new ThroughputMeter({ initialRate: INITIAL_TOKENS_PER_MILLISECOND });

  private readonly requests = new ThroughputMeter({
    initialRate: INITIAL_REQUESTS_PER_MILLISECOND,
  });

  /** @returns Measured tokens of work a second; an initial rate until enough has been measured. */
  get tokensPerSecond(): number {
    return this.tokens.rate() * MILLISECONDS_PER_SECOND;
  }

  /** @returns Average milliseconds between two completed requests. */
  get millisecondsPerRequest(): number {
    return 1 / this.requests.rate();
  }

  /**
   * Advances the measurement to the given time.
   *
   * @param now - monotonic milliseconds.
   * @param busy - whether the runner had work since the last call.
   */
  advance(now: number, busy: boolean): void {
    this.tokens.advance(now, busy);
    this.requests.advance(now, busy);
  }

  /**
   * Sets the token rate that is used until enough has been measured.
   *
   * @param tokensPerSecond - rate that the runner reported.
   */
  setInitialTokenRate(tokensPerSecond: number): void {
    this.tokens.setInitialRate(tokensPerSecond / MILLISECONDS_PER_SECOND);
  }

  /**
   * Counts work that the runner has done.
   *
   * @param tokens - tokens of work; negative if a count was corrected upwards, which is ignored.
   */
  recordWork(tokens: number): void {
    this.tokens.add(Math.max(0, tokens));
  }

  /** Counts one completed request. */
  recordCompletion(): void {
    this.requests.add(1);
  }

  /**
   * Estimates how long it takes until the given work has left the runner.
   *
   * @param surplusTokens - tokens of work that must leave first.
   * @param surplusRequests - number of requests that must leave first.
   * @returns Milliseconds, 0 or more.
   */
  expectedWait(surplusTokens: number, surplusRequests: number): number {
    return Math.max(0, surplusTokens / this.tokens.rate(), surplusRequests / this.requests.rate());
  }
}
