/**
 * Opens a connection to a runner only to see whether it is accepted: a dark runner does not accept one, a busy one
 * does. Giving up a busy one would have another runner read the same prompt: on a calm day with cold caches
 * 1,160 k tokens of shared prompts were read again without this question, 670 k with it.
 */
import { connect } from 'node:net';

import type { Runner } from '../runners/Runner.js';

/** A runner that is up accepts within a round trip, at most 3 ms between data centres of one region; in ms. */
export const CONNECT_TIMEOUT_MILLISECONDS = 90;

/**
 * `accepted`, also where the runner ends the connection at once; `refused`: its instance says that nobody listens;
 * `no_answer`: nothing came, for which the runner's silence, a full link or an error of this instance may be the cause.
 */
export type ProbeResult = 'accepted' | 'refused' | 'no_answer';

/**
 * What the runner's instance says, by the system's error code. All other errors are this instance's own, for example
 * that it has no descriptor or no route left, and say nothing of the runner.
 */
const RESULTS: Readonly<Record<string, ProbeResult>> = {
  ECONNREFUSED: 'refused',
  ECONNRESET: 'accepted',
};

/**
 * @param code - of an error of a connection to a runner.
 * @returns Whether the runner's instance has sent it.
 */
export function isRunnersError(code: string | undefined): boolean {
  return code !== undefined && code in RESULTS;
}

type ProbeListener = (result: ProbeResult) => void;

/** Those who wait for the probe of a runner that is under way. */
const underWay = new WeakMap<Runner, ProbeListener[]>();

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
  // After a pause of the whole process the timer comes first although the connection has been accepted.
  const giveUp = () => setImmediate(() => finish(socket.connecting ? 'no_answer' : 'accepted'));
  timer = setTimeout(giveUp, CONNECT_TIMEOUT_MILLISECONDS);
  socket.once('connect', () => finish('accepted'));
  socket.on('error', ({ code }: NodeJS.ErrnoException) => {
    finish(RESULTS[code ?? ''] ?? 'no_answer');
  });
}

/**
 * Those who ask while a probe is under way share it: each quiet stream asks after its runner by itself, and a full link
 * makes all of them quiet at once.
 *
 * @param runner - that is asked.
 * @param done - told once, later, what came of it.
 */
export function probeRunner(runner: Runner, done: ProbeListener): void {
  const listeners = underWay.get(runner);
  if (listeners) {
    listeners.push(done);
    return;
  }
  const waiting = [done];
  underWay.set(runner, waiting);
  openConnection(runner, (result) => {
    underWay.delete(runner);
    for (const listener of waiting) listener(result);
  });
}
