/**
 * Types that describe the work of a request and the load that a runner states.
 */

/** What a runner states about its load in the head of an answer. */
export interface StatedLoad {
  /** Number of requests that it works on. */
  readonly running: number;
  /** Number of requests in its queue. */
  readonly waiting: number;
  /** Number of requests that it can work on at the same time. */
  readonly slots: number;
  /** How long work takes on its instance at present, relative to the usual time; missing if it does not state this. */
  readonly slowdown?: number | undefined;
}

/** A part of a prompt. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Work of a request to a model runner. */
export interface RequestWork {
  /** All parts of the prompt, the outermost first; the last one belongs to this request or its session only. */
  readonly parts: readonly PromptPart[];
  /** Expected number of tokens of the answer. */
  readonly answerTokens: number;
}

/** Largest number of tokens of a request that is believed, well above what any model reads. */
const MAXIMUM_TOKENS = 1_000_000;

/**
 * @param tokens - number of tokens that a caller or a daemon states.
 * @returns A whole number that can be added up and encoded.
 */
export function boundedTokens(tokens: number): number {
  if (Number.isNaN(tokens)) return 0;
  return Math.min(MAXIMUM_TOKENS, Math.max(0, Math.round(tokens)));
}

/**
 * @param work - work of a request.
 * @returns Tokens of its whole prompt.
 */
export function promptTokensOf({ parts }: RequestWork): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
