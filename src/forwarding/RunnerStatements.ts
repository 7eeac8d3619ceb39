/**
 * What a runner says of itself in the head of an answer. Only its own word counts: an answer may come from another
 * runner at its address, or be nobody's.
 */
import type { IncomingMessage } from 'node:http';

import type { Runner } from '../runners/Runner.js';
import type { RunnerProtocol } from './RunnerProtocol.js';

/** Another runner than the expected one has answered, or this one with other weights. */
const MISDIRECTED = 421;

/** Options of {@link RunnerStatements}. */
export interface RunnerStatementsOptions {
  protocol: RunnerProtocol;
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
  take(runner: Runner, answer: Pick<IncomingMessage, 'statusCode' | 'headers'>): void {
    const { protocol, onLeaving } = this.options;
    if (!this.isOwnWord(runner, answer)) return;
    if (protocol.isLeaving(answer.headers)) onLeaving(runner);
  }

  private isOwnWord(
    { entry }: Runner,
    { statusCode = 0, headers }: Pick<IncomingMessage, 'statusCode' | 'headers'>,
  ): boolean {
    const { protocol } = this.options;
    const { speaker, signature } = protocol.names;
    const named = headers[speaker];
    if (named !== undefined && named !== entry.id) return false;
    if (statusCode === MISDIRECTED) return named === entry.id;
    return headers[signature] !== undefined || protocol.didNotRun(statusCode, headers);
  }
}
