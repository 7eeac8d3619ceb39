/**
 * Asks a runner for something that it says of itself.
 */
import { get } from 'node:http';
import type { IncomingMessage } from 'node:http';

import { readWholeBody } from '../http/readWholeBody.js';
import type { Runner } from '../runners/Runner.js';
import type { RunnerProtocol } from './RunnerProtocol.js';

/** Time for the whole exchange, in ms. */
const TIMEOUT_MILLISECONDS = 800;

const OK = 200;

/** Options of {@link askRunner}. */
export interface AskRunnerOptions {
  runner: Runner;
  protocol: Pick<RunnerProtocol, 'names'>;
  path: string;
  /** Largest answer that is read, in bytes. */
  maximumBytes: number;
}

/**
 * Sends the request on a connection of its own, as one that is kept may be to an incarnation that has ended.
 *
 * @param options - the runner, and what it is asked for.
 * @param done - called once, later, with the body of its answer; `undefined` if the runner does not answer in time, does not
 *   serve the path, or is another runner.
 */
export function askRunner(
  { runner: { entry }, protocol: { names }, path, maximumBytes }: AskRunnerOptions,
  done: (body: string | undefined) => void,
): void {
  const { host, port, id } = entry;
  let isOpen = true;
  let timer: NodeJS.Timeout | undefined;
  const headers = { [names.expectedRunner]: id };
  const request = get({ host, port, path, agent: false, headers });
  const finish = (body?: string) => {
    if (!isOpen) return;
    isOpen = false;
    clearTimeout(timer);
    request.destroy();
    done(body);
  };
  timer = setTimeout(finish, TIMEOUT_MILLISECONDS).unref();
  request.on('error', () => finish());
  request.once('response', (answer: IncomingMessage) => {
    const speaker = answer.headers[names.speaker];
    if (answer.statusCode !== OK || (speaker !== undefined && speaker !== id)) {
      finish();
      return;
    }
    readWholeBody(answer, { maximumBytes }).then(
      (body) => finish(body.toString()),
      () => finish(),
    );
  });
}
