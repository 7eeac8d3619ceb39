/**
 * Finds out whether a silent runner is there at all: a dark one does not accept a connection, a busy one does.
 * Giving up a busy one would have another runner read the same prompt: on a calm day with cold caches
 * 1,160 k tokens of shared prompts were read again without this question, 670 k with it.
 */
import { connect } from 'node:net';

import type { Runner } from '../runners/Runner.js';

/** A runner that is up accepts within a round trip, at most 3 ms between data centres of one region; in ms. */
export const CONNECT_TIMEOUT_MILLISECONDS = 90;

/**
 * @param runner - that says nothing.
 * @param done - told once whether the runner accepted a connection.
 */
export function probeRunner({ entry }: Runner, done: (isThere: boolean) => void): void {
  const { host, port } = entry;
  const socket = connect({ host, port });
  let timer: NodeJS.Timeout | undefined;
  let isOpen = true;
  const finish = (isThere: boolean) => {
    if (!isOpen) return;
    isOpen = false;
    clearTimeout(timer);
    socket.destroy();
    done(isThere);
  };
  // After a pause of the whole process the timer comes first although the connection has been accepted.
  const giveUp = () => setImmediate(() => finish(!socket.connecting));
  timer = setTimeout(giveUp, CONNECT_TIMEOUT_MILLISECONDS);
  socket.once('connect', () => finish(true));
  socket.once('error', () => finish(false));
}
