/**
 * One direction of a proxied connection, and the queue that all connections of a link share.
 */
import type { Socket } from 'node:net';

import type { LinkPace } from './linkTypes.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** One direction of a link; it keeps the order. */
export class LinkQueue {
  pace: LinkPace = { bytesPerSecond: 0, delayMilliseconds: 0 };

  private freeAt = 0;

  /**
   * @param bytes - of a piece that is sent now.
   * @returns When it arrives, monotonic ms.
   */
  arrivalOf(bytes: number): number {
    const { bytesPerSecond, delayMilliseconds } = this.pace;
    const sending = bytesPerSecond > 0 ? (bytes * MILLISECONDS_PER_SECOND) / bytesPerSecond : 0;
    this.freeAt = Math.max(this.freeAt, performance.now()) + sending;
    return this.freeAt + delayMilliseconds;
  }
}

interface Piece {
  readonly dueAt: number;
  /** `undefined` for the end. */
  readonly bytes: Buffer | undefined;
}

/** Options of a {@link Flow}. */
export interface FlowOptions {
  source: Socket;
  sink: Socket;
  queue: LinkQueue;
  /** Whether this direction is cut. */
  isHeld: () => boolean;
  /** Called when the source was reset. */
  onReset: () => void;
}

/** Passes what one end sends, in order. */
export class Flow {
  isSilenced = false;

  private readonly options: FlowOptions;

  private readonly pieces: Piece[] = [];

  private timer: NodeJS.Timeout | undefined;

  /**
   * @param options - both ends.
   */
  constructor(options: FlowOptions) {
    this.options = options;
    options.source.on('data', (bytes: Buffer) => this.take(bytes));
    options.source.once('end', () => this.handleEnd());
  }

  /** Passes the data that is due. */
  pump(): void {
    clearTimeout(this.timer);
    for (let [next] = this.pieces; next && !this.options.isHeld(); [next] = this.pieces) {
      const wait = next.dueAt - performance.now();
      if (wait > 0) {
        this.timer = setTimeout(() => this.pump(), Math.ceil(wait));
        return;
      }
      this.pieces.shift();
      this.pass(next.bytes);
    }
  }

  /** Drops the queued data. */
  stop(): void {
    clearTimeout(this.timer);
    this.pieces.length = 0;
  }

  /** The event loop reports a reset that arrives together with data as an ordinary end; only the peer's address is gone. */
  private handleEnd(): void {
    const { source, onReset } = this.options;
    if (source.remoteAddress === undefined) onReset();
    else this.take(undefined);
  }

  private take(bytes: Buffer | undefined): void {
    if (this.isSilenced) return;
    this.pieces.push({ dueAt: this.options.queue.arrivalOf(bytes?.length ?? 0), bytes });
    this.pump();
  }

  private pass(bytes: Buffer | undefined): void {
    const { sink } = this.options;
    if (this.isSilenced || !sink.writable) return;
    if (bytes) sink.write(bytes);
    else sink.end();
  }
}
