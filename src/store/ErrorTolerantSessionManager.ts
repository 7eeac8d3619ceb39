/**
 * HTTP/2 session manager that keeps a session error from ending the process.
 */
import type { EventEmitter } from 'node:events';
import type {
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from 'node:http2';

import { Http2SessionManager } from '@connectrpc/connect-node';

/** The part of the base class's private state that holds the session. */
interface ReadyState {
  readonly conn?: EventEmitter;
}

/**
 * Keeps an error listener on every session until the session ends.
 *
 * When a member of the store closes an idle connection, the base class destroys the session with an error, which Node
 * emits a tick later. A call in between makes the base class abandon the session and remove its own listener, so that
 * the error is unhandled and ends the process: daemons would exit when the store restarts. The listener here is never
 * removed, and the base class still gets every error first.
 */
export class ErrorTolerantSessionManager extends Http2SessionManager {
  private readonly sessionsWithListener = new WeakSet<EventEmitter>();

  override async connect(): Promise<'open' | 'idle' | 'error'> {
    const state = await super.connect();
    // The library does not expose its session; before the first call, only its private state gives access to it.
    const { conn } = this['s'] as ReadyState; // eslint-disable-line @typescript-eslint/dot-notation
    this.addErrorListener(conn);
    return state;
  }

  override async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream> {
    const stream = await super.request(method, path, headers, options);
    this.addErrorListener(stream.session);
    return stream;
  }

  private addErrorListener(session: EventEmitter | undefined): void {
    if (!session || this.sessionsWithListener.has(session) || !('on' in session)) return;
    this.sessionsWithListener.add(session);
    session.on('error', () => {});
  }
}
