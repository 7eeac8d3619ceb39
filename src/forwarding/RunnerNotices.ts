/**
 * Applies what a runner announces in the head of an answer: that it is shutting down, is brittle, or a `Retry-After`. The sender is
 * verified first, because the answer may come from another runner at the same address, or its sender may be unknown.
 */
import type { IncomingMessage } from 'node:http';

import type { StatedLoad } from '../capacity/capacityTypes.js';
import type { Log } from '../logging/Log.js';
import type { BrittleRunners } from '../runners/BrittleRunners.js';
import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';
import { parseRetryAfter } from './parseRetryAfter.js';
import { forwardingLogEvents } from './forwardingFeature.js';
import type { RunnerProtocol } from './RunnerProtocol.js';

/** Status with which a runner refuses a request meant for another runner, or for other model weights. */
const MISDIRECTED = 421;

/** Status with which a runner refuses a request, possibly with a `Retry-After`. */
const UNAVAILABLE = 503;

/** Maximum number of characters of a header value in a log line. */
const MAXIMUM_LOGGED_CHARACTERS = 40;

/** The head of an answer. */
type AnswerHead = Pick<IncomingMessage, 'statusCode' | 'headers'>;

/** Options of {@link RunnerNotices}. */
export interface RunnerNoticesOptions {
  protocol: RunnerProtocol;
  clock: Clock;
  log: Log;
  /** Called with a runner that announces its shutdown. */
  onLeaving: (runner: Runner) => void;
  /** Called with the load that a runner states. */
  onStatedLoad?: (runner: Runner, load: StatedLoad, now: number) => void;
  /** Told of each runner that says that it is brittle or, by saying nothing, that it is not, and of its rejections. */
  brittleRunners?: Pick<BrittleRunners, 'recordStated' | 'recordRejected'> | undefined;
}

/** Processes the head of each answer as soon as it has arrived. */
export class RunnerNotices {
  private readonly options: RunnerNoticesOptions;

  /**
   * @param options - protocol, clock, log and callback.
   */
  constructor(options: RunnerNoticesOptions) {
    this.options = options;
  }

  /**
   * Applies the announcements in the head of an answer.
   *
   * @param runner - runner that the request was sent to.
   * @param answer - head of its answer.
   */
  take(runner: Runner, answer: AnswerHead): void {
    const { protocol, onLeaving, onStatedLoad, clock } = this.options;
    const { statusCode, headers } = answer;
    const speakerId = headers[protocol.names.speaker];
    if (speakerId !== undefined && speakerId !== runner.entry.id) return;
    if (this.isFromRunner(answer)) {
      if (protocol.isLeaving(headers)) onLeaving(runner);
      this.applyBrittleness(runner, answer);
      const load = protocol.statedLoad(headers);
      if (load) onStatedLoad?.(runner, load, clock.monotonicMilliseconds());
    }
    const retryAfter = statusCode === UNAVAILABLE ? headers['retry-after'] : undefined;
    if (retryAfter !== undefined) this.applyPause(runner, retryAfter);
  }

  private applyBrittleness(runner: Runner, { statusCode = 0, headers }: AnswerHead): void {
    const { protocol, clock, brittleRunners } = this.options;
    const now = clock.monotonicMilliseconds();
    brittleRunners?.recordStated(runner, protocol.brittleLimit(headers), now);
    const isRejection = statusCode === UNAVAILABLE && protocol.didNotRun(statusCode, headers);
    if (isRejection) brittleRunners?.recordRejected(runner, now);
  }

  private applyPause(runner: Runner, retryAfter: string): void {
    const { clock, log } = this.options;
    const { milliseconds, isCorrected } = parseRetryAfter(retryAfter);
    const until = clock.monotonicMilliseconds() + milliseconds;
    runner.pauseUntil(until);
    const { id, service } = runner.entry;
    const event = isCorrected ? 'askedPauseCorrected' : 'pauseAsked';
    const fields = {
      runner: id,
      service,
      asked: retryAfter.slice(0, MAXIMUM_LOGGED_CHARACTERS),
      milliseconds,
    };
    log.write(forwardingLogEvents[event], fields);
  }

  private isFromRunner({ statusCode = 0, headers }: AnswerHead): boolean {
    const { protocol } = this.options;
    const { speaker, signature } = protocol.names;
    if (statusCode === MISDIRECTED) return headers[speaker] !== undefined;
    return headers[signature] !== undefined || protocol.didNotRun(statusCode, headers);
  }
}
