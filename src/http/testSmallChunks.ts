/**
 * Test helper: a message whose body comes in chunks of one byte and does not end, and what its reader holds of it.
 */
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

import { listen } from './listen.js';
import { heldMemory } from './testMemory.js';

/** Bytes of the body, each in a chunk of its own; within the limits of all readers. */
const BODY_BYTES = 60_000;

/** How long the reader may take for the chunks, in ms. */
const READ_MILLISECONDS = 300;

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

  private readonly head: string;

  private readonly server: Server;

  private growth: Promise<number> | undefined;

  /**
   * @param headers - header lines of the answer, each with its line end.
   */
  constructor(headers = '') {
    this.head = `HTTP/1.1 200 OK\r\n${headers}Transfer-Encoding: chunked\r\n\r\n`;
    this.server = createServer((socket) => {
      this.sockets.push(socket);
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write(this.head);
        this.growth ??= memoryAfterSmallChunks(socket);
      });
    });
  }

  /** @returns Address and port, once it listens. */
  async listen(): Promise<string> {
    const { address, port } = await listen(this.server, { host: '127.0.0.1', port: 0 });
    return `${address}:${port}`;
  }

  /** @returns Bytes of memory that the first answer has cost its reader. */
  async memory(): Promise<number> {
    while (!this.growth) await wait(1);
    return this.growth;
  }

  /** Closes all connections. */
  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }
}
