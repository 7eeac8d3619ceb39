/**
 * Inputs and actions of the failure detector.
 */

/**
 * How a probe ended: the daemon answered; it answered that it is stopping; its host reported that nothing listens
 * there; or there was no answer in time.
 */
export type ProbeOutcome = 'answered' | 'leaving' | 'refused' | 'timeout';

/** Result of a probe, with the called daemon's findings. */
export interface ProbeResult {
  readonly outcome: ProbeOutcome;
  /**
   * Hashes of the names of the daemons that the called one found unresponsive; `undefined` if it is not a
   * broadcaster.
   */
  readonly silent?: readonly number[] | undefined;
}

/**
 * A daemon's opinion of another one: the age of the last message it heard, in ms; `silent` if it has heard nothing
 * for too long; or `unknown` if it cannot tell.
 */
export type LivenessOpinion = number | 'silent' | 'unknown';

/** A daemon's opinions of the daemons that it was asked about, by name. */
export type LivenessOpinions = Readonly<Record<string, LivenessOpinion>>;

/** An action that the owner of the decisions has to carry out. */
export type LivenessAction =
  /** Probe the daemon and report the result. */
  | { readonly kind: 'probe'; readonly daemon: string }
  /** Ask the helper about the daemons and report its answer. */
  | { readonly kind: 'ask'; readonly helper: string; readonly daemons: readonly string[] }
  /** Broadcast the hashes of the names of the daemons that this one found unresponsive. */
  | { readonly kind: 'tell'; readonly silent: readonly number[] }
  /** Daemons have become unavailable (`silent`) or available again (`back`). */
  | {
      readonly kind: 'changed';
      readonly silent: readonly string[];
      readonly back: readonly string[];
    };

/** The listed daemons, and this daemon's part in detecting their failures. */
export interface LivenessDuties {
  /** Names of all listed daemons. */
  readonly listed: readonly string[];
  /**
   * Names of the daemons that send messages to this one unasked, and whose silence it can therefore observe.
   */
  readonly watched: readonly string[];
  /** Names of the daemons that watch the same ones, and can be asked about a suspected one. */
  readonly witnesses: readonly string[];
  /**
   * Names of the daemons that broadcast to this one which daemons are unresponsive; empty if it watches all daemons
   * itself.
   */
  readonly tellers: readonly string[];
  /** Whether this daemon broadcasts to the others which daemons it found unresponsive. */
  readonly isTelling: boolean;
}
