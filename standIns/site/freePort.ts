/**
 * Reserves ports for daemons, which may open them much later, several times, or never.
 *
 * If a port were only checked for being free, another process could get or check the same port just when the daemon opens
 * it, and the daemon would sometimes fail at its start with an address in use. So a port is reserved by opening it at a
 * separate loopback address, which is used for nothing else and which all callers of this function try first.
 */
import { randomInt } from 'node:crypto';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Server } from 'node:net';

import { listen } from '../../src/http/listen.js';

/** Options of {@link freePort}. */
export interface FreePortOptions {
  /** Lowest port of the range. */
  lowest?: number;
  /** First port above the range. */
  end?: number;
}

/** Range below the ephemeral ports: outgoing connections could otherwise take a port before its daemon opens it. */
const LOWEST_PORT = 10_000;
const END_OF_PORTS = 32_000;

/** Address on which daemons listen. */
const HOST = '127.0.0.1';

/** Address on which a port is held open as its reservation, until this process ends. */
const RESERVATION_HOST = '127.77.0.1';

async function open(host: string, port: number): Promise<Server | undefined> {
  const server = createServer();
  try {
    await listen(server, { host, port });
    return server;
  } catch {
    // Not an error: the port is in use.
    return undefined;
  }
}

async function close(server: Server): Promise<void> {
  await new Promise((done) => {
    server.close(done);
  });
}

/** Daemons send each other datagrams, and open the port for these too. */
async function isFreeForDatagrams(port: number): Promise<boolean> {
  const socket = createSocket('udp4');
  try {
    const listening = once(socket, 'listening');
    socket.bind(port, HOST);
    await listening;
    return true;
  } catch {
    // Not an error: the port is in use.
    return false;
  } finally {
    socket.close();
  }
}

async function reserve(port: number): Promise<boolean> {
  const reservation = await open(RESERVATION_HOST, port);
  if (!reservation) return false;
  reservation.unref();
  const probe = await open(HOST, port);
  if (probe) await close(probe);
  const isFree = probe !== undefined && (await isFreeForDatagrams(port));
  if (!isFree) await close(reservation);
  return isFree;
}

/**
 * @param options - the range of ports.
 * @returns A free loopback port that is given to no other caller while this process lives.
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
