/**
 * Counts calls to the store as its rate limit does: each call, and each open watch as one call.
 */
import type { Clock } from '../time/Clock.js';

/** The operations of a store that are counted. */
export type CountedOperation =
  'get' | 'range' | 'transact' | 'grantLease' | 'renewLease' | 'revokeLease' | 'watch';

/** The counts of a {@link PlatformCallMeter}. */
export interface PlatformCallCounts {
  /** Calls since the start, by operation; for `watch` the number of watches that were opened. */
  readonly totals: Readonly<Record<CountedOperation, number>>;
  /** Watches that are open now. */
  readonly waitingWatches: number;
  /** Calls per second over the last {@link METER_WINDOW_SECONDS}, plus one for each open watch. */
  readonly callsPerSecond: number;
}

/** Length of the window over which the call rate is averaged, in seconds. */
export const METER_WINDOW_SECONDS = 10;

const MILLISECONDS_PER_SECOND = 1000;

/** Options of a {@link PlatformCallMeter}. */
export interface PlatformCallMeterOptions {
  clock: Clock;
}

/** Counts all calls of a daemon to the store. */
export class PlatformCallMeter {
  private readonly clock: Clock;

  private readonly totals: Record<CountedOperation, number> = {
    get: 0,
    range: 0,
    transact: 0,
    grantLease: 0,
    renewLease: 0,
    revokeLease: 0,
    watch: 0,
  };

  /** Calls by second of the monotonic clock, only for the seconds within the window. */
  private readonly bySecond = new Map<number, number>();

  private waitingWatches = 0;

  /**
   * @param options - the clock that gives the seconds.
   */
  constructor({ clock }: PlatformCallMeterOptions) {
    this.clock = clock;
  }

  /**
   * Counts a call.
   *
   * @param operation - the call that is about to be sent.
   */
  count(operation: CountedOperation): void {
    this.totals[operation] += 1;
    const second = this.second();
    this.bySecond.set(second, (this.bySecond.get(second) ?? 0) + 1);
    this.forgetBefore(second - METER_WINDOW_SECONDS);
  }

  /**
   * Counts a watch as opened.
   *
   * @returns A function that counts it as ended; calling it again has no effect.
   */
  openWatch(): () => void {
    this.count('watch');
    this.waitingWatches += 1;
    let open = true;
    return () => {
      if (!open) return;
      open = false;
      this.waitingWatches -= 1;
    };
  }

  /** @returns The counts until now. */
  read(): PlatformCallCounts {
    const second = this.second();
    this.forgetBefore(second - METER_WINDOW_SECONDS);
    const recent = [...this.bySecond.values()].reduce((sum, calls) => sum + calls, 0);
    return {
      totals: { ...this.totals },
      waitingWatches: this.waitingWatches,
      callsPerSecond: recent / METER_WINDOW_SECONDS + this.waitingWatches,
    };
  }

  private second(): number {
    return Math.floor(this.clock.monotonicMilliseconds() / MILLISECONDS_PER_SECOND);
  }

  private forgetBefore(second: number): void {
    [...this.bySecond.keys()]
      .filter((key) => key <= second)
      .forEach((key) => this.bySecond.delete(key));
  }
}
