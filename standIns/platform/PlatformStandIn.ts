/**
 * The platform's stand-in: serves the etcd subset of `proto/etcd/` on loopback, with the limits that the
 * brief names and with faults to switch on.
 */
import { createServer } from 'node:http2';
import type { Http2Server, ServerHttp2Session } from 'node:http2';

import { connectNodeAdapter } from '@connectrpc/connect-node';

import { listen } from '../../src/http/listen.js';
import type { Clock } from '../../src/time/Clock.js';
import { SystemClock } from '../../src/time/SystemClock.js';
import { EtcdService } from './EtcdService.js';
import { KeyValueState } from './KeyValueState.js';
import { PlatformFaults } from './PlatformFaults.js';
import { RateLimit } from './RateLimit.js';

/** Writes a second that the brief's platform takes ("several hundred"). */
export const WRITES_PER_SECOND = 500;

/** Reads a second that the brief's platform takes ("about two thousand"). */
export const READS_PER_SECOND = 2000;

/** How often leases are looked at, in milliseconds. */
const LEASE_CHECK_MILLISECONDS = 100;

/** Options of a {@link PlatformStandIn}. */
export interface PlatformStandInOptions {
  host?: string;
  /** 0 takes any free port. */
  port?: number;
  clock?: Clock;
  state?: KeyValueState;
  faults?: PlatformFaults;
  writesPerSecond?: number;
  readsPerSecond?: number;
}

/** A server of the platform's interface within this process. */
export class PlatformStandIn {
  readonly state: KeyValueState;

  readonly faults: PlatformFaults;

  readonly service: EtcdService;

  private readonly host: string;

  private readonly clock: Clock;

  private readonly server: Http2Server;

  private readonly sessions = new Set<ServerHttp2Session>();

  private port: number;

  private leaseTimer: NodeJS.Timeout | undefined;

  /**
   * @param options - where to listen, the clock of leases and the limits.
   */
  constructor({
    host = '127.0.0.1',
    port = 0,
    clock = new SystemClock(),
    state = new KeyValueState(),
    faults = new PlatformFaults(),
    writesPerSecond = WRITES_PER_SECOND,
    readsPerSecond = READS_PER_SECOND,
  }: PlatformStandInOptions = {}) {
    this.host = host;
    this.port = port;
    this.clock = clock;
    this.state = state;
    this.faults = faults;
    this.service = new EtcdService({
      state,
      faults,
      clock,
      writes: new RateLimit({ clock, perSecond: writesPerSecond }),
      reads: new RateLimit({ clock, perSecond: readsPerSecond }),
    });
    this.server = createServer(connectNodeAdapter({ routes: this.service.routes }));
    this.server.on('session', (session) => this.keepSession(session));
    faults.onBreak(() => {
      if (faults.lasting.outage) this.dropConnections();
    });
  }

  /**
   * Starts to listen.
   *
   * @returns The address, as `http://host:port`.
   */
  async start(): Promise<string> {
    const { port } = await listen(this.server, { host: this.host, port: this.port });
    this.port = port;
    this.leaseTimer = setInterval(
      () => this.state.expireLeases(this.clock.monotonicMilliseconds()),
      LEASE_CHECK_MILLISECONDS,
    );
    return this.address;
  }

  /** @returns The address, as `http://host:port`. */
  get address(): string {
    return `http://${this.host}:${this.port}`;
  }

  /** Cuts every connection, as a crash of the platform would. */
  dropConnections(): void {
    this.sessions.forEach((session) => session.destroy());
  }

  /** Stops listening and cuts every connection. */
  async stop(): Promise<void> {
    clearInterval(this.leaseTimer);
    this.faults.breakWatches();
    const closed = new Promise((resolve) => {
      this.server.close(resolve);
    });
    this.dropConnections();
    await closed;
  }

  private keepSession(session: ServerHttp2Session): void {
    if (this.faults.lasting.outage) {
      session.destroy();
      return;
    }
    this.sessions.add(session);
    session.on('close', () => this.sessions.delete(session));
    session.on('error', () => {});
  }
}
