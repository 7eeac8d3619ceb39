/**
 * An HTTP/2 session manager whose sessions cannot end the process.
 */
import type { EventEmitter } from 'node:events';
import type {
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from 'node:http2';

import { Http2SessionManager } from '@connectrpc/connect-node';

/** The part of the manager's state that has a session. */
interface ReadyState {
  readonly conn?: EventEmitter;
}

/**
 * Keeps a listener for errors on every session.
 *
 * When a member ends an idle connection, the manager destroys the session with an error, which Node emits a
 * tick later. A call that comes in between makes the manager leave the session and take its own listener
 * off; the error then has no listener and ends the process. One would notice daemons that die when the
 * platform restarts. The listener here stays for the session's life; the manager sees every error first.
 */
export class GuardedSessionManager extends Http2SessionManager {
  private readonly guarded = new WeakSet<EventEmitter>();

  override async connect(): Promise<'open' | 'idle' | 'error'> {
    const state = await super.connect();
    // The library keeps its session to itself; there is no other way to one that has carried no call.
    const { conn } = this['s'] as ReadyState; // eslint-disable-line @typescript-eslint/dot-notation
    this.guard(conn);
    return state;
  }

  override async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(method, path, headers, options);
    this.guard(stream.session);
    return stream;
  }

  private guard(session: EventEmitter | undefined): void {
    if (!session || this.guarded.has(session) || !('on' in session)) return;
    this.guarded.add(session);
    session.on('error', () => {});
  }
}
