/**
 * Shares the event loop between connections. A crowd that sends its bodies in chunks of one byte would keep the process
 * from everybody else; connections that do so are read from in turns.
 */
import type { ClientConnection } from './ClientConnection.js';

/** Chunks of one connection in one interval, beyond which it is read from in turns. */
const CHUNKS_IN_INTERVAL = 500;

const INTERVAL_MILLISECONDS = 20;

/** Bytes in one turn; chunks of one byte in them take some milliseconds. */
const SLICE_BYTES = 4_096;

/** Options of {@link ReadTurns}. */
export interface ReadTurnsOptions {
  /** Returns all connections of clients. */
  connections: () => Iterable<ClientConnection>;
  /** Called with the number of bytes that have been read and wait for a turn. */
  onRead: (bytes: number) => void;
}

/** Decides which connection is read from next. */
export class ReadTurns {
  private readonly options: ReadTurnsOptions;

  /** Connections with many chunks. */
  private readonly heavy = new WeakSet<ClientConnection>();

  /** Connections that wait for their turn; those without many chunks go first. */
  private readonly waiting = {
    light: new Set<ClientConnection>(),
    heavy: new Set<ClientConnection>(),
  };

  private isScheduled = false;

  /**
   * @param options - the connections.
   */
  constructor(options: ReadTurnsOptions) {
    this.options = options;
  }

  /**
   * @param connection - has sent a chunk of a body.
   */
  countChunk(connection: ClientConnection): void {
    if (connection.countChunk(INTERVAL_MILLISECONDS) < CHUNKS_IN_INTERVAL) return;
    if (this.heavy.has(connection)) return;
    this.heavy.add(connection);
    // Others may have as many chunks to be read in this turn of the event loop.
    for (const other of this.options.connections()) {
      if (other.phase !== 'idle') this.slice(other);
    }
  }

  /**
   * Reads from a connection in turns from now on.
   *
   * @param connection - a connection of a client.
   */
  slice(connection: ClientConnection): void {
    connection.slice((bytes) => {
      this.options.onRead(bytes);
      this.enqueue(connection);
    });
    this.enqueue(connection);
  }

  /**
   * @param connection - is closed.
   */
  forget(connection: ClientConnection): void {
    this.waiting.light.delete(connection);
    this.waiting.heavy.delete(connection);
  }

  private enqueue(connection: ClientConnection): void {
    const { light, heavy } = this.waiting;
    (this.heavy.has(connection) ? heavy : light).add(connection);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.giveTurn());
  }

  private giveTurn(): void {
    this.isScheduled = false;
    const { light, heavy } = this.waiting;
    const [next] = light.size > 0 ? light : heavy;
    if (!next) return;
    this.forget(next);
    if (next.passSlice(SLICE_BYTES)) this.enqueue(next);
    if (light.size + heavy.size > 0) this.schedule();
  }
}
