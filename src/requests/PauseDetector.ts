/**
 * Detects that this process was paused, so that messages which may have waited during the pause
 * count as older.
 *
 * Deadlines between daemons are durations, because their clocks need not agree. A daemon that was
 * paused for five seconds finds requests in its sockets which still claim their full time; it
 * would start work whose caller has stopped waiting. A heartbeat measures the gap, and the gap is
 * subtracted from deadlines for a while after the pause.
 */

/** Options of a {@link PauseDetector}. */
export interface PauseDetectorOptions {
  /** Interval between calls of {@link PauseDetector.recordHeartbeat}, in milliseconds. */
  heartbeatMilliseconds?: number;
  /** Gap between heartbeats that counts as a pause, in milliseconds. */
  pauseMilliseconds?: number;
  /** How long after a pause messages from before its end may still arrive, in milliseconds. */
  settleMilliseconds?: number;
}

/** Default of {@link PauseDetectorOptions.heartbeatMilliseconds}. */
export const DEFAULT_HEARTBEAT_MILLISECONDS = 250;

const DEFAULT_PAUSE_MILLISECONDS = 1_000;
const DEFAULT_SETTLE_MILLISECONDS = 1_000;

/** Computes pauses from the gaps between heartbeats, in monotonic milliseconds. */
export class PauseDetector {
  private readonly pauseMilliseconds: number;

  private readonly settleMilliseconds: number;

  private lastHeartbeatAt: number | undefined;

  private pauseDuration = 0;

  private pauseCountsUntil = 0;

  /**
   * @param options - heartbeat interval and thresholds.
   */
  constructor({
    heartbeatMilliseconds = DEFAULT_HEARTBEAT_MILLISECONDS,
    pauseMilliseconds = DEFAULT_PAUSE_MILLISECONDS,
    settleMilliseconds = DEFAULT_SETTLE_MILLISECONDS,
  }: PauseDetectorOptions = {}) {
    this.pauseMilliseconds = Math.max(pauseMilliseconds, 2 * heartbeatMilliseconds);
    this.settleMilliseconds = settleMilliseconds;
  }

  /**
   * Records a heartbeat.
   *
   * @param now - monotonic milliseconds.
   * @returns The length of the pause that ended with this heartbeat in milliseconds, 0 for none.
   */
  recordHeartbeat(now: number): number {
    const gap = this.lastHeartbeatAt === undefined ? 0 : now - this.lastHeartbeatAt;
    this.lastHeartbeatAt = now;
    if (gap < this.pauseMilliseconds) return 0;
    this.pauseDuration = gap;
    this.pauseCountsUntil = now + this.settleMilliseconds;
    return gap;
  }

  /**
   * Returns how long a message that is read now may have waited for this process. After a pause,
   * sockets may be served before the heartbeat timer, so a gap that no heartbeat has recorded yet
   * counts too.
   *
   * @param now - monotonic milliseconds.
   * @returns Milliseconds to subtract from the message's deadline.
   */
  possibleDelay(now: number): number {
    const gap = this.lastHeartbeatAt === undefined ? 0 : now - this.lastHeartbeatAt;
    if (gap >= this.pauseMilliseconds) return gap;
    return now < this.pauseCountsUntil ? this.pauseDuration : 0;
  }
}
