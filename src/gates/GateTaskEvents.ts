/**
 * Creates the events that a gate sends to the reader of an attempt.
 */
import { create } from '@bufbuild/protobuf';

import { ChunkSchema, ExecuteEventSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { ExecuteEvent } from '../generated/baobabdock/v1/peers_pb.js';
import type { OutcomeCode } from '../requests/requestTypes.js';
import type { UpstreamEvent } from '../upstreams/Upstream.js';
import type { RefusalReason } from './gateTypes.js';

/** Why an attempt did not run, and the runner's load at that time. */
export interface RefusalDetails {
  readonly reason: RefusalReason;
  readonly retryAfterMilliseconds?: number;
  readonly load?: number;
  readonly mean?: number;
}

/** How an attempt failed. */
export interface FailureDetails {
  readonly attemptId: string;
  readonly code: OutcomeCode;
  readonly message: string;
  readonly resumable: boolean;
}

type UpstreamEventOf<Kind extends UpstreamEvent['kind']> = Extract<UpstreamEvent, { kind: Kind }>;

/**
 * Creates the `refused` event.
 *
 * @param details - why the attempt did not run.
 * @returns The only event of an attempt that did not run.
 */
export function refusedEvent({
  reason,
  retryAfterMilliseconds = 0,
  load = 0,
  mean = 0,
}: RefusalDetails): ExecuteEvent {
  const value = { reason, retryAfterMilliseconds, load, mean };
  return create(ExecuteEventSchema, { event: { case: 'refused', value } });
}

/**
 * Creates the `started` event.
 *
 * @param attemptId - the attempt.
 * @param runnerId - the runner of the attempt.
 * @param event - the event from the runner.
 * @returns The first event of an attempt that runs.
 */
export function startedEvent(
  attemptId: string,
  runnerId: string,
  { status, headers, cachedTokens }: UpstreamEventOf<'started'>,
): ExecuteEvent {
  const value = {
    attemptId,
    runnerId,
    status,
    headers: headers.map(([name, text]) => ({ name, value: text })),
    cachedTokens,
  };
  return create(ExecuteEventSchema, { event: { case: 'started', value } });
}

/**
 * Creates a `chunk` event.
 *
 * @param attemptId - the attempt.
 * @param event - the event from the runner.
 * @returns A part of the answer.
 */
export function chunkEvent(
  attemptId: string,
  { sequence, data }: UpstreamEventOf<'chunk'>,
): ExecuteEvent {
  // Set field by field: `create` checks initial values one by one, too slow for one message per token.
  const value = create(ChunkSchema);
  value.attemptId = attemptId;
  value.sequence = sequence;
  // Copied if it is a view: a view keeps its whole larger buffer in memory until a slow reader has read it.
  const whole = data.byteLength === data.buffer.byteLength;
  value.data = whole ? data : new Uint8Array(data);
  const event = create(ExecuteEventSchema);
  event.event = { case: 'chunk', value };
  return event;
}

/**
 * Creates the `completed` event.
 *
 * @param attemptId - the attempt.
 * @param event - the event from the runner.
 * @returns The last event of a complete answer.
 */
export function completedEvent(
  attemptId: string,
  { lastSequence, promptTokens, generatedTokens, cachedTokens }: UpstreamEventOf<'completed'>,
): ExecuteEvent {
  const value = { attemptId, lastSequence, promptTokens, generatedTokens, cachedTokens };
  return create(ExecuteEventSchema, { event: { case: 'completed', value } });
}

/**
 * Creates the `failed` event.
 *
 * @param details - how the attempt failed.
 * @returns The last event of an attempt whose answer is incomplete or whose outcome is unknown.
 */
export function failedEvent({ attemptId, code, message, resumable }: FailureDetails): ExecuteEvent {
  const value = { attemptId, code, message, resumable, retryAfterMilliseconds: 0 };
  return create(ExecuteEventSchema, { event: { case: 'failed', value } });
}

/**
 * Creates the event stream of an attempt that ends at once.
 *
 * @param event - the only event.
 * @yields The event.
 * @returns The stream.
 */
export async function* singleEventStream(
  event: ExecuteEvent,
): AsyncGenerator<ExecuteEvent, void, undefined> {
  yield event;
}

/**
 * Creates the answer to an attempt whose id is already in progress here. The first one may be running, so the
 * duplicate can neither be refused as "not run" nor be run a second time.
 *
 * @param attemptId - the attempt.
 * @returns The only event for the duplicate.
 */
export function duplicateEvent(attemptId: string): ExecuteEvent {
  const message = 'an attempt of this id is already here';
  return failedEvent({ attemptId, code: 'outcome_unknown', message, resumable: false });
}

/**
 * Creates the answer to a resume request for a stream that this gate cannot continue for that reader.
 *
 * @param attemptId - the attempt.
 * @returns The only event for the reader.
 */
export function cannotResumeEvent(attemptId: string): ExecuteEvent {
  const message = 'this stream cannot be continued';
  return failedEvent({ attemptId, code: 'cannot_resume', message, resumable: false });
}

/**
 * Creates the last event for a reader whose stream another reader has taken over. Without a last event, the
 * earlier reader would take the end for a cut and resume, and the two readers would take the stream from each
 * other in turns.
 *
 * @param attemptId - the attempt.
 * @returns The last event for the earlier reader.
 */
export function supersededEvent(attemptId: string): ExecuteEvent {
  const message = 'another reader continues this stream';
  return failedEvent({ attemptId, code: 'stream_cut', message, resumable: false });
}
