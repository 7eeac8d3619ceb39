/**
 * Ports for daemons that are told where to listen.
 */
import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';

import { listen } from '../../src/http/listen.js';

/** Below the ports that the system gives to outgoing connections, which could take one before its daemon does. */
const LOWEST_PORT = 10_000;
const HIGHEST_PORT = 32_000;

/** Ports that were given out; a daemon may not have opened its own yet. */
const givenOut = new Set<number>();

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  try {
    await listen(server, { host: '127.0.0.1', port });
  } catch {
    // Somebody else has it: the answer to the question.
    return false;
  }
  await new Promise((done) => {
    server.close(done);
  });
  return true;
}

/**
 * What goes wrong where the system chooses a port that is closed again: it gives the same one twice. One would
 * see a daemon that never becomes ready once in some dozens of starts, and its questions at another daemon.
 *
 * @returns A loopback port that nobody has, and that is given out once.
 */
export async function freePort(): Promise<number> {
  for (;;) {
    const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
    if (givenOut.has(port)) continue;
    givenOut.add(port);
    if (await isFree(port)) return port;
  }
}
