/**
 * Stand-in for a runner that reads requests as HTTP and writes each answer byte for byte, so that some of them can be
 * spoiled. It listens on loopback and echoes the id of the request.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** What a runner has received. */
export interface RawRequest {
  readonly id: string;
  readonly path: string;
  /** Id of the last event that the caller has; missing if the stream begins. */
  readonly lastEventId: string | undefined;
  readonly socket: Socket;
}

/** Options of a {@link RawRunner}. */
export interface RawRunnerOptions {
  id: string;
  service: string;
  /** Answers on the socket. */
  answer: (request: RawRequest, runner: RawRunner) => void;
}

/**
 * @param request - the request that is answered.
 * @param status - status code and reason.
 * @param headers - further header lines.
 * @returns The head of an answer, with the id and the signature.
 */
export function headOf({ id }: RawRequest, status: string, headers: readonly string[]): string {
  const lines = [`HTTP/1.1 ${status}`, `Attempt-Id: ${id}`, ...headers];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** Serves requests one at a time on each connection. */
export class RawRunner {
  readonly id: string;

  /** Number of answers, and how many of them were spoiled. */
  answers = 0;

  spoiled = 0;

  private readonly options: RawRunnerOptions;

  private readonly server: Server;

  /**
   * @param options - id, service and answers.
   */
  constructor(options: RawRunnerOptions) {
    this.options = options;
    this.id = options.id;
    this.server = createServer((request) => this.take(request));
  }

  /** @returns Its entry in the store, once it listens. */
  async start(): Promise<object> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    const { port } = this.server.address() as AddressInfo;
    return {
      service: this.options.service,
      address: `127.0.0.1:${port}`,
      zone: 'here',
      version: 'v1',
      slots: 64,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
      born: Date.now(),
    };
  }

  /** Ends it and its connections. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Counts an answer that is broken off or spoiled. */
  recordSpoiled(): void {
    this.spoiled += 1;
  }

  private take(request: IncomingMessage): void {
    const { headers, socket, url = '/' } = request;
    request.resume();
    request.once('end', () => {
      if (headers['expect-instance'] !== this.id) {
        socket.end('HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n');
        return;
      }
      this.answers += 1;
      const lastEventId = headers['last-event-id'] as string | undefined;
      const id = String(headers['attempt-id']);
      this.options.answer({ id, path: url, lastEventId, socket }, this);
    });
  }
}
