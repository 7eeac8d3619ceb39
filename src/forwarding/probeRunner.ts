/**
 * Health check of a runner: opens a connection to see whether it is accepted. A busy runner accepts connections, an
 * unresponsive one does not. If a busy runner were given up, another one would have to read the same prompt: on a calm
 * day with cold caches 1,160 k tokens of shared prompts were read again without this check, and 670 k with it.
 */
import { connect } from 'node:net';

import type { Runner } from '../runners/Runner.js';

/**
 * Connect timeout, in ms. A runner that is up accepts within a round trip, which takes at most 3 ms between data centres
 * of one region.
 */
export const CONNECT_TIMEOUT_MILLISECONDS = 90;

/**
 * Result of a probe. `accepted`: the connection was accepted, even if the runner closed it at once; `refused`: no process
 * listens on the port; `no_answer`: timeout or local error, because the runner is unresponsive, the network link is
 * saturated, or this instance could not open a connection.
 */
export type ProbeResult = 'accepted' | 'refused' | 'no_answer';

/**
 * Results by the error codes that the runner's instance causes. All other errors are local to this instance, for example
 * because it has no free file descriptor or no route, and do not show the state of the runner.
 */
const RESULT_BY_ERROR_CODE: Readonly<Record<string, ProbeResult>> = {
  ECONNREFUSED: 'refused',
  ECONNRESET: 'accepted',
};

/**
 * @param code - error code of a connection to a runner.
 * @returns Whether the runner's instance caused the error, rather than this one.
 */
export function isRemoteError(code: string | undefined): boolean {
  return code !== undefined && code in RESULT_BY_ERROR_CODE;
}

type ProbeListener = (result: ProbeResult) => void;

/** Listeners that wait for the probe in progress, by runner. */
const pendingProbes = new WeakMap<Runner, ProbeListener[]>();

function openConnection({ entry }: Runner, done: ProbeListener): void {
  const { host, port } = entry;
  const socket = connect({ host, port });
  let timer: NodeJS.Timeout | undefined;
  let isOpen = true;
  const finish = (result: ProbeResult) => {
    if (!isOpen) return;
    isOpen = false;
    clearTimeout(timer);
    socket.destroy();
    done(result);
  };
  // After a pause of the whole process, the timer fires before the event of an accepted connection; so events go first.
  const giveUp = () => setImmediate(() => finish(socket.connecting ? 'no_answer' : 'accepted'));
  timer = setTimeout(giveUp, CONNECT_TIMEOUT_MILLISECONDS);
  socket.once('connect', () => finish('accepted'));
  socket.on('error', ({ code }: NodeJS.ErrnoException) => {
    finish(RESULT_BY_ERROR_CODE[code ?? ''] ?? 'no_answer');
  });
}

/**
 * Probes a runner. Calls during a probe of the same runner share its result: each stalled stream probes its runner
 * independently, and a saturated network link stalls all of them at once.
 *
 * @param runner - runner to probe.
 * @param done - called once with the result, after this call has returned.
 */
export function probeRunner(runner: Runner, done: ProbeListener): void {
  const listeners = pendingProbes.get(runner);
  if (listeners) {
    listeners.push(done);
    return;
  }
  const waiting = [done];
  pendingProbes.set(runner, waiting);
  openConnection(runner, (result) => {
    pendingProbes.delete(runner);
    for (const listener of waiting) listener(result);
  });
}
