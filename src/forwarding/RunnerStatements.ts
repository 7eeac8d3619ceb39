/**
 * What a runner says of itself in the head of an answer. Only its own word counts: an answer may come from another
 * runner at its address, or be nobody's.
 */
import type { IncomingMessage } from 'node:http';

import type { Log } from '../logging/Log.js';
import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';
import { askedPause } from './askedPause.js';
import { forwardingLogEvents } from './forwardingFeature.js';
import type { RunnerProtocol } from './RunnerProtocol.js';

/** Another runner than the expected one has answered, or this one with other weights. */
const MISDIRECTED = 421;

/** The request was not run, and the runner may want no others for a while. */
const UNAVAILABLE = 503;

/** Characters of a header in a line of the log. */
const MAXIMUM_LOGGED = 40;

/** The head of an answer. */
type StatedAnswer = Pick<IncomingMessage, 'statusCode' | 'headers'>;

/** Options of {@link RunnerStatements}. */
export interface RunnerStatementsOptions {
  protocol: RunnerProtocol;
  clock: Clock;
  log: Log;
  /** Told of a runner that leaves. */
  onLeaving: (runner: Runner) => void;
}

/** Takes statements as soon as an answer's head is there. */
export class RunnerStatements {
  private readonly options: RunnerStatementsOptions;

  /**
   * @param options - who is told.
   */
  constructor(options: RunnerStatementsOptions) {
    this.options = options;
  }

  /**
   * @param runner - that the request went to.
   * @param answer - to this request.
   */
  take(runner: Runner, answer: StatedAnswer): void {
    const { protocol, onLeaving } = this.options;
    const { statusCode, headers } = answer;
    const named = headers[protocol.names.speaker];
    if (named !== undefined && named !== runner.entry.id) return;
    if (protocol.isLeaving(headers) && this.isOwnWord(answer)) onLeaving(runner);
    const asked = statusCode === UNAVAILABLE ? headers['retry-after'] : undefined;
    if (asked !== undefined) this.pause(runner, asked);
  }

  private pause(runner: Runner, asked: string): void {
    const { clock, log } = this.options;
    const { milliseconds, isCorrected } = askedPause(asked);
    const until = clock.monotonicMilliseconds() + milliseconds;
    runner.pauseUntil(until);
    const { id, service } = runner.entry;
    const event = isCorrected ? 'askedPauseCorrected' : 'pauseAsked';
    const fields = { runner: id, service, asked: asked.slice(0, MAXIMUM_LOGGED), milliseconds };
    log.write(forwardingLogEvents[event], fields);
  }

  private isOwnWord({ statusCode = 0, headers }: StatedAnswer): boolean {
    const { protocol } = this.options;
    const { speaker, signature } = protocol.names;
    if (statusCode === MISDIRECTED) return headers[speaker] !== undefined;
    return headers[signature] !== undefined || protocol.didNotRun(statusCode, headers);
  }
}
