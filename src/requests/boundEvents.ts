/**
 * Converts between a forwarded bound request and the caller's form of it: the request on its way
 * in, and the events of its answer on their way back to the daemon that forwarded it.
 */
import { create } from '@bufbuild/protobuf';
import { match } from 'ts-pattern';

import type { ExecuteEvent, ExecuteRequest } from '../generated/baobabdock/v1/peers_pb.js';
import { ExecuteEventSchema } from '../generated/baobabdock/v1/peers_pb.js';
import { PRIORITIES } from '../gates/gateTypes.js';
import type { SignedTokens } from '../peers/SignedTokens.js';
import { EventIdVerifier } from './EventIds.js';
import type { CallerEvent, CallerRequest } from './requestTypes.js';

/**
 * @param request - the request as another daemon sent it.
 * @param binding - the binding that came with the request.
 * @returns The request in the form in which callers' requests are run.
 */
export function callerRequestOf(request: ExecuteRequest, binding: string): CallerRequest {
  const { requestId, clientAccount, service, chat, deadlineMilliseconds } = request;
  const { idempotent, promptTokens, maximumTokens, method, path, body, streaming } = request;
  return {
    requestId,
    clientAccount,
    service,
    chat,
    priority: PRIORITIES.find((priority) => priority === request.priority) ?? 'standard',
    deadlineMilliseconds,
    idempotent,
    binding,
    promptTokens,
    maximumTokens,
    method,
    path,
    headers: request.headers.map(({ name, value }) => [name, value] as const),
    body,
    streaming,
  };
}

/** The `started` event of an answer, held back until the first chunk names its attempt. */
type Head = Extract<CallerEvent, { kind: 'started' }>;

/** Options of {@link BoundEventEncoder}. */
export interface BoundEventEncoderOptions {
  tokens: SignedTokens;
}

/** Converts the events of one answer for the daemon that forwarded the request. */
export class BoundEventEncoder {
  private readonly eventIds: EventIdVerifier;

  private head: Head | undefined;

  private attemptId = '';

  private lastSequence = 0;

  /**
   * @param options - what verifies the event ids.
   */
  constructor({ tokens }: BoundEventEncoderOptions) {
    this.eventIds = new EventIdVerifier(tokens);
  }

  /**
   * @param event - the next event of the answer.
   * @returns The events for the other daemon.
   */
  convert(event: CallerEvent): ExecuteEvent[] {
    return match(event)
      .returnType<ExecuteEvent[]>()
      .with({ kind: 'started' }, (head) => {
        this.head = head;
        return [];
      })
      .with({ kind: 'chunk' }, ({ data, eventId }) => this.chunk(data, eventId))
      .with({ kind: 'completed' }, (completed) => [
        ...this.releaseHead(),
        this.completed(completed),
      ])
      .with({ kind: 'failed' }, (failed) => [this.failed(failed)])
      .exhaustive();
  }

  /**
   * Converts a chunk. Only the event id names the attempt and the chunk; no other part of an
   * answer does.
   */
  private chunk(data: Uint8Array, eventId: string): ExecuteEvent[] {
    const opened = this.eventIds.verify(eventId);
    if (!opened) return [];
    const { sequence } = opened;
    const { attemptId } = opened.token;
    this.attemptId = attemptId;
    this.lastSequence = sequence;
    const value = { attemptId, sequence, data };
    return [...this.releaseHead(), create(ExecuteEventSchema, { event: { case: 'chunk', value } })];
  }

  private releaseHead(): ExecuteEvent[] {
    if (!this.head) return [];
    const { runnerId, status, cachedTokens } = this.head;
    const headers = this.head.headers.map(([name, value]) => ({ name, value }));
    const value = { attemptId: this.attemptId, runnerId, status, headers, cachedTokens };
    this.head = undefined;
    return [create(ExecuteEventSchema, { event: { case: 'started', value } })];
  }

  private completed({
    promptTokens,
    generatedTokens,
    cachedTokens,
  }: Extract<CallerEvent, { kind: 'completed' }>): ExecuteEvent {
    const { attemptId, lastSequence } = this;
    const value = { attemptId, lastSequence, promptTokens, generatedTokens, cachedTokens };
    return create(ExecuteEventSchema, { event: { case: 'completed', value } });
  }

  private failed(failed: Extract<CallerEvent, { kind: 'failed' }>): ExecuteEvent {
    const { code, message, notRun, retryAfterMilliseconds = 0, resumable = false } = failed;
    const value = { code, message, notRun, retryAfterMilliseconds, resumable };
    return create(ExecuteEventSchema, { event: { case: 'failed', value } });
  }
}
