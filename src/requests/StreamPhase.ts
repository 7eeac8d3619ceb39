/**
 * The second phase of a request: selects the attempt whose answer the caller gets, passes its
 * chunks on in order, and resumes the stream after a cut.
 */
import type { MessageOf, RequestContext } from './RequestContext.js';
import type { Reading } from './requestFacts.js';
import type { ResumedStream } from './requestDecisionTypes.js';
import { cancelledFailure, cutFailure } from './requestFailures.js';
import { StreamCursor } from './StreamCursor.js';

/** The attempt that was selected to answer the caller. */
interface SelectedAttempt {
  readonly attemptId: string;
  readonly runnerId: string;
}

/** Whether a cut stream is being resumed or was given up. */
export type CutResult = 'resuming' | 'given_up';

/** Passes on the stream of the selected attempt and resumes it after a cut. */
export class StreamPhase {
  private readonly context: RequestContext;

  private selectedAttempt: SelectedAttempt | undefined;

  /** Number of the reading that delivered the `started` event. */
  private startedReading: number | undefined;

  private headDelivered = false;

  private cursor = new StreamCursor();

  /** Number of resumes since the last chunk. */
  private consecutiveResumes = 0;

  private totalResumes = 0;

  private cutReason = '';

  private resumeAt: number | undefined;

  /**
   * @param context - the state shared by the phases of the request.
   */
  constructor(context: RequestContext) {
    this.context = context;
  }

  /**
   * Resumes a stream of which the caller already has a part.
   *
   * @param stream - the stream named by the caller's `Last-Event-ID`.
   */
  beginResume({ attemptId, runnerId, afterSequence }: ResumedStream): void {
    this.context.countResumedAttempt();
    this.selectedAttempt = { attemptId, runnerId };
    this.cursor = new StreamCursor(afterSequence);
    this.context.delivered = true;
    this.cutReason = 'The caller continues the stream.';
    this.resume();
  }

  /**
   * Selects the attempt whose runner has started to answer, and cancels the others. The `started`
   * event is held back until the first chunk, so that after a cut in between the request can
   * still be retried.
   *
   * @param reading - the reading that delivered the event.
   */
  onStarted(reading: Reading): void {
    const { context } = this;
    if (this.headDelivered) return;
    if (context.delivered) {
      this.startedReading = reading.number;
      return;
    }
    if (!context.advance('start')) return;
    for (const other of [...context.readings.values()]) {
      if (other !== reading) context.cancelReading(other);
    }
    this.selectedAttempt = reading;
    this.startedReading = reading.number;
  }

  /**
   * Passes on a chunk of the answer; a chunk after a gap cuts the stream.
   *
   * @param reading - the reading that delivered the chunk.
   * @param chunk - the chunk's number and size.
   */
  onChunk(reading: Reading, chunk: MessageOf<'chunk'>): void {
    const { context } = this;
    if (!this.hasStarted()) {
      context.addAction({ kind: 'dropped', what: 'chunk', why: 'out_of_order' });
      return;
    }
    const order = this.cursor.accept(chunk.sequence);
    if (order === 'repeated') {
      context.addAction({ kind: 'dropped', what: 'chunk', why: 'repeated' });
    } else if (order === 'gap') {
      this.onGap(reading, `Chunk ${chunk.sequence} came after ${this.cursor.position()}.`);
    } else {
      this.deliverChunk(reading, chunk.sequence);
    }
  }

  /**
   * Completes the request, unless chunks are missing.
   *
   * @param reading - the reading that delivered the event.
   * @param completed - the `completed` event of the gate.
   */
  onCompleted(reading: Reading, completed: MessageOf<'completed'>): void {
    const { context } = this;
    if (!this.hasStarted() || !this.cursor.isCompleteAt(completed.lastSequence)) {
      this.onGap(
        reading,
        `The end names chunk ${completed.lastSequence}, the last one seen is ${this.cursor.position()}.`,
      );
      return;
    }
    context.abandonReading(reading);
    if (!context.advance('complete')) return;
    this.deliverHead(reading);
    const { promptTokens, generatedTokens, cachedTokens } = completed;
    context.addAction({ kind: 'complete', promptTokens, generatedTokens, cachedTokens });
  }

  /**
   * Resumes a stream that broke. A resume runs nothing, so it is allowed for non-idempotent
   * requests too; it finds the attempt through whichever daemon holds the gate by then.
   *
   * @param reading - the broken reading.
   * @param message - what broke.
   * @returns Whether another resume was opened or scheduled.
   */
  resumeAfterCut(reading: Reading, message: string): CutResult {
    const { context } = this;
    context.abandonReading(reading);
    this.selectedAttempt ??= reading;
    this.cutReason = message;
    const { maximumResumesInARow, maximumResumes } = context.timings;
    if (this.consecutiveResumes >= maximumResumesInARow) return 'given_up';
    if (this.totalResumes >= maximumResumes) return 'given_up';
    if (!context.advance('resume')) return 'given_up';
    if (this.consecutiveResumes === 0) this.resume();
    else this.resumeAt = context.now + this.resumePause();
    return 'resuming';
  }

  /**
   * Ends the request because its stream is cut; the caller may resume it.
   *
   * @param resumable - whether the gate may still know the attempt.
   */
  failAsCut(resumable: boolean): void {
    const { context, cutReason } = this;
    context.fail(cutFailure(context.executionStatus(), cutReason, resumable));
  }

  /** Clears the selected attempt, because another attempt replaces it. */
  discardAttempt(): void {
    this.selectedAttempt = undefined;
    this.startedReading = undefined;
    this.consecutiveResumes = 0;
  }

  /**
   * Ends the request of a caller that has disconnected. A stream that the caller may resume is
   * left to its gate, which keeps it for a while so that it can be resumed through any daemon;
   * everything else is cancelled.
   */
  onCallerGone(): void {
    const { context } = this;
    if (!context.facts.streaming || !context.delivered) {
      context.fail(cancelledFailure(context.executionStatus()));
      return;
    }
    for (const reading of [...context.readings.values()]) context.abandonReading(reading);
    context.fail(cutFailure(context.executionStatus(), 'The caller has gone.', true));
  }

  /** Opens the scheduled resume when it is due. */
  onTick(): void {
    if (this.resumeAt === undefined || this.context.now < this.resumeAt) return;
    this.resumeAt = undefined;
    this.resume();
  }

  /** @returns When the next timer of this phase is due, in monotonic milliseconds. */
  nextWake(): number | undefined {
    return this.resumeAt;
  }

  /**
   * @returns Whether the answer has started, in this request or in the one that the caller
   *   resumes.
   */
  hasStarted(): boolean {
    return this.startedReading !== undefined || this.context.delivered;
  }

  private onGap(reading: Reading, message: string): void {
    if (this.resumeAfterCut(reading, message) === 'given_up') this.failAsCut(true);
  }

  private deliverChunk(reading: Reading, sequence: number): void {
    const { context } = this;
    const { attemptId, runnerId } = reading;
    this.consecutiveResumes = 0;
    context.advance('stream');
    this.deliverHead(reading);
    context.addAction({
      kind: 'deliver_chunk',
      reading: reading.number,
      attemptId,
      runnerId,
      sequence,
    });
  }

  private deliverHead(reading: Reading): void {
    if (this.headDelivered) return;
    this.headDelivered = true;
    this.context.delivered = true;
    const { number, runnerId } = reading;
    this.context.addAction({
      kind: 'deliver_started',
      reading: this.startedReading ?? number,
      runnerId,
    });
  }

  private resumePause(): number {
    const { resumePauseMilliseconds, maximumResumePauseMilliseconds } = this.context.timings;
    const pause = resumePauseMilliseconds * 2 ** (this.consecutiveResumes - 1);
    return Math.min(pause, maximumResumePauseMilliseconds);
  }

  private resume(): void {
    const { context, selectedAttempt } = this;
    if (!selectedAttempt) return;
    if (context.remainingForHop() <= 0) {
      context.expire();
      return;
    }
    this.consecutiveResumes += 1;
    this.totalResumes += 1;
    const { attemptId, runnerId } = selectedAttempt;
    const reading = context.openReading(attemptId, runnerId, 'resume');
    context.addAction({
      kind: 'resume',
      reading,
      attemptId,
      runnerId,
      afterSequence: this.cursor.position(),
      tries: this.consecutiveResumes,
      why: this.cutReason,
      deadlineMilliseconds: context.remainingForHop(),
    });
  }
}
