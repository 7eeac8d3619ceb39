/**
 * What the failure detector is told and asks for.
 */

/**
 * How a probe ended: the daemon answered, its host said that nothing listens there, or nobody said anything in time.
 */
export type ProbeOutcome = 'answered' | 'leaving' | 'refused' | 'timeout';

/** How a call ended, and what the called daemon tells. */
export interface ProbeResult {
  readonly outcome: ProbeOutcome;
  /** Hashes of those that it has found silent, where it is one of those that tell the others. */
  readonly silent?: readonly number[] | undefined;
}

/**
 * What a daemon says of another one: the age of what it heard last in ms, that it has heard nothing for too long, or
 * that it cannot tell.
 */
export type LivenessOpinion = number | 'silent' | 'unknown';

/** What a daemon says of those that it was asked about, by name. */
export type LivenessOpinions = Readonly<Record<string, LivenessOpinion>>;

/** Something that the owner of the decisions has to do. */
export type LivenessAction =
  /** Call the daemon, and report how that ended. */
  | { readonly kind: 'probe'; readonly daemon: string }
  /** Ask one daemon about others, and report its answer. */
  | { readonly kind: 'ask'; readonly helper: string; readonly daemons: readonly string[] }
  /** Send all other daemons the hashes of those that this one has found silent. */
  | { readonly kind: 'tell'; readonly silent: readonly number[] }
  /** Daemons are out of use from now on, or are back. */
  | {
      readonly kind: 'changed';
      readonly silent: readonly string[];
      readonly back: readonly string[];
    };

/** Who is there, and what this daemon has to do about it. */
export interface LivenessDuties {
  /** Names of all listed daemons. */
  readonly listed: readonly string[];
  /** Names of those that send this daemon messages without being asked. */
  readonly watched: readonly string[];
  /** Names of those that watch the same daemons. */
  readonly witnesses: readonly string[];
  /** Names of those that tell this daemon who is silent; none where it watches all itself. */
  readonly tellers: readonly string[];
  /** Whether this daemon tells the others whom it has found silent. */
  readonly isTelling: boolean;
}
