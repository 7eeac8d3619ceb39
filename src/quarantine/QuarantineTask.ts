/**
 * Connects the parts of the quarantine, which keeps a request that crashes runners from reaching more of them: the
 * decisions, the exchange between daemons, the copy in the store, and the endpoint for operators.
 */
import type { RequestListener } from 'node:http';

import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import { rendezvousPick } from '../routing/rendezvous.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { DaemonEntry, FleetStore } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { CrashRelay } from './CrashRelay.js';
import { quarantineLogEvents } from './quarantineFeature.js';
import { QuarantinePersistence } from './QuarantinePersistence.js';
import { QuarantineEndpoint } from './QuarantineEndpoint.js';
import { RequestQuarantine } from './RequestQuarantine.js';

/** Options of a {@link QuarantineTask}. */
export interface QuarantineTaskOptions {
  /** This daemon's entry, as other daemons know it. */
  daemon: DaemonEntry;
  socket: FleetSocket;
  store: Pick<FleetStore, 'saveQuarantine'>;
  runners: RunnerTable;
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
  /** Returns the daemons that receive all crash reports. */
  reportRecipients: () => readonly HostAndPort[];
  /** Returns the daemons to which this one broadcasts the reports of others. */
  broadcastRecipients: () => readonly HostAndPort[];
  /** Whether this daemon knows the secret of the fleet. */
  canReadMessages: () => boolean;
  /** Returns the addresses of daemons from which the list can be fetched. */
  peers: () => readonly string[];
  /** Whether this daemon is the one that writes to the store for the fleet. */
  isWriter: () => boolean;
  /** Returns the available daemons except this one. */
  otherDaemons: () => readonly DaemonEntry[];
}

/** Owns the parts. */
export class QuarantineTask {
  /** The quarantine, consulted for each request. */
  readonly quarantine: RequestQuarantine;

  private readonly options: QuarantineTaskOptions;

  private readonly relay: CrashRelay;

  private readonly persistence: QuarantinePersistence;

  private readonly page: QuarantineEndpoint;

  /**
   * @param options - this daemon and what the quarantine depends on.
   */
  constructor(options: QuarantineTaskOptions) {
    const { daemon, socket, store, runners, clock, log, registry } = options;
    this.options = options;
    const crashes = registry.counter({
      name: 'runner_crashes',
      help: 'Runners that ended while they had requests of this daemon.',
    });
    const onChange = () => this.relay.sendChanges();
    this.quarantine = new RequestQuarantine({
      ...{ runners, clock, log, crashes, onChange },
      isTrialOwner: (key) => this.isTrialOwner(key),
    });
    const { quarantine } = this;
    const { decisions } = quarantine;
    registry
      .gauge({ name: 'quarantined_requests', help: 'Requests that are sent to no runner.' })
      .readFrom(() => decisions.quarantinedCount - decisions.quarantinedPartCount);
    registry
      .gauge({
        name: 'quarantined_parts',
        help: 'Parts of prompts; requests that have one are sent to no runner.',
      })
      .readFrom(() => decisions.quarantinedPartCount);
    this.page = new QuarantineEndpoint({ quarantine, clock });
    this.persistence = new QuarantinePersistence({
      store,
      quarantine,
      clock,
      log,
      isWriter: options.isWriter,
    });
    this.relay = new CrashRelay({
      daemon: daemon.name,
      ownAddress: daemon.newsAddress,
      socket,
      decisions,
      clock,
      merge: (news, teller) => quarantine.merge(news, teller),
      reportRecipients: options.reportRecipients,
      broadcastRecipients: options.broadcastRecipients,
      canReadMessages: options.canReadMessages,
      pull: () => {
        void this.pull();
      },
    });
  }

  /** @returns Handler of requests from other daemons. */
  get peerHandler(): RequestListener {
    return (request, response) => this.page.answer(request, response);
  }

  /** @returns Handler of requests from operators. */
  get operatorHandler(): RequestListener {
    return (request, response) => this.page.answerOperator(request, response);
  }

  /** Starts the exchange with other daemons and the writes to the store. */
  start(): void {
    this.relay.start();
    this.persistence.start();
  }

  /** Saves the list again, since the store has been restored from an older copy. */
  handleRestore(): void {
    this.persistence.handleRestore();
  }

  /** Stops both. */
  stop(): void {
    this.relay.stop();
    this.persistence.stop();
  }

  /**
   * Merges the list from the store; logs an error if it cannot be parsed.
   *
   * @param page - the list as the store holds it.
   */
  mergeStored(page: string): void {
    try {
      this.persistence.load(page);
    } catch (error) {
      const fields = { error: (error as Error).message, during: 'read' };
      this.options.log.write(quarantineLogEvents.keepingFailed, fields);
    }
  }

  /** One daemon tries a quarantined subject again, so that a trial ends one runner at most. */
  private isTrialOwner(key: string): boolean {
    const { daemon, otherDaemons } = this.options;
    const named = [daemon, ...otherDaemons()].map(({ name }) => ({ id: name }));
    return rendezvousPick(key, named)?.id === daemon.name;
  }

  private async pull(): Promise<void> {
    const { peers, log } = this.options;
    const addresses = peers();
    const address = addresses[Math.floor(Math.random() * addresses.length)];
    if (address === undefined) return;
    try {
      this.quarantine.merge(await this.page.fetch(address), address);
    } catch (error) {
      log.write(quarantineLogEvents.pullFailed, { address, error: (error as Error).message });
    }
  }
}
