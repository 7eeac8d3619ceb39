/**
 * Asks a runner for its report on itself, to learn which incarnation answers at its address.
 */
import { get } from 'node:http';
import type { IncomingMessage } from 'node:http';

import { readWholeBody } from '../http/readWholeBody.js';
import type { Runner } from '../runners/Runner.js';
import type { RunnerProtocol } from './RunnerProtocol.js';

/** Time for the whole exchange, in ms. */
const TIMEOUT_MILLISECONDS = 800;

/** Largest report that is read, in bytes. */
const MAXIMUM_BYTES = 65_536;

const OK = 200;

/** Options of {@link fetchRunnerLife}. */
export interface FetchRunnerLifeOptions {
  runner: Runner;
  protocol: RunnerProtocol;
}

/**
 * Sends the request on a connection of its own, as one that is kept may be to an incarnation that has ended.
 *
 * @param options - the runner, and the protocol that reads its report.
 * @param done - called once, later, with the incarnation; `undefined` if the runner does not answer in time, serves no
 *   report, is another runner, or does not say.
 */
export function fetchRunnerLife(
  { runner: { entry }, protocol }: FetchRunnerLifeOptions,
  done: (life: string | undefined) => void,
): void {
  const { host, port, id } = entry;
  const { names } = protocol;
  let isOpen = true;
  let timer: NodeJS.Timeout | undefined;
  const headers = { [names.expectedRunner]: id };
  const request = get({ host, port, path: protocol.reportPath, agent: false, headers });
  const finish = (life?: string) => {
    if (!isOpen) return;
    isOpen = false;
    clearTimeout(timer);
    request.destroy();
    done(life);
  };
  timer = setTimeout(finish, TIMEOUT_MILLISECONDS).unref();
  request.on('error', () => finish());
  request.once('response', (answer: IncomingMessage) => {
    const speaker = answer.headers[names.speaker];
    if (answer.statusCode !== OK || (speaker !== undefined && speaker !== id)) {
      finish();
      return;
    }
    readWholeBody(answer, { maximumBytes: MAXIMUM_BYTES }).then(
      (body) => finish(protocol.lifeIn(body.toString(), entry)),
      () => finish(),
    );
  });
}
