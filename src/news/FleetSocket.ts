/**
 * The one socket by which a daemon exchanges datagrams with the others of its fleet. Each datagram is sealed; one
 * whose seal is not of the fleet is dropped.
 */
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';

import { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { Counter } from '../metrics/Counter.js';
import { openMessage, sealMessage } from './newsCodec.js';
import { newsLogEvents } from './newsFeature.js';

/** Options of a {@link FleetSocket}. */
export interface FleetSocketOptions {
  log: Log;
  /** The secret of the fleet, once it is known; nothing is sent or taken before. */
  secret: () => string | undefined;
  /** Counts what is sent, by kind. */
  sentBytes?: Pick<Counter<'kind'>, 'add'>;
}

/** As the metric names them. */
const KIND_NAMES: Readonly<Record<MessageKind, string>> = {
  [MessageKind.UNSPECIFIED]: 'news',
  [MessageKind.STORE_CHANGES]: 'store_changes',
  [MessageKind.RUNNER_QUESTION]: 'runner_question',
  [MessageKind.RUNNER_ANSWER]: 'runner_answer',
  [MessageKind.SILENT_DAEMONS]: 'silent_daemons',
  [MessageKind.CRASH_REPORT]: 'crash_report',
  [MessageKind.LEAVING_RUNNERS]: 'leaving_runners',
};

/** Takes one kind of messages. */
export type MessageHandler = (message: Uint8Array) => void;

/** Owns the socket. */
export class FleetSocket {
  private readonly options: FleetSocketOptions;

  private readonly handlers = new Map<MessageKind, MessageHandler>();

  private socket: Socket | undefined;

  /**
   * @param options - log and secret.
   */
  constructor(options: FleetSocketOptions) {
    this.options = options;
  }

  /** @returns The port at which datagrams are taken. */
  get port(): number {
    return this.socket?.address().port ?? 0;
  }

  /**
   * @param kind - of messages.
   * @param handler - takes them from now on.
   */
  handle(kind: MessageKind, handler: MessageHandler): void {
    this.handlers.set(kind, handler);
  }

  /**
   * @param address - of this daemon for datagrams.
   * @returns Once they are taken.
   */
  listen({ host, port }: HostAndPort): Promise<void> {
    const socket = createSocket('udp4');
    this.socket = socket;
    socket.on('message', (datagram) => this.take(datagram));
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
   * @param kind - of the message.
   * @param message - encoded.
   * @param recipients - where it goes; sealed once for all of them.
   */
  send(kind: MessageKind, message: Uint8Array, recipients: readonly HostAndPort[]): void {
    const { secret } = this.options;
    const key = secret();
    if (key === undefined || recipients.length === 0) return;
    const datagram = sealMessage(kind, message, key);
    this.options.sentBytes?.add(datagram.length * recipients.length, { kind: KIND_NAMES[kind] });
    for (const { host, port } of recipients) this.socket?.send(datagram, port, host);
  }

  /** Neither sends nor takes from now on. */
  close(): void {
    this.socket?.close();
    this.socket = undefined;
  }

  private take(datagram: Buffer): void {
    const key = this.options.secret();
    if (key === undefined) return;
    try {
      const opened = openMessage(datagram, key);
      if (opened) this.handlers.get(opened.kind)?.(opened.message);
    } catch (error) {
      this.reportError(error as Error);
    }
  }

  private reportError(error: Error): void {
    this.options.log.write(newsLogEvents.failed, { error: error.message });
  }
}
