/**
 * The bytes of a body that is being received, within the memory for all clients.
 */
import type { Socket } from 'node:net';

import { BodyBlocks } from './BodyBlocks.js';
import type { ClientConnections } from './ClientConnections.js';
import type { MemoryReservation } from './MemoryBudget.js';

/** What a body that is being received needs of the limits for all clients. */
export type BodyLimits = Pick<ClientConnections, 'of' | 'turns' | 'garbage' | 'report'>;

/** Options of a {@link HeldBody}. */
export interface HeldBodyOptions {
  /** Connection on which the body arrives. */
  socket: Socket;
  /** Of the request. */
  memory: MemoryReservation;
  /** Limits for all clients; none by default. */
  clients?: BodyLimits | undefined;
}

/** Holds what has arrived, and counts it. */
export class HeldBody {
  private readonly options: HeldBodyOptions;

  private readonly connection;

  private readonly blocks = new BodyBlocks();

  /**
   * @param options - the connection and the memory of the request.
   */
  constructor(options: HeldBodyOptions) {
    this.options = options;
    this.connection = options.clients?.of(options.socket);
  }

  /** @returns Number of bytes that are held. */
  get length(): number {
    return this.blocks.length;
  }

  /**
   * @param chunk - bytes as they arrived.
   * @returns Whether there is memory for them.
   */
  append(chunk: Buffer): boolean {
    const { memory, clients } = this.options;
    const before = this.blocks.capacity;
    this.blocks.append(chunk);
    const grown = this.blocks.capacity - before;
    if (grown > 0 && !memory.grow(grown)) return false;
    memory.recordProgress();
    clients?.garbage.recordReceived(chunk.length);
    if (this.connection) clients?.turns.countChunk(this.connection);
    return true;
  }

  /** @returns The whole body, whose memory stays reserved. */
  take(): Buffer {
    return this.blocks.take();
  }

  /** Drops all bytes and gives their memory back. */
  drop(): void {
    this.options.memory.shrink(this.blocks.capacity);
    this.blocks.take();
  }
}
