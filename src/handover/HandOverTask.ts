/**
 * Decides which requests of this daemon are handed over to another daemon, and to which one.
 *
 * What fails without it: a daemon that has lost its path to the runners refuses everything, although other daemons reach
 * them, and callers keep coming back for as long as they keep its address.
 */
import { Agent } from 'node:http';

import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { ConfirmationTimes } from './ConfirmationTimes.js';
import { HandOverPeers } from './HandOverPeers.js';
import type { RunnerPath } from './RunnerPath.js';

/** How long a service that no other daemon reaches either is not handed over, in ms. */
const UNREACHED_MILLISECONDS = 1_000;

/** Maximum number of connections to one other daemon. */
const MAXIMUM_CONNECTIONS = 256;

/** Options of a {@link HandOverTask}. */
export interface HandOverTaskOptions {
  /** This daemon's entry in the list of daemons. */
  daemon: DaemonEntry;
  path: RunnerPath;
  /** Returns the available daemons except this one. */
  daemons: () => readonly DaemonEntry[];
  /** Whether another daemon has said that it reaches no runner. */
  hasNoPath: (name: string) => boolean;
  /** Returns the fleet's secret, or `undefined` while it is unknown. */
  secret: () => string | undefined;
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
}

/** State that all requests of a daemon share. */
export class HandOverTask {
  /** Connections to other daemons. */
  readonly agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_CONNECTIONS });

  readonly log: Log;

  private readonly options: HandOverTaskOptions;

  private readonly peers: HandOverPeers;

  private readonly confirmations = new ConfirmationTimes();

  private readonly unreachedAt = new Map<string, number>();

  private readonly results;

  /**
   * @param options - this daemon, its path to the runners, and the other daemons.
   */
  constructor(options: HandOverTaskOptions) {
    this.options = options;
    this.log = options.log;
    this.peers = new HandOverPeers(options.daemon);
    this.results = options.registry.counter({
      name: 'hand_overs',
      help: 'Requests handed over to another daemon, because this one did not reach a runner, by what came of it.',
      labels: ['result'] as const,
    });
    options.registry
      .gauge({ name: 'runner_path_lost', help: '1 while this daemon reaches no runner.' })
      .readFrom(() => Number(options.path.isLost));
  }

  /** @returns Name of this daemon. */
  get sender(): string {
    return this.options.daemon.name;
  }

  /** @returns The fleet's secret, or `undefined` while it is unknown. */
  get secret(): string | undefined {
    return this.options.secret();
  }

  /** @returns Whether there is no other daemon. */
  get isAlone(): boolean {
    return this.options.daemons().length === 0;
  }

  /**
   * @param service - service of a request.
   * @returns Whether neither this daemon nor another one has reached its runners lately.
   */
  isHopeless(service: string): boolean {
    return this.options.path.isLost && !this.mayHelp(service);
  }

  /**
   * @param service - service of a request.
   * @returns Whether its requests go to another daemon without an attempt of this one.
   */
  isNeeded(service: string): boolean {
    return this.options.path.isLost && this.mayHelp(service);
  }

  /**
   * @param service - service of a request that reached no runner from here.
   * @returns Whether another daemon may reach one.
   */
  mayHelp(service: string): boolean {
    const unreachedAt = this.unreachedAt.get(service) ?? Number.NEGATIVE_INFINITY;
    return this.secret !== undefined && this.now - unreachedAt >= UNREACHED_MILLISECONDS;
  }

  /**
   * @param asked - names of the daemons that were asked for this request already.
   * @returns The daemon to ask next; `undefined` if none is left.
   */
  choosePeer(asked: ReadonlySet<string>): DaemonEntry | undefined {
    const { daemons, hasNoPath } = this.options;
    return this.peers.choose({ daemons: daemons(), asked, hasNoPath, now: this.now });
  }

  /** @returns Time after which a request is offered to another daemon as well, in ms. */
  get delayMilliseconds(): number {
    return this.confirmations.delayMilliseconds;
  }

  /**
   * @param name - daemon that took a request.
   * @param milliseconds - how long it took to confirm.
   */
  recordAccepted(name: string, milliseconds: number): void {
    this.confirmations.record(milliseconds);
    this.peers.recordAccepted(name, this.now);
    this.results.increment({ result: 'taken' });
  }

  /**
   * @param name - daemon that had no room for a request that it took.
   */
  recordFull(name: string): void {
    this.peers.recordFull(name);
    this.results.increment({ result: 'full' });
  }

  /**
   * @param name - daemon that refused a request.
   */
  recordRefused(name: string): void {
    this.peers.recordRefused(name, this.now);
    this.results.increment({ result: 'refused' });
  }

  /**
   * @param name - daemon that has not answered in time.
   */
  recordUnanswered(name: string): void {
    this.peers.recordUnanswered(name, this.now);
    this.results.increment({ result: 'delayed' });
  }

  /**
   * @param service - service that other daemons do not reach either.
   */
  recordUnreached(service: string): void {
    this.unreachedAt.set(service, this.now);
    this.results.increment({ result: 'unreached' });
  }

  /** Closes the connections to other daemons. */
  close(): void {
    this.agent.destroy();
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}
