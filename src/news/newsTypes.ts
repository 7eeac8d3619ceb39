/**
 * What daemons tell each other all the time: the requests that they have at runners, and where shared prompts
 * went. Both are hints: a lost message costs a worse choice, never an answer.
 */

/** Where a shared part of prompts was sent for the first time by this daemon. */
export interface WarmNews {
  readonly key: string;
  readonly runnerId: string;
}

/** One message. */
export interface DaemonNews {
  /** The sender. */
  readonly daemon: string;
  /** Another at each start of the sender; no time of day, which may have been set back meanwhile. */
  readonly life: number;
  /** Grows with each message of a life. */
  readonly number: number;
  /** Requests of the sender at each runner; runners that have none are left out. */
  readonly counts: Readonly<Record<string, number>>;
  readonly warm: readonly WarmNews[];
}
