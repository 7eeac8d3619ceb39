/**
 * Detects that the machine was suspended.
 *
 * A suspend also stops the monotonic clock, so the membership decisions see no gap in it; only the wall clock
 * jumps. A wall clock that is set forward by hand looks the same. That is harmless: the daemon only stops
 * acting for a short time until peers have answered.
 */
import type { Clock } from '../time/Clock.js';

/** Options of a {@link SuspendDetector}. */
export interface SuspendDetectorOptions {
  clock: Clock;
  /** A larger forward jump of the wall clock relative to the monotonic clock counts as a suspend. */
  thresholdMilliseconds: number;
  /** Called with the length of the suspend. */
  onJump: (milliseconds: number) => void;
}

/** How often the two clocks are compared. */
const CHECK_MILLISECONDS = 1_000;

/** Compares the wall clock with the monotonic clock once a second and reports forward jumps. */
export class SuspendDetector {
  private readonly clock: Clock;

  private readonly thresholdMilliseconds: number;

  private readonly onJump: (milliseconds: number) => void;

  private offset = 0;

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options - the clock, the threshold and the callback.
   */
  constructor({ clock, thresholdMilliseconds, onJump }: SuspendDetectorOptions) {
    this.clock = clock;
    this.thresholdMilliseconds = thresholdMilliseconds;
    this.onJump = onJump;
  }

  /** Starts the comparisons; their timer does not keep the process alive. */
  start(): void {
    this.offset = this.currentOffset();
    this.timer = setInterval(() => this.check(), CHECK_MILLISECONDS);
    this.timer.unref();
  }

  /** Stops the comparisons. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Compares the clocks once and reports a jump above the threshold. */
  check(): void {
    const jump = this.currentOffset() - this.offset;
    this.offset += jump;
    if (jump > this.thresholdMilliseconds) this.onJump(Math.round(jump));
  }

  private currentOffset(): number {
    return this.clock.wallMilliseconds() - this.clock.monotonicMilliseconds();
  }
}
