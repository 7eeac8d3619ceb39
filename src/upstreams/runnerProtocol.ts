/**
 * Names of headers and events in the protocol that gates assume of runners, which docs/INTERFACES.md documents.
 */

/** Header with the id of the attempt; a runner echoes it in every answer. */
export const ATTEMPT_ID_HEADER = 'x-attempt-id';

/** Header with the priority: `urgent`, `standard` or `background`. */
export const PRIORITY_HEADER = 'x-priority';

/** Header with the number of milliseconds until the deadline, after which the answer is of no use. */
export const DEADLINE_HEADER = 'x-deadline-milliseconds';

/** Header with the name of the chat, which is the key of the runner's prefix cache. */
export const CHAT_HEADER = 'x-chat';

/** Header with the number of prompt tokens that were cached when the attempt started. */
export const CACHED_TOKENS_HEADER = 'x-cached-tokens';

/**
 * Header that is `true` if a runner refuses a request before starting it. Without it, a refused request may have run.
 */
export const NOT_STARTED_HEADER = 'x-not-started';

/** Name of the server-sent event that ends a complete stream. */
export const END_EVENT = 'end';

/** Name of the server-sent event that ends a failed stream. */
export const ERROR_EVENT = 'error';

/** Media type of a streamed answer. */
export const EVENT_STREAM_TYPE = 'text/event-stream';

/** Parts of a server-sent event's id: the attempt and the sequence number of the chunk. */
export interface RunnerEventId {
  readonly attemptId: string;
  readonly sequence: number;
}

/**
 * Formats an event id.
 *
 * @param eventId - the attempt and the sequence number.
 * @returns The text for an event's `id` field and for the `Last-Event-ID` header.
 */
export function formatEventId({ attemptId, sequence }: RunnerEventId): string {
  return `${attemptId}:${sequence}`;
}

/**
 * Parses an event id.
 *
 * @param text - the text of an event's `id` field.
 * @returns The attempt and the sequence number, or `undefined` if the text has another format.
 */
export function parseEventId(text: string): RunnerEventId | undefined {
  const match = /^(.{1,200}):(\d{1,9})$/.exec(text);
  if (!match?.[1] || !match[2]) return undefined;
  return { attemptId: match[1], sequence: Number(match[2]) };
}
