/**
 * Runs the membership decisions in a daemon: sends and receives their messages, applies member changes to the
 * fleet state and writes log events.
 */
import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { match } from 'ts-pattern';

import type { DecisionStep } from '../decisions/DecisionTask.js';
import { DecisionTask } from '../decisions/DecisionTask.js';
import type { FleetState } from '../fleet/FleetState.js';
import type { GossipMessage, ProbeForRequest } from '../generated/baobabdock/v1/peers_pb.js';
import { GossipMessageSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { Log } from '../logging/Log.js';
import { SilentLog } from '../logging/Log.js';
import { peerIdentity } from '../peers/peerIdentity.js';
import type { PeerLink } from '../peers/PeerLink.js';
import { wasConnectionRefused } from '../peers/PeerNotReachedError.js';
import type { PeerHandlers } from '../peers/PeerServer.js';
import type { Clock } from '../time/Clock.js';
import { SuspendDetector } from './SuspendDetector.js';
import {
  fromGossipMessage,
  toGossipMessage,
  toMemberMessage,
  toSummaryMessage,
} from './membershipCodec.js';
import type { MembershipDecisions } from './MembershipDecisions.js';
import { membershipLogEvents } from './membershipFeature.js';
import type {
  ListedInstance,
  LocalNews,
  MembershipAction,
  MembershipMessage,
} from './membershipTypes.js';

type ActionOf<Kind extends MembershipAction['kind']> = Extract<MembershipAction, { kind: Kind }>;

/** Callbacks for other features; none of them may throw. */
export interface MembershipListener {
  /** Another daemon has a newer configuration or runner list in force. */
  onNewerRevision?: (newer: ActionOf<'newer_revision'>) => void;
  /** This process was paused: others may own its gates and leases by now, so it must not use them. */
  onSteppedBack?: (awayMilliseconds: number) => void;
  /** The daemon may act again after a pause. */
  onResumed?: () => void;
  /** The daemon knows the fleet, or no seed answered in time. */
  onJoined?: (members: number) => void;
  /** This process got a greater incarnation; bindings issued under the previous one are void. */
  onIncarnationRaised?: (incarnation: number) => void;
}

/** Options of a {@link MembershipTask}. */
export interface MembershipTaskOptions {
  decisions: MembershipDecisions;
  clock: Clock;
  link: PeerLink;
  fleet: FleetState;
  log?: Log;
  listener?: MembershipListener;
  /** A longer suspend of the machine counts as a pause; the same value as in the decisions' tuning. */
  awayThresholdMilliseconds: number;
  record?: (step: DecisionStep<MembershipMessage, MembershipAction>) => void;
}

/**
 * Most indirect probes at once for other daemons, so that a peer with many failed probes can't overload this
 * one.
 */
const MAXIMUM_PROBES_FOR_OTHERS = 64;

/** Longest timeout of an indirect probe, whatever timeout the peer asks for. */
const MAXIMUM_PROBE_MILLISECONDS = 5_000;

/** How long a stopping daemon waits for its `left` announcement to arrive. */
const LEFT_ANNOUNCEMENT_MILLISECONDS = 1_000;

/** Runs the membership decisions of one daemon and performs their actions. */
export class MembershipTask extends DecisionTask<MembershipMessage, MembershipAction> {
  private readonly link: PeerLink;

  private readonly fleet: FleetState;

  private readonly log: Log;

  private readonly listener: MembershipListener;

  private readonly exchanges = new Map<number, (answer: GossipMessage) => void>();

  private readonly pendingCalls = new Set<Promise<void>>();

  private lastExchange = 0;

  private probesForOthers = 0;

  private readonly clockWatch: SuspendDetector;

  /**
   * @param options - the decisions, and the parts that their actions use.
   */
  constructor({
    decisions,
    clock,
    link,
    fleet,
    log = new SilentLog(),
    listener = {},
    awayThresholdMilliseconds,
    record,
  }: MembershipTaskOptions) {
    super({ decisions, clock, tick: { kind: 'tick' }, ...(record ? { record } : {}) });
    this.link = link;
    this.fleet = fleet;
    this.log = log;
    this.listener = listener;
    this.clockWatch = new SuspendDetector({
      clock,
      thresholdMilliseconds: awayThresholdMilliseconds,
      onJump: (milliseconds) => this.send({ kind: 'was_away', milliseconds }),
    });
  }

  /**
   * Joins the fleet. The peer server has to listen already.
   *
   * @param seeds - `host:port` of some daemons.
   */
  start(seeds: readonly string[]): void {
    this.clockWatch.start();
    this.send({ kind: 'start', seeds });
  }

  /**
   * Updates the news that gossip carries; called about once a round.
   *
   * @param news - load and revisions of this daemon.
   */
  publish(news: LocalNews): void {
    this.send({ kind: 'local_news', news });
  }

  /**
   * Updates the platform's list of instances.
   *
   * @param instances - the complete list.
   */
  updatePlatformList(instances: readonly ListedInstance[]): void {
    this.send({ kind: 'platform_list', instances });
  }

  /** Announces a planned stop: from now on no daemon places a gate or a home here. */
  leave(): void {
    this.send({ kind: 'leave' });
  }

  /** Announces `left`, waits a limited time for pending calls and stops the task. */
  async finish(): Promise<void> {
    this.send({ kind: 'left' });
    let timer: NodeJS.Timeout | undefined;
    const timeLimit = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, LEFT_ANNOUNCEMENT_MILLISECONDS);
    });
    await Promise.race([Promise.allSettled([...this.pendingCalls]), timeLimit]);
    clearTimeout(timer);
    this.stop();
  }

  override stop(): void {
    this.clockWatch.stop();
    super.stop();
  }

  /** @returns Methods of the peer service that this feature implements. */
  handlers(): PeerHandlers {
    return {
      gossip: (message, context) => this.receive(peerIdentity(context), message),
      probeFor: (request) => this.probeFor(request),
    };
  }

  protected override perform(action: MembershipAction): void {
    match(action)
      .with({ kind: 'gossip' }, (call) => this.track(this.gossip(call)))
      .with({ kind: 'probe_for' }, (call) => this.track(this.askToProbe(call)))
      .with({ kind: 'answer' }, ({ exchange, gossip }) => {
        this.exchanges.get(exchange)?.(toGossipMessage(this.selfId, gossip));
      })
      .with({ kind: 'member_changed' }, ({ member, news }) =>
        this.fleet.applyMember(toMemberMessage(member, news)),
      )
      .with({ kind: 'member_forgotten' }, ({ daemonId }) => this.fleet.removeMember(daemonId))
      .with({ kind: 'summary_changed' }, ({ summary }) =>
        this.fleet.applySummary(toSummaryMessage(summary)),
      )
      .with({ kind: 'newer_revision' }, (newer) => {
        const { document, revision, daemonId } = newer;
        this.log.write(membershipLogEvents.newerRevision, { document, revision, daemon: daemonId });
        this.listener.onNewerRevision?.(newer);
      })
      .with({ kind: 'joined' }, ({ members }) => {
        this.log.write(membershipLogEvents.joined, { members });
        this.listener.onJoined?.(members);
      })
      .with({ kind: 'stepped_back' }, ({ awayMilliseconds }) => {
        this.log.write(membershipLogEvents.steppedBack, { awayMilliseconds });
        this.listener.onSteppedBack?.(awayMilliseconds);
      })
      .with({ kind: 'resumed' }, ({ reason }) => {
        this.log.write(membershipLogEvents.resumed, { reason });
        this.listener.onResumed?.();
      })
      .with({ kind: 'refuted' }, ({ claim, version }) =>
        this.log.write(membershipLogEvents.refuted, { claim, version }),
      )
      .with({ kind: 'incarnation_raised' }, ({ incarnation }) => {
        this.log.write(membershipLogEvents.incarnationRaised, { incarnation });
        this.listener.onIncarnationRaised?.(incarnation);
      })
      .with({ kind: 'note' }, (note) => this.writeNote(note))
      .exhaustive();
  }

  private get selfId(): string {
    return this.fleet.self().daemonId;
  }

  private writeNote({ note, daemonId, reason }: ActionOf<'note'>): void {
    const fields = { daemon: daemonId, reason };
    if (note === 'died') this.log.write(membershipLogEvents.died, fields);
    else if (note === 'suspected') this.log.write(membershipLogEvents.suspected, fields);
    else this.log.write(membershipLogEvents.member, { ...fields, change: note });
  }

  private track(call: Promise<void>): void {
    this.pendingCalls.add(call);
    void call.finally(() => this.pendingCalls.delete(call));
  }

  private async gossip(call: ActionOf<'gossip'>): Promise<void> {
    const { probe, daemonId, peerAddress, gossip, timeoutMilliseconds } = call;
    const message = toGossipMessage(this.selfId, gossip);
    try {
      const answer = await this.link
        .clientFor(daemonId, peerAddress)
        .gossip(message, { timeoutMs: timeoutMilliseconds });
      const from = daemonId === '' ? answer.from : daemonId;
      this.send({ kind: 'gossip_answered', probe, from, gossip: fromGossipMessage(answer) });
    } catch (error) {
      this.send({ kind: 'gossip_failed', probe, refused: wasConnectionRefused(error) });
    }
  }

  private async askToProbe(call: ActionOf<'probe_for'>): Promise<void> {
    const { probe, through, throughAddress, daemonId, peerAddress, timeoutMilliseconds } = call;
    try {
      const { answered } = await this.link
        .clientFor(through, throughAddress)
        .probeFor(
          { daemonId, peerAddress, timeoutMilliseconds },
          { timeoutMs: 2 * timeoutMilliseconds },
        );
      this.send({ kind: 'probe_for_ended', probe, answered });
    } catch {
      this.send({ kind: 'probe_for_ended', probe, answered: false });
    }
  }

  private receive(from: string, message: GossipMessage): Promise<GossipMessage> {
    // The connection authenticated the sender. A message under another name is an error that must not spread.
    if (message.from !== from) throw new ConnectError('', Code.PermissionDenied);
    this.lastExchange += 1;
    const exchange = this.lastExchange;
    return new Promise((resolve) => {
      this.exchanges.set(exchange, (answer) => {
        this.exchanges.delete(exchange);
        resolve(answer);
      });
      const gossip = fromGossipMessage(message);
      this.send({ kind: 'gossip_received', exchange, from, gossip });
    });
  }

  private async probeFor({ daemonId, peerAddress, timeoutMilliseconds }: ProbeForRequest) {
    if (this.probesForOthers >= MAXIMUM_PROBES_FOR_OTHERS) {
      throw new ConnectError('', Code.ResourceExhausted);
    }
    this.probesForOthers += 1;
    const timeoutMs = Math.min(timeoutMilliseconds, MAXIMUM_PROBE_MILLISECONDS);
    try {
      const empty = create(GossipMessageSchema, { from: this.selfId, kind: 'delta' });
      await this.link.clientFor(daemonId, peerAddress).gossip(empty, { timeoutMs });
      return { answered: true };
    } catch {
      return { answered: false };
    } finally {
      this.probesForOthers -= 1;
    }
  }
}
