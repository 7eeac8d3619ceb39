/**
 * Identifies a request over the retries of its caller.
 */
import type { ChoiceQuestion } from '../runners/RunnerChoice.js';

/**
 * @param question - the request.
 * @returns The account and the last part of the prompt; `undefined` for plain requests, which do not say which session they
 * belong to, so that their callers are not recognized.
 */
export function requestSession({
  clientAccount = '',
  work,
}: Pick<ChoiceQuestion, 'clientAccount' | 'work'>): string | undefined {
  const own = work?.parts.at(-1);
  return own && `${clientAccount} ${own.id}`;
}
