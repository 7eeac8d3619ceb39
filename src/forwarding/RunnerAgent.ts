/**
 * Pool of keep-alive connections to one runner.
 *
 * The HTTP library's default pool fails in two ways. A request may be sent on a connection that the runner is closing
 * because it was idle; it is then unknown whether the request has run. And bytes that a runner sends after a complete
 * answer may be read as the answer to the next request. The symptoms are connection resets on reused connections, and
 * answers with the id of another request. Therefore an idle connection is closed well before the runner's own idle
 * limit, and also as soon as any data arrives on it.
 */
import { Agent } from 'node:http';
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/**
 * Idle limit for a runner that sends no `Keep-Alive` timeout, in ms. Its limit may be below one second, the smallest
 * value that the header can express.
 */
const UNSTATED_IDLE_MILLISECONDS = 400;

/**
 * Margin before the runner's idle limit, in ms. A request takes a few ms to arrive, and timers of busy processes are
 * late by more than that.
 */
const IDLE_MARGIN_MILLISECONDS = 800;

/** Maximum idle time, in ms. A connection that was idle for longer may be dead without a reset having arrived. */
const MAXIMUM_IDLE_MILLISECONDS = 6_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** How long a runner's own idle limit is remembered after it has closed an idle connection, in ms. */
const OBSERVED_LIMIT_MILLISECONDS = 60_000;

/** Shortest idle time for which a connection is kept, in ms. */
const SHORTEST_IDLE_MILLISECONDS = 5;

/** Maximum number of idle connections; limits how many remain open after a burst. */
const MAXIMUM_IDLE_CONNECTIONS = 16;

interface IdleSocket extends Socket {
  _httpMessage?: { res?: { headers: Record<string, string | undefined> } };
}

interface IdleWatch {
  readonly timer: NodeJS.Timeout;
  readonly onData: () => void;
  readonly onEnd: () => void;
}

function idleLimitMilliseconds(keepAliveHeader: string | undefined): number {
  const seconds = /timeout=(\d+)/u.exec(keepAliveHeader ?? '')?.[1];
  if (seconds === undefined) return UNSTATED_IDLE_MILLISECONDS;
  const limit = Number(seconds) * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MILLISECONDS;
  return Math.min(MAXIMUM_IDLE_MILLISECONDS, limit);
}

/** Options of a {@link RunnerAgent}. */
export interface RunnerAgentOptions {
  /** Called when the runner's instance has closed an idle connection. */
  onLost?: () => void;
}

/** HTTP agent that closes idle connections early, and when data arrives on them. */
export class RunnerAgent extends Agent {
  private readonly idleWatches = new WeakMap<Socket, IdleWatch>();

  private isReleased = false;

  /** Idle time after which the runner closes connections, sooner than it states perhaps; in ms. */
  private observedLimit = Number.POSITIVE_INFINITY;

  /** When it was observed, monotonic ms. */
  private observedAt = Number.NEGATIVE_INFINITY;

  private readonly onLost: () => void;

  /**
   * @param options - the listener.
   */
  constructor({ onLost = () => undefined }: RunnerAgentOptions = {}) {
    super({ keepAlive: true, scheduling: 'lifo', maxFreeSockets: MAXIMUM_IDLE_CONNECTIONS });
    this.onLost = onLost;
  }

  /**
   * Called by the HTTP library when an answer is complete.
   *
   * @param socket - connection that has become idle.
   * @returns Whether to keep the connection.
   */
  override keepSocketAlive(socket: IdleSocket): boolean {
    if (this.isReleased) return false;
    const stated = idleLimitMilliseconds(socket._httpMessage?.res?.headers['keep-alive']);
    const idleSince = performance.now();
    const idleLimit = Math.min(stated, this.observedLimitAt(idleSince) / 2);
    if (idleLimit < SHORTEST_IDLE_MILLISECONDS) return false;
    const onData = () => socket.destroy();
    const onEnd = () => {
      this.observeLimit(idleSince);
      this.onLost();
    };
    socket.on('data', onData);
    socket.once('end', onEnd);
    socket.once('error', onEnd);
    const timer = setTimeout(onData, idleLimit).unref();
    this.idleWatches.set(socket, { timer, onData, onEnd });
    socket.unref();
    return true;
  }

  /**
   * Called by the HTTP library before an idle connection carries the next request.
   *
   * @param socket - idle connection.
   * @param request - request that will be sent on it.
   */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    const watch = this.idleWatches.get(socket);
    if (watch) {
      clearTimeout(watch.timer);
      socket.off('data', watch.onData);
      socket.off('end', watch.onEnd);
      socket.off('error', watch.onEnd);
    }
    super.reuseSocket(socket, request);
  }

  private observedLimitAt(now: number): number {
    const isRecent = now - this.observedAt < OBSERVED_LIMIT_MILLISECONDS;
    return isRecent ? this.observedLimit : Number.POSITIVE_INFINITY;
  }

  /** A runner that closes idle connections by habit would otherwise be taken for one that starts again and again. */
  private observeLimit(idleSince: number): void {
    const now = performance.now();
    this.observedLimit = Math.min(this.observedLimitAt(now), now - idleSince);
    this.observedAt = now;
  }

  /** Closes idle connections and keeps no others from now on; requests in progress continue. */
  release(): void {
    this.isReleased = true;
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}
