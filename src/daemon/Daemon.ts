/**
 * A daemon: starts its features in the order of their dependencies, and stops them without cutting off requests in
 * progress.
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
import { waitForOperatorDrain } from './waitForOperatorDrain.js';
import { poolNewsOf } from './poolNews.js';
import { refreshMetrics } from './refreshMetrics.js';
import { selfMember } from './selfMember.js';

/** Options of a {@link Daemon}. */
export interface DaemonOptions {
  settings: Settings;
  log: Log;
  clock?: Clock;
}

/** Interval at which this daemon's revisions and pool loads are given to membership to be gossiped. */
const PUBLISH_INTERVAL_MILLISECONDS = 500;

/** Runs one daemon in all its roles: entry, gate, home, locate, watcher and operators' interface. */
export class Daemon {
  /** Resolves when operators drain this daemon; the process then has to call {@link Daemon.stop}. */
  readonly drained: Promise<void>;

  private readonly context: DaemonContext;

  private readonly parts: DaemonParts;

  private membership: MembershipTask | undefined;

  private publishTimer: NodeJS.Timeout | undefined;

  private gateReviewScheduled = false;

  /**
   * @param options - the checked settings, the log and the clock.
   */
  constructor({ settings, log, clock = new SystemClock() }: DaemonOptions) {
    this.context = { settings, log, clock };
    this.parts = createParts(this.context);
    const { fleet, metrics } = this.parts;
    metrics.updateGauges = () => refreshMetrics(this.parts);
    this.drained = waitForOperatorDrain(fleet, fleet.self().incarnation);
    fleet.onChange((change, member) => this.fleetChanged(change, member));
  }

  /** Opens the ports, joins the fleet and starts to serve requests. */
  async start(): Promise<void> {
    const { settings, log, clock } = this.context;
    const { fleet, peers, callers, operators, configuration, gates, orders } = this.parts;
    const { host, peerPort, seeds } = settings.daemon;
    for (const handlers of this.peerHandlers()) peers.mount(handlers);
    const peerAddress = `${host}:${await peers.listen(host, peerPort)}`;
    const { host: callerHost, port: callerPort } = await callers.start();
    const callerAddress = `${callerHost}:${callerPort}`;
    const operatorAddress = `${host}:${await operators.listen()}`;
    const self = selfMember(settings.daemon, clock, { peerAddress, callerAddress });
    fleet.applyMember(self);
    this.membership = createMembership(this.context, this.parts, self, {
      onNewerRevision: (newer) => configuration.handlePeerRevision(newer),
      onResumed: () => this.scheduleGateReview(),
      onSteppedBack: () => this.scheduleGateReview(),
    });
    this.membership.start(seeds);
    configuration.start();
    gates.start();
    orders.start();
    this.publishTimer = setInterval(() => this.publishLocalState(), PUBLISH_INTERVAL_MILLISECONDS);
    log.write(daemonLogEvents.started, { callerAddress, peerAddress, operatorAddress });
  }

  /**
   * Runs the planned stop. The order matters. First the fleet learns that this daemon leaves, so that gates and homes move
   * to other daemons while this one still answers. Then new requests are refused with "not run", which is true
   * because none of them has been started. Then the requests in progress finish.
   *
   * @returns Whether all requests in progress finished within the grace period.
   */
  async stop(): Promise<boolean> {
    const { log } = this.context;
    const { requests, callers, gates, orders } = this.parts;
    log.write(daemonLogEvents.stopping, { inProgress: requests.inProgress() });
    this.membership?.leave();
    orders.stop();
    const ended = await this.endsWithinGrace(
      Promise.all([callers.drain(), gates.drain()]).then(() => true),
    );
    if (!ended) log.write(daemonLogEvents.stopForced, { inProgress: requests.inProgress() });
    await this.close();
    return ended;
  }

  private async close(): Promise<void> {
    const { callers, operators, requests, gates, configuration, peers, link, store } = this.parts;
    clearInterval(this.publishTimer);
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

  private async endsWithinGrace(work: Promise<boolean>): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined;
    const grace = new Promise<boolean>((resolve) => {
      const { shutdownGraceMilliseconds } = this.context.settings.daemon;
      timer = setTimeout(() => resolve(false), shutdownGraceMilliseconds);
    });
    const ended = await Promise.race([work, grace]);
    clearTimeout(timer);
    return ended;
  }

  /**
   * Lists the handlers of calls from other daemons. Membership is created only after the ports are open, so its handlers
   * look it up at each call and answer `unavailable` before.
   */
  private peerHandlers(): readonly PeerHandlers[] {
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
    // Compares the digests, too: two daemons may have different contents under the same revision.
    else if (member) configuration.updateMember(member);
    // Published at once: waiting for the timer would delay a new revision by half a second at each hop between daemons.
    if (change === 'configuration' || change === 'runners') this.publishLocalState();
    if (change !== 'pools') this.scheduleGateReview();
  }

  /** Schedules a review of the gates that this daemon holds. Changes come in bursts, so there is one review per burst. */
  private scheduleGateReview(): void {
    if (this.gateReviewScheduled) return;
    this.gateReviewScheduled = true;
    setImmediate(() => {
      this.gateReviewScheduled = false;
      this.parts.gates.reconcile();
    });
  }

  private publishLocalState(): void {
    const { configuration, fleet, gates } = this.parts;
    this.membership?.publish({
      configurationRevision: fleet.configurationRevision(),
      configurationDigest: configuration.documents.configuration.state().digest,
      runnersRevision: fleet.runnersRevision(),
      pools: gates.poolDigests().map(poolNewsOf),
    });
  }
}
