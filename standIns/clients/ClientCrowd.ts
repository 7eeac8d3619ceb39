/**
 * A crowd of clients that keep to no limit: raw connections to one port, each with bytes of its own.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

/** Bytes that one client of a crowd sends, in order. It stops when its connection is closed. */
export type ClientBytes = Iterable<Buffer | string>;

/** Options of a {@link ClientCrowd}. */
export interface ClientCrowdOptions {
  /** IP address and port that the clients connect to. */
  address: string;
  /** Number of clients. */
  clients: number;
  /** Returns what a client sends; its number is given. */
  bytesOf: (client: number) => ClientBytes;
  /** Whether the clients read what they are sent; those that do not leave it in the connection. */
  reads?: boolean;
}

/** Without any progress of any client for this long, what the crowd could do has been done; in ms. */
const QUIET_MILLISECONDS = 1_500;

const POLL_MILLISECONDS = 50;

/** Longest time that a crowd may take, in ms; clients that send slowly for good would never be quiet. */
const LONGEST_MILLISECONDS = 40_000;

/** Opens the connections, sends, and stays connected until it is told to leave. */
export class ClientCrowd {
  private readonly options: Required<ClientCrowdOptions>;

  private readonly sockets: Socket[] = [];

  private settledClients = 0;

  /**
   * @param options - the port, the number of clients, and what they send.
   */
  constructor(options: ClientCrowdOptions) {
    this.options = { reads: true, ...options };
  }

  /** @returns Number of clients whose connection is open. */
  get connected(): number {
    return this.sockets.filter(({ readyState }) => readyState === 'open').length;
  }

  /** Sends until each client has sent all, is closed, or no client gets on. */
  async press(): Promise<void> {
    const { clients, bytesOf } = this.options;
    for (let client = 0; client < clients; client += 1) {
      const socket = this.open();
      void this.send(socket, bytesOf(client)).then(() => {
        this.settledClients += 1;
      });
    }
    await this.untilQuiet();
  }

  /** Closes all connections. */
  leave(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  private open(): Socket {
    const [host, port] = this.options.address.split(':');
    const socket = connect({ host: host ?? '', port: Number(port), noDelay: true });
    socket.on('error', () => undefined);
    if (this.options.reads) socket.resume();
    this.sockets.push(socket);
    return socket;
  }

  private async send(socket: Socket, bytes: ClientBytes): Promise<void> {
    for (const part of bytes) {
      if (socket.destroyed || socket.writableEnded) return;
      if (!socket.write(part)) await this.untilDrained(socket);
    }
  }

  private untilDrained(socket: Socket): Promise<void> {
    return new Promise((done) => {
      const finish = () => {
        socket.off('drain', finish);
        socket.off('close', finish);
        done();
      };
      socket.once('drain', finish);
      socket.once('close', finish);
    });
  }

  /** What would change if any client got on: bytes that left, and connections that opened or closed. */
  private progress(): string {
    const sent = this.sockets.reduce(
      (sum, { bytesWritten, writableLength }) => sum + bytesWritten - writableLength,
      0,
    );
    return [sent, this.connected, this.settledClients].join();
  }

  private async untilQuiet(): Promise<void> {
    const endsAt = performance.now() + LONGEST_MILLISECONDS;
    let [before, quietSince] = ['', performance.now()];
    while (performance.now() < endsAt && performance.now() - quietSince < QUIET_MILLISECONDS) {
      await wait(POLL_MILLISECONDS);
      const now = this.progress();
      if (now !== before) [before, quietSince] = [now, performance.now()];
    }
  }
}
