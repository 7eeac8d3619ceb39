/**
 * Decides when one request is handed over to another daemon, and keeps the hand-over in progress.
 */
import type { AnswerRelay } from '../forwarding/AnswerRelay.js';
import type { BufferedAnswers } from '../forwarding/BufferedAnswers.js';
import type { AdmittedRequest, ForwardingContext } from '../forwarding/forwardingTypes.js';
import type { StreamedAnswer } from '../forwarding/StreamedAnswer.js';
import type { TriedRunners } from '../forwarding/TriedRunners.js';
import { HandedOverRequest } from './HandedOverRequest.js';
import type { HandOverEnd } from './HandedOverRequest.js';

/** Options of a {@link HandOverSession}. */
export interface HandOverSessionOptions {
  request: AdmittedRequest;
  body: Buffer | undefined;
  context: Pick<ForwardingContext, 'handOver' | 'clock' | 'protocol'>;
  relay: AnswerRelay;
  bufferedAnswers: BufferedAnswers;
  stream: StreamedAnswer;
  tried: TriedRunners;
  /** Called with the end of each hand-over that was not cancelled. */
  onEnd: (end: HandOverEnd) => void;
}

/** Hand-overs of one request, one after the other. */
export class HandOverSession {
  private readonly options: HandOverSessionOptions;

  private current: HandedOverRequest | undefined;

  /** Whether the request stays at this daemon, because no other one has answered. */
  private isOver = false;

  /**
   * @param options - the request, its attempts so far, and its answer.
   */
  constructor(options: HandOverSessionOptions) {
    this.options = options;
  }

  /** @returns Whether the request goes to another daemon next, because this one reaches no runner. */
  get isNeeded(): boolean {
    const { context, request } = this.options;
    return !this.isOver && context.handOver?.isNeeded(request.service) === true;
  }

  /** @returns Whether neither this daemon nor another one reaches the request's service. */
  get isHopeless(): boolean {
    const { context, request } = this.options;
    return !this.isOver && context.handOver?.isHopeless(request.service) === true;
  }

  /** @returns Whether another daemon may serve the request, whose last attempt has not reached its runner. */
  get mayHelp(): boolean {
    const { context, request, tried } = this.options;
    if (this.isOver || !tried.isUnreached) return false;
    return context.handOver?.mayHelp(request.service) === true;
  }

  /** @returns Whether another daemon has the request, or is being asked. */
  get isInProgress(): boolean {
    return this.current !== undefined;
  }

  /**
   * Hands the request over.
   *
   * @param isWanted - called when another daemon would take it; returns whether it still has to be handed over.
   */
  begin(isWanted: () => boolean = () => true): void {
    const { context, request, tried, stream, ...options } = this.options;
    const { handOver: task, clock, protocol } = context;
    if (!task) return;
    this.current = new HandedOverRequest({
      ...options,
      ...{ request, stream, task, clock, tried },
      resumesAfter: () => stream.lastEventId,
      names: protocol.names,
      isCounted: true,
      isWanted,
      onEnd: (end) => this.handleEnd(end),
    });
    this.current.start();
  }

  /** Ends the hand-over in progress. */
  cancel(): void {
    this.current?.cancel();
    this.current = undefined;
  }

  private handleEnd(end: HandOverEnd): void {
    this.current = undefined;
    // What may have run cannot be refused any more, so it is tried from here until its deadline.
    this.isOver ||=
      end === 'unanswered' || (end === 'unreached' && this.options.tried.mayHaveRun > 0);
    this.options.onEnd(end);
  }
}
