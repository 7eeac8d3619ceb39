/**
 * The answer of a bound request that is relayed by a second daemon: puts events in order, drops
 * repeats, and keeps what is needed to resume at the runner when the first daemon dies.
 */
import { match, P } from 'ts-pattern';

import type {
  Chunk,
  Completed,
  ExecuteEvent,
  Failed,
  Started,
} from '../generated/baobabdock/v1/peers_pb.js';
import type { SignedTokens } from '../peers/SignedTokens.js';
import { outcomeUnknown } from './boundFailures.js';
import { EventIds } from './EventIds.js';
import { outcomeCodeOf, startedEventOf } from './gateMessages.js';
import type { ResumedStream } from './requestDecisionTypes.js';
import type { CallerEvent, CallerRequest } from './requestTypes.js';
import { StreamCursor } from './StreamCursor.js';

/** Options of a {@link ForwardedAnswer}. */
export interface ForwardedAnswerOptions {
  tokens: SignedTokens;
  request: CallerRequest;
}

/** Merges the events of one or more `RunBound` calls for the same binding into one answer. */
export class ForwardedAnswer {
  private readonly tokens: SignedTokens;

  private readonly request: CallerRequest;

  private readonly cursor = new StreamCursor();

  private head: Started | undefined;

  private eventIds: EventIds | undefined;

  private hasEnded = false;

  /**
   * @param options - what signs event ids, and the request that is answered.
   */
  constructor({ tokens, request }: ForwardedAnswerOptions) {
    this.tokens = tokens;
    this.request = request;
  }

  /** @returns Whether the last event was passed on to the caller. */
  ended(): boolean {
    return this.hasEnded;
  }

  /**
   * Processes an event from the binding's daemon; a repeated call sends its events from the
   * beginning again.
   *
   * @param event - the event.
   * @returns The event for the caller, or `undefined` if the caller already has it.
   */
  accept({ event }: ExecuteEvent): CallerEvent | undefined {
    return match(event)
      .returnType<CallerEvent | undefined>()
      .with({ case: 'started' }, ({ value }) => this.acceptHead(value))
      .with({ case: 'chunk' }, ({ value }) => this.acceptChunk(value))
      .with({ case: 'completed' }, ({ value }) => this.acceptEnd(value))
      .with({ case: 'failed' }, ({ value }) => this.acceptFailure(value))
      .with({ case: 'refused' }, () =>
        this.endWith(outcomeUnknown('The answer was not understood.')),
      )
      .with({ case: P.nullish }, () => undefined)
      .exhaustive();
  }

  /**
   * @param deadlineMilliseconds - how long the caller still waits, in milliseconds.
   * @returns The stream to resume at the runner, or `undefined` if the answer has not started.
   */
  resumePoint(deadlineMilliseconds: number): ResumedStream | undefined {
    if (!this.head) return undefined;
    const { attemptId, runnerId } = this.head;
    const { requestId, clientAccount, service } = this.request;
    const afterSequence = this.cursor.position();
    return {
      requestId,
      clientAccount,
      service,
      deadlineMilliseconds,
      attemptId,
      runnerId,
      afterSequence,
    };
  }

  private acceptHead(head: Started): CallerEvent | undefined {
    if (this.head) return undefined;
    this.head = head;
    return startedEventOf(head, head.runnerId);
  }

  private acceptChunk({ attemptId, sequence, data }: Chunk): CallerEvent | undefined {
    const { head } = this;
    if (!head || head.attemptId !== attemptId) return undefined;
    if (this.cursor.accept(sequence) !== 'next') return undefined;
    this.eventIds ??= this.newEventIds(head);
    return { kind: 'chunk', data, eventId: this.eventIds.of(sequence) };
  }

  private newEventIds({ attemptId, runnerId }: Started): EventIds {
    const { requestId, clientAccount, service } = this.request;
    const stream = { attemptId, runnerId, service, clientAccount, requestId };
    return new EventIds(this.tokens, stream);
  }

  /**
   * Ignores a `completed` event that names a chunk which was not received: the daemon is called
   * again.
   */
  private acceptEnd(completed: Completed): CallerEvent | undefined {
    const isComplete = this.cursor.isCompleteAt(completed.lastSequence);
    if (!this.head || this.head.attemptId !== completed.attemptId || !isComplete) return undefined;
    const { promptTokens, generatedTokens, cachedTokens } = completed;
    return this.endWith({ kind: 'completed', promptTokens, generatedTokens, cachedTokens });
  }

  private acceptFailure({ code, notRun, message, ...failed }: Failed): CallerEvent {
    const { retryAfterMilliseconds, resumable } = failed;
    return this.endWith({
      kind: 'failed',
      code: outcomeCodeOf(code),
      notRun,
      message,
      ...(retryAfterMilliseconds > 0 && { retryAfterMilliseconds }),
      ...(resumable && { resumable }),
    });
  }

  private endWith(event: CallerEvent): CallerEvent {
    this.hasEnded = true;
    return event;
  }
}
