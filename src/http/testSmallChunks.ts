/**
 * Test helper: a message whose body comes in chunks of one byte and does not end, and what its reader holds of it.
 */
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

import { listen } from './listen.js';
import { heldMemory } from './testMemory.js';

/** Bytes of the body, each in a chunk of its own; within the limits of all readers. */
const BODY_BYTES = 60_000;

/** How long the reader may take for the chunks, in ms. */
const READ_MILLISECONDS = 300;

const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

const BODY = '1\r\nx\r\n'.repeat(BODY_BYTES);

/** What a reader may hold of the body and its connection, in bytes; chunks that are kept as objects take some 12 MB. */
export const ALLOWED_MEMORY_BYTES = 4_000_000;

/**
 * Writes chunks of one byte, without a last one.
 *
 * @param socket - a connection on which the head of a message has been written.
 * @returns Bytes of memory that this process holds afterwards, compared with before.
 */
export async function memoryAfterSmallChunks(socket: Socket): Promise<number> {
  const before = await heldMemory();
  await new Promise((done) => {
    socket.write(BODY, done);
  });
  await wait(READ_MILLISECONDS);
  return (await heldMemory()) - before;
}

/** A server whose answers have such bodies. */
export class SmallChunksServer {
  private readonly sockets: Socket[] = [];

  private readonly server = createServer((socket) => {
    this.sockets.push(socket);
    socket.on('error', () => undefined);
  });

  /** Bytes of memory that the first answer has cost its reader. */
  readonly memory = this.answerFirst();

  /** @returns Address and port, once it listens. */
  async listen(): Promise<string> {
    const { address, port } = await listen(this.server, { host: '127.0.0.1', port: 0 });
    return `${address}:${port}`;
  }

  /** Closes all connections. */
  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private async answerFirst(): Promise<number> {
    const [socket] = (await once(this.server, 'connection')) as [Socket];
    await once(socket, 'data');
    socket.write(HEAD);
    return memoryAfterSmallChunks(socket);
  }
}
