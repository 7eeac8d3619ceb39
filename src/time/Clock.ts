/**
 * The clock that tasks read. Decision functions never hold a clock: they get the time as an argument, so that they can be
 * tested and replayed.
 */
export abstract class Clock {
  /**
   * Reads a clock that never jumps, for timeouts, leases and ages.
   *
   * @returns Milliseconds since an arbitrary point in this process.
   */
  abstract monotonicMilliseconds(): number;

  /**
   * Reads the time of day, for output to people and for tokens that other daemons check.
   *
   * @returns Milliseconds since 1970-01-01T00:00Z.
   */
  abstract wallMilliseconds(): number;
}
