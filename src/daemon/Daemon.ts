/**
 * Starts the features of one daemon in the order in which they need each other, and stops them so that no
 * request in progress is cut.
 */
import { Code, ConnectError } from '@connectrpc/connect';

import type { FleetChange } from '../fleet/FleetState.js';
import { gateHandlers } from '../gates/GateHostHandlers.js';
import type { Member } from '../generated/baobabdock/v1/peers_pb.js';
import type { Log } from '../logging/Log.js';
import type { MembershipTask } from '../membership/MembershipTask.js';
import type { PeerHandlers } from '../peers/PeerServer.js';
import type { Settings } from '../settings/settingsSchema.js';
import type { Clock } from '../time/Clock.js';
import { SystemClock } from '../time/SystemClock.js';
import { createMembership } from './createMembership.js';
import type { DaemonContext, DaemonParts } from './createParts.js';
import { createParts } from './createParts.js';
import { daemonLogEvents } from './daemonFeature.js';
import { drainedByOperators } from './drainedByOperators.js';
import { toPoolNews } from './poolNews.js';
import { refreshMetrics } from './refreshMetrics.js';
import { selfMember } from './selfMember.js';

/** Options of a {@link Daemon}. */
export interface DaemonOptions {
  settings: Settings;
  log: Log;
  clock?: Clock;
}

const NEWS_INTERVAL_MILLISECONDS = 500;

/** One daemon in all its roles: entry, gate, home, locate, watcher, operators' interface. */
export class Daemon {
  /** Resolved when operators drain this daemon; it then has to be stopped. */
  readonly drained: Promise<void>;

  private readonly context: DaemonContext;

  private readonly parts: DaemonParts;

  private membership: MembershipTask | undefined;

  private newsTimer: NodeJS.Timeout | undefined;

  private reviewPlanned = false;

  /**
   * @param options - the checked settings, the log, the clock.
   */
  constructor({ settings, log, clock = new SystemClock() }: DaemonOptions) {
    this.context = { settings, log, clock };
    this.parts = createParts(this.context);
    const { fleet, metrics } = this.parts;
    metrics.beforePage = () => refreshMetrics(this.parts);
    this.drained = drainedByOperators(fleet, fleet.self().incarnation);
    fleet.onChange((change, member) => this.fleetChanged(change, member));
  }

  /** Opens the ports, joins the fleet and begins to serve. */
  async start(): Promise<void> {
    const { settings, log, clock } = this.context;
    const { fleet, peers, callers, operators, configuration, gates, orders } = this.parts;
    const { host, peerPort, seeds } = settings.daemon;
    for (const handlers of this.allHandlers()) peers.mount(handlers);
    const peerAddress = `${host}:${await peers.listen(host, peerPort)}`;
    const { host: callerHost, port: callerPort } = await callers.start();
    const callerAddress = `${callerHost}:${callerPort}`;
    const operatorAddress = `${host}:${await operators.listen()}`;
    const self = selfMember(settings.daemon, clock, { peerAddress, callerAddress });
    fleet.applyMember(self);
    this.membership = createMembership(this.context, this.parts, self, {
      onNewerRevision: (newer) => configuration.handlePeerRevision(newer),
      onResumed: () => this.planReview(),
      onSteppedBack: () => this.planReview(),
    });
    this.membership.start(seeds);
    configuration.start();
    gates.start();
    orders.start();
    this.newsTimer = setInterval(() => this.publishNews(), NEWS_INTERVAL_MILLISECONDS);
    log.write(daemonLogEvents.started, { callerAddress, peerAddress, operatorAddress });
  }

  /**
   * A planned stop. The order matters: first the fleet learns that this daemon leaves, so that gates and
   * homes move while it still answers; then callers are refused with a true "not run"; then what runs ends.
   *
   * @returns Whether everything in progress ended within the grace.
   */
  async stop(): Promise<boolean> {
    const { log } = this.context;
    const { requests, callers, gates, orders } = this.parts;
    log.write(daemonLogEvents.stopping, { inProgress: requests.inProgress() });
    this.membership?.leave();
    orders.stop();
    const ended = await this.withinGrace(
      Promise.all([callers.drain(), gates.drain()]).then(() => true),
    );
    if (!ended) log.write(daemonLogEvents.stopForced, { inProgress: requests.inProgress() });
    await this.close();
    return ended;
  }

  private async close(): Promise<void> {
    const { callers, operators, requests, gates, configuration, peers, link, store } = this.parts;
    clearInterval(this.newsTimer);
    await callers.stop();
    await operators.close();
    requests.stop();
    gates.stop();
    configuration.stop();
    await this.membership?.finish();
    await peers.close();
    link.close();
    await store.close();
  }

  private async withinGrace(work: Promise<boolean>): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined;
    const grace = new Promise<boolean>((resolve) => {
      const { shutdownGraceMilliseconds } = this.context.settings.daemon;
      timer = setTimeout(() => resolve(false), shutdownGraceMilliseconds);
    });
    const ended = await Promise.race([work, grace]);
    clearTimeout(timer);
    return ended;
  }

  /** Membership comes last, so its methods look it up at the call. */
  private allHandlers(): readonly PeerHandlers[] {
    const { configuration, requests, gates, homes } = this.parts;
    const membership = (): MembershipTask => {
      if (!this.membership) throw new ConnectError('', Code.Unavailable);
      return this.membership;
    };
    return [
      {
        gossip: (message, context) => membership().handlers().gossip!(message, context),
        probeFor: (message, context) => membership().handlers().probeFor!(message, context),
        pullDocument: (request) => configuration.pullDocument(request),
        runBound: (request) => requests.runBound(request),
      },
      gateHandlers(gates),
      homes.handlers(),
    ];
  }

  private fleetChanged(change: FleetChange, member?: Member): void {
    const { configuration, fleet } = this.parts;
    if (change === 'members') configuration.updateMembers(fleet.members());
    // Equal revisions with other content show only when the digests are compared.
    else if (member) configuration.updateMember(member);
    // Waiting for the timer would add half a second to each hop of a new revision on its way to all daemons.
    if (change === 'configuration' || change === 'runners') this.publishNews();
    if (change !== 'pools') this.planReview();
  }

  /** Changes come in bursts; one review after a burst is enough. */
  private planReview(): void {
    if (this.reviewPlanned) return;
    this.reviewPlanned = true;
    setImmediate(() => {
      this.reviewPlanned = false;
      this.parts.gates.reconcile();
    });
  }

  private publishNews(): void {
    const { configuration, fleet, gates } = this.parts;
    this.membership?.publish({
      configurationRevision: fleet.configurationRevision(),
      configurationDigest: configuration.documents.configuration.state().digest,
      runnersRevision: fleet.runnersRevision(),
      pools: gates.poolDigests().map(toPoolNews),
    });
  }
}
