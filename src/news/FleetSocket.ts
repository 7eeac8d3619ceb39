/**
 * The UDP socket through which a daemon exchanges datagrams with the other daemons of its fleet. Each datagram is
 * authenticated with the fleet's secret; one that fails authentication is dropped.
 */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';

import { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { Counter } from '../metrics/Counter.js';
import { decodeDatagram, encodeDatagram } from './newsCodec.js';
import { newsLogEvents } from './newsFeature.js';

/** Options of a {@link FleetSocket}. */
export interface FleetSocketOptions {
  log: Log;
  /**
   * Returns the fleet's secret, or `undefined` while it is unknown; until then nothing is sent and everything
   * received is dropped.
   */
  secret: () => string | undefined;
  /** Counts the bytes sent, by kind of message. */
  sentBytes?: Pick<Counter<'kind'>, 'add'>;
}

/** Values of the metric's label `kind`. */
const KIND_NAMES: Readonly<Record<MessageKind, string>> = {
  [MessageKind.UNSPECIFIED]: 'news',
  [MessageKind.STORE_CHANGES]: 'store_changes',
  [MessageKind.RUNNER_QUESTION]: 'runner_question',
  [MessageKind.RUNNER_ANSWER]: 'runner_answer',
  [MessageKind.SILENT_DAEMONS]: 'silent_daemons',
  [MessageKind.CRASH_REPORT]: 'crash_report',
  [MessageKind.LEAVING_RUNNERS]: 'leaving_runners',
  [MessageKind.STREAM_VERSIONS]: 'stream_versions',
  [MessageKind.STREAM_VERSION_QUESTION]: 'stream_version_question',
  [MessageKind.STREAM_VERSION_ANSWER]: 'stream_version_answer',
  [MessageKind.SUSPECTED_RESTARTS]: 'suspected_restarts',
  [MessageKind.PROMPT_VERSIONS]: 'prompt_versions',
};

/** Handles messages of one kind. */
export type MessageHandler = (message: Uint8Array) => void;

/** Owns the socket. */
export class FleetSocket {
  private readonly options: FleetSocketOptions;

  private readonly handlers = new Map<MessageKind, MessageHandler>();

  private socket: Socket | undefined;

  /**
   * @param options - the log, the secret and the counter of sent bytes.
   */
  constructor(options: FleetSocketOptions) {
    this.options = options;
  }

  /** @returns The port at which datagrams are received; 0 while the socket is closed. */
  get port(): number {
    return this.socket?.address().port ?? 0;
  }

  /**
   * Sets the handler for a kind of messages.
   *
   * @param kind - kind of the messages.
   * @param handler - called for each message of this kind.
   */
  handle(kind: MessageKind, handler: MessageHandler): void {
    this.handlers.set(kind, handler);
  }

  /**
   * Opens the socket.
   *
   * @param address - address at which this daemon receives datagrams.
   * @returns Once the socket is bound.
   */
  listen({ host, port }: HostAndPort): Promise<void> {
    const socket = createSocket('udp4');
    this.socket = socket;
    socket.on('message', (datagram) => this.receive(datagram));
    return new Promise((done, fail) => {
      socket.once('error', fail);
      socket.bind({ address: host, port }, () => {
        socket.off('error', fail);
        socket.on('error', (error) => this.reportError(error));
        done();
      });
    });
  }

  /**
   * Sends a message; it is authenticated once for all recipients.
   *
   * @param kind - kind of the message.
   * @param message - the encoded message.
   * @param recipients - addresses of the recipients.
   */
  send(kind: MessageKind, message: Uint8Array, recipients: readonly HostAndPort[]): void {
    const { secret } = this.options;
    const key = secret();
    if (key === undefined || recipients.length === 0) return;
    const datagram = encodeDatagram(kind, message, key);
    this.options.sentBytes?.add(datagram.length * recipients.length, { kind: KIND_NAMES[kind] });
    for (const { host, port } of recipients) this.socket?.send(datagram, port, host);
  }

  /** Stops sending and receiving. */
  close(): void {
    this.socket?.close();
    this.socket = undefined;
  }

  private receive(datagram: Buffer): void {
    const key = this.options.secret();
    if (key === undefined) return;
    try {
      const opened = decodeDatagram(datagram, key);
      if (opened) this.handlers.get(opened.kind)?.(opened.message);
    } catch (error) {
      this.reportError(error as Error);
    }
  }

  private reportError(error: Error): void {
    this.options.log.write(newsLogEvents.failed, { error: error.message });
  }
}
