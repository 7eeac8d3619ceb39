/**
 * Test helpers that create attempts for upstreams and evaluate their events.
 */
import type { UpstreamAttempt, UpstreamEvent } from './Upstream.js';

/** Number of tokens that each engine attempt requests. */
export const TOKENS_PER_ATTEMPT = 6;

/** Deadline that is longer than any test takes. */
export const LONG_DEADLINE_MILLISECONDS = 20_000;

/** Kind of a test's call: a streamed or a whole answer of an engine, or a change at a plain service. */
export type AttemptShape = 'stream' | 'whole' | 'change';

let lastAttempt = 0;

/**
 * Creates an attempt.
 *
 * @param shape - the kind of call.
 * @param changes - the fields that differ from the default.
 * @returns A new attempt with a unique question.
 */
export function createAttempt(
  shape: AttemptShape,
  changes: Partial<UpstreamAttempt> = {},
): UpstreamAttempt {
  lastAttempt += 1;
  const attemptId = `attempt-${lastAttempt}`;
  const completion = {
    messages: [{ role: 'user', content: `question ${lastAttempt}` }],
    stream: shape === 'stream',
    max_tokens: TOKENS_PER_ATTEMPT,
  };
  const change = { board: 'oak', business_key: attemptId };
  return {
    attemptId,
    method: 'POST',
    path: shape === 'change' ? '/services/warehouse/reservations' : '/v1/chat/completions',
    headers: [['content-type', 'application/json']],
    body: Buffer.from(JSON.stringify(shape === 'change' ? change : completion)),
    priority: 'standard',
    deadlineMilliseconds: LONG_DEADLINE_MILLISECONDS,
    streaming: shape === 'stream',
    chat: `chat ${lastAttempt}`,
    ...changes,
  };
}

/**
 * Collects all events of an attempt.
 *
 * @param events - the events.
 * @returns The events as an array.
 */
export async function readAll(events: AsyncIterable<UpstreamEvent>): Promise<UpstreamEvent[]> {
  const all: UpstreamEvent[] = [];
  for await (const event of events) all.push(event);
  return all;
}

/**
 * Extracts the text of an engine's answer.
 *
 * @param events - the events of the attempt.
 * @param shape - the kind of call.
 * @returns The text of the answer.
 */
export function textOf(events: readonly UpstreamEvent[], shape: AttemptShape): string {
  const parts = events.flatMap((event) => (event.kind === 'chunk' ? [event.data] : []));
  const values = parts.map((part) => JSON.parse(new TextDecoder().decode(part)));
  if (shape === 'stream') return values.map(({ choices }) => choices[0].delta.content).join('');
  return values.map(({ choices }) => choices[0].message.content).join('');
}

/**
 * Summarizes the last event of an attempt.
 *
 * @param events - the events of the attempt.
 * @returns For example `completed`, `not_run:refused` or `failed:cut:resumable`.
 */
export function outcomeOf(events: readonly UpstreamEvent[]): string {
  const last = events.at(-1);
  if (last?.kind === 'not_run') return `not_run:${last.reason}`;
  if (last?.kind !== 'failed') return last?.kind ?? 'nothing';
  return `failed:${last.reason}${last.resumable ? ':resumable' : ''}`;
}
