/**
 * Ports for daemons that are told where to listen, and that may open them much later, more than once, or never.
 *
 * What goes wrong with a port that is only looked at: it is free, and another process is given it, or looks at it, just
 * when its daemon opens it. One would see a daemon end at its start with an address in use, once in some runs. So a port
 * is reserved by opening it at an address of its own, which nobody else uses and which all who ask for ports try first.
 */
import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';
import type { Server } from 'node:net';

import { listen } from '../../src/http/listen.js';

/** Options of {@link freePort}. */
export interface FreePortOptions {
  /** The lowest port that is given. */
  lowest?: number;
  /** The first port that is not given any more. */
  end?: number;
}

/** Below the ports that the system gives to outgoing connections, which could take one before its daemon does. */
const LOWEST_PORT = 10_000;
const END_OF_PORTS = 32_000;

/** Where daemons listen. */
const HOST = '127.0.0.1';

/** Where a port is held open for as long as the process lives that it was given to. */
const RESERVATION_HOST = '127.77.0.1';

async function open(host: string, port: number): Promise<Server | undefined> {
  const server = createServer();
  try {
    await listen(server, { host, port });
    return server;
  } catch {
    // Somebody else has it: the answer to the question.
    return undefined;
  }
}

async function close(server: Server): Promise<void> {
  await new Promise((done) => {
    server.close(done);
  });
}

async function reserve(port: number): Promise<boolean> {
  const reservation = await open(RESERVATION_HOST, port);
  if (!reservation) return false;
  reservation.unref();
  const probe = await open(HOST, port);
  if (probe) await close(probe);
  else await close(reservation);
  return probe !== undefined;
}

/**
 * @param options - the range.
 * @returns A loopback port that nobody has, and that nobody else is given while this process lives.
 */
export async function freePort({
  lowest = LOWEST_PORT,
  end = END_OF_PORTS,
}: FreePortOptions = {}): Promise<number> {
  for (;;) {
    const port = randomInt(lowest, end);
    if (await reserve(port)) return port;
  }
}
