/**
 * Counts the calls between daemons and their bytes on the wire, so that compliance with the control traffic budget can
 * be checked.
 */
import type { Duplex } from 'node:stream';
import { Socket } from 'node:net';

import { PeerService } from '../generated/baobabdock/v1/peers_pb.js';

/** Side of the calls that a count covers: calls that this daemon made or calls that it served. */
export type TrafficSide = 'called' | 'served';

/** Totals of one kind of call on one side since the start. */
export interface TrafficCount {
  /** Method name of the peer service, or {@link CONNECTION_CALL}. */
  readonly call: string;
  readonly side: TrafficSide;
  readonly calls: number;
  /** Bytes written to and read from TCP connections, including HTTP headers. */
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Kind of call to which the bytes of a served connection count until its first request. */
export const CONNECTION_CALL = 'connection';

/** Kind of the first call on each connection, which authenticates both sides. */
export const AUTHENTICATE_CALL = PeerService.method.authenticate.name;

/**
 * Returns the kind of call of a request path.
 *
 * @param path - the path, for example `/baobabdock.v1.PeerService/Gossip`.
 * @returns The last segment without the query, or {@link CONNECTION_CALL} if it is empty.
 */
export function callOfPath(path: string | null | undefined): string {
  const [withoutQuery = ''] = (path ?? '').split('?', 1);
  return withoutQuery.slice(withoutQuery.lastIndexOf('/') + 1) || CONNECTION_CALL;
}

interface MeteredSocket {
  call: string;
  side: TrafficSide;
  sentBytes: number;
  receivedBytes: number;
}

/** Counts calls and bytes of all sockets by side and kind of call. */
export class PeerTraffic {
  private readonly counts = new Map<string, TrafficCount>();

  private readonly sockets = new WeakMap<Duplex, MeteredSocket>();

  /**
   * Counts a call and attributes the further bytes of its socket to it. Earlier bytes are added to the previous call.
   *
   * @param socket - the connection.
   * @param side - whether this daemon makes or serves the call.
   * @param call - the kind of call.
   */
  startCall(socket: Duplex, side: TrafficSide, call: string): void {
    this.countBytes(socket);
    const metered = this.sockets.get(socket);
    if (metered) metered.call = call;
    else this.sockets.set(socket, { call, side, sentBytes: 0, receivedBytes: 0 });
    this.add(side, call, 1, 0, 0);
  }

  /**
   * Adds the bytes that a socket carried since the last count to its current call.
   *
   * @param socket - the connection.
   */
  countBytes(socket: Duplex): void {
    const metered = this.sockets.get(socket);
    if (!metered || !(socket instanceof Socket)) return;
    const sent = socket.bytesWritten - metered.sentBytes;
    const received = socket.bytesRead - metered.receivedBytes;
    metered.sentBytes += sent;
    metered.receivedBytes += received;
    this.add(metered.side, metered.call, 0, sent, received);
  }

  /** @returns The totals by side and kind of call. */
  snapshot(): TrafficCount[] {
    return [...this.counts.values()];
  }

  private add(side: TrafficSide, call: string, calls: number, sent: number, received: number) {
    const key = `${side} ${call}`;
    const before = this.counts.get(key);
    this.counts.set(key, {
      call,
      side,
      calls: (before?.calls ?? 0) + calls,
      sentBytes: (before?.sentBytes ?? 0) + sent,
      receivedBytes: (before?.receivedBytes ?? 0) + received,
    });
  }
}
