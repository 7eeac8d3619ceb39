/**
 * Puts together what keeps requests that crash runners from reaching more of them: decisions, what daemons tell each
 * other, what the store keeps, and what operators see.
 */
import type { RequestListener } from 'node:http';

import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { DaemonEntry, FleetStore } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { CrashRelay } from './CrashRelay.js';
import { quarantineLogEvents } from './quarantineFeature.js';
import { QuarantineKeeper } from './QuarantineKeeper.js';
import { QuarantinePage } from './QuarantinePage.js';
import { RequestQuarantine } from './RequestQuarantine.js';

/** Options of a {@link QuarantineTask}. */
export interface QuarantineTaskOptions {
  /** This daemon as others know it. */
  daemon: DaemonEntry;
  socket: FleetSocket;
  store: Pick<FleetStore, 'saveQuarantine'>;
  runners: RunnerTable;
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
  /** Those that hear all crashes. */
  reportTo: () => readonly HostAndPort[];
  /** Those that this daemon tells what others have reported. */
  tellTo: () => readonly HostAndPort[];
  /** Whether this daemon knows the secret of the fleet. */
  canTalk: () => boolean;
  /** Addresses of daemons that may be asked. */
  peers: () => readonly string[];
  /** Whether this daemon writes for all. */
  isFirst: () => boolean;
}

/** Owns the parts. */
export class QuarantineTask {
  /** Asked on the way of each request. */
  readonly quarantine: RequestQuarantine;

  private readonly options: QuarantineTaskOptions;

  private readonly relay: CrashRelay;

  private readonly keeper: QuarantineKeeper;

  private readonly page: QuarantinePage;

  /**
   * @param options - the daemon and its means.
   */
  constructor(options: QuarantineTaskOptions) {
    const { daemon, socket, store, runners, clock, log, registry } = options;
    this.options = options;
    const crashes = registry.counter({
      name: 'runner_crashes',
      help: 'Runners that ended while they had requests of this daemon.',
    });
    const onChange = () => this.relay.tellChanges();
    this.quarantine = new RequestQuarantine({ runners, clock, log, crashes, onChange });
    const { quarantine } = this;
    const { decisions } = quarantine;
    registry
      .gauge({ name: 'quarantined_requests', help: 'Requests that are sent to no runner.' })
      .readFrom(() => decisions.quarantinedCount);
    this.page = new QuarantinePage({ quarantine, clock });
    this.keeper = new QuarantineKeeper({ store, quarantine, clock, log, isFirst: options.isFirst });
    this.relay = new CrashRelay({
      daemon: daemon.name,
      ownAddress: daemon.newsAddress,
      socket,
      decisions,
      clock,
      learn: (news, teller) => quarantine.learn(news, teller),
      reportTo: options.reportTo,
      tellTo: options.tellTo,
      canTalk: options.canTalk,
      pull: () => {
        void this.pull();
      },
    });
  }

  /** @returns Answers other daemons. */
  get peerHandler(): RequestListener {
    return (request, response) => this.page.answer(request, response);
  }

  /** @returns Answers operators. */
  get operatorHandler(): RequestListener {
    return (request, response) => this.page.answerOperator(request, response);
  }

  /** Compares with others and writes to the store from now on. */
  start(): void {
    this.relay.start();
    this.keeper.start();
  }

  /** Ends both. */
  stop(): void {
    this.relay.stop();
    this.keeper.stop();
  }

  /**
   * @param page - as the store holds it.
   */
  takeKept(page: string): void {
    try {
      this.keeper.take(page);
    } catch (error) {
      const fields = { error: (error as Error).message, during: 'read' };
      this.options.log.write(quarantineLogEvents.keepingFailed, fields);
    }
  }

  private async pull(): Promise<void> {
    const { peers, log } = this.options;
    const addresses = peers();
    const address = addresses[Math.floor(Math.random() * addresses.length)];
    if (address === undefined) return;
    try {
      this.quarantine.learn(await this.page.fetch(address), address);
    } catch (error) {
      log.write(quarantineLogEvents.pullFailed, { address, error: (error as Error).message });
    }
  }
}
