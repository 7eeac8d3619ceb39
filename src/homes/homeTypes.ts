/**
 * The messages and actions of the directory of a chat home.
 */

/** A runner that has a chat's prefix cached, as last reported to the chat's home. */
export interface WarmRunnerEntry {
  readonly runnerId: string;
  readonly cachedTokens: number;
  /** Time since the report. */
  readonly ageMilliseconds: number;
}

/** Inputs of the directory: a lookup, an update, a cleared runner or a clock tick. */
export type HomeMessage =
  | {
      readonly kind: 'ask';
      /** Identifies the answer of this lookup. */
      readonly question: string;
      readonly service: string;
      readonly chat: string;
    }
  | {
      readonly kind: 'tell';
      readonly service: string;
      readonly chat: string;
      readonly runnerId: string;
      /** 0 means that the runner has evicted the prefix. */
      readonly cachedTokens: number;
    }
  /** A runner restarted or lost its whole cache. */
  | { readonly kind: 'runner_cleared'; readonly runnerId: string }
  | { readonly kind: 'tick' };

/** Output of the directory: the answer of a lookup. */
export interface HomeAction {
  readonly kind: 'answer';
  readonly question: string;
  /** Those with the most cached tokens first. */
  readonly warm: readonly WarmRunnerEntry[];
}
