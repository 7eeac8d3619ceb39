/**
 * Kept connections to one runner.
 *
 * What goes wrong with the library's defaults: a request is sent on a connection that the runner is closing
 * for idleness, and nobody knows whether it has run; or bytes that a runner sends after a complete answer are
 * taken for the answer to the next request. One would see resets on reused connections, and answers with the
 * id of another request. A connection is kept only well below the runner's own limit, and one that says
 * anything while idle is closed.
 */
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** Where a runner states no limit it is below one second, the smallest that its header can state. */
const UNSTATED_IDLE_MILLISECONDS = 400;

/** A request is on its way for some ms, and timers of busy processes are late by more. */
const IDLE_MARGIN_MILLISECONDS = 800;

/** Longer than this a quiet connection may have gone dead without a sign. */
const MAXIMUM_IDLE_MILLISECONDS = 6_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Idle connections beyond this are closed; a burst leaves no more behind. */
const MAXIMUM_IDLE_CONNECTIONS = 16;

interface IdleSocket extends Socket {
  _httpMessage?: { res?: { headers: Record<string, string | undefined> } };
}

interface IdleGuard {
  readonly timer: NodeJS.Timeout;
  readonly onData: () => void;
}

function idleMilliseconds(hint: string | undefined): number {
  const seconds = /timeout=(\d+)/u.exec(hint ?? '')?.[1];
  if (seconds === undefined) return UNSTATED_IDLE_MILLISECONDS;
  const limit = Number(seconds) * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MILLISECONDS;
  return Math.min(MAXIMUM_IDLE_MILLISECONDS, limit);
}

/** The library's pool with guards on what is idle. */
export class RunnerAgent extends Agent {
  private readonly guards = new WeakMap<Socket, IdleGuard>();

  private isReleased = false;

  constructor() {
    super({ keepAlive: true, scheduling: 'lifo', maxFreeSockets: MAXIMUM_IDLE_CONNECTIONS });
  }

  /**
   * Called by the library when an answer is complete.
   *
   * @param socket - the connection.
   * @returns Whether to keep it.
   */
  override keepSocketAlive(socket: IdleSocket): boolean {
    if (this.isReleased) return false;
    const idle = idleMilliseconds(socket._httpMessage?.res?.headers['keep-alive']);
    if (idle <= 0) return false;
    const onData = () => socket.destroy();
    socket.on('data', onData);
    const timer = setTimeout(onData, idle).unref();
    this.guards.set(socket, { timer, onData });
    socket.unref();
    return true;
  }

  /**
   * Called by the library before a kept connection gets the next request.
   *
   * @param socket - the connection.
   * @param request - what it will carry.
   */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const guard = this.guards.get(socket);
    if (guard) {
      clearTimeout(guard.timer);
      socket.off('data', guard.onData);
    }
    super.reuseSocket(socket, request);
  }

  /** Closes what is idle, and keeps no more connections; requests in progress go on. */
  release(): void {
    this.isReleased = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}
