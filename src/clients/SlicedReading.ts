/**
 * Reads a connection in small slices, each in a turn of its own. The HTTP library parses all that one read brings at
 * once, which for chunks of one byte takes a tenth of a second.
 */
import type { Socket } from 'node:net';

type DataListener = (chunk: Buffer) => void;

/** Passes what arrives on to the listeners of the connection, when it is told to. */
export class SlicedReading {
  private readonly socket: Socket;

  /** The parser of the HTTP library. */
  private readonly listeners: readonly DataListener[];

  private pending: Buffer | undefined;

  /**
   * @param socket - the connection; nobody else adds or removes listeners of its data afterwards.
   * @param onPending - called with the number of bytes that have arrived and wait to be passed on.
   */
  constructor(socket: Socket, onPending: (bytes: number) => void) {
    this.socket = socket;
    this.listeners = socket.listeners('data') as DataListener[];
    socket.removeAllListeners('data');
    // The library reads past the stream until somebody listens to it.
    socket.on('data', (chunk: Buffer) => {
      this.pending = this.pending ? Buffer.concat([this.pending, chunk]) : chunk;
      socket.pause();
      onPending(chunk.length);
    });
    socket.pause();
    this.keepPaused();
  }

  /** @returns Number of bytes that wait. */
  get pendingBytes(): number {
    return (this.pending?.length ?? 0) + this.socket.readableLength;
  }

  /**
   * Passes bytes on.
   *
   * @param bytes - how many at most.
   * @returns Whether more of them wait.
   */
  passSlice(bytes: number): boolean {
    const { pending, socket } = this;
    if (socket.destroyed) return false;
    if (!pending) {
      socket.resume();
      return false;
    }
    this.pending = pending.length > bytes ? pending.subarray(bytes) : undefined;
    const slice = pending.subarray(0, bytes);
    for (const listener of this.listeners) listener.call(socket, slice);
    if (this.pending === undefined) {
      socket.resume();
      return false;
    }
    return true;
  }

  /** The parser resumes its connection whenever a part of a body has been taken, also later in the same turn. */
  private keepPaused(): void {
    const { socket } = this;
    const resume = socket.resume.bind(socket);
    Object.assign(socket, {
      resume: () => (this.pending === undefined ? resume() : socket),
    });
  }
}
