/**
 * Interface through which a daemon calls other daemons. Implementations sign each call and limit its time and size.
 */
import type { Client } from '@connectrpc/connect';

import type { PeerService } from '../generated/baobabdock/v1/peers_pb.js';

/** Provides clients for the daemons at the addresses in their member records. */
export abstract class PeerLink {
  /**
   * Returns the client of one daemon.
   *
   * @param daemonId - name of the daemon; the token of each call is valid only there, so other daemons refuse it.
   * @param peerAddress - `host:port` of the daemon.
   * @returns A client over keep-alive connections; its calls throw `ConnectError`.
   */
  abstract clientFor(daemonId: string, peerAddress: string): Client<typeof PeerService>;

  /** Closes all connections. */
  abstract close(): void;
}
