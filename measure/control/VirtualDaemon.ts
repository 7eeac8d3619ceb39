/**
 * One daemon of a measurement: the decision classes of membership and configuration, and what carries their
 * messages between them and to the others.
 */
import { match } from 'ts-pattern';

import { MembershipDecisions } from '../../src/membership/MembershipDecisions.js';
import type {
  Gossip,
  LocalNews,
  MemberRecord,
  MembershipAction,
  MembershipMessage,
  PoolNews,
} from '../../src/membership/membershipTypes.js';
import type { VirtualTime } from '../routing/VirtualTime.js';
import { VirtualConfiguration } from './VirtualConfiguration.js';
import type { VirtualStore } from './VirtualStore.js';
import { Wake } from './Wake.js';
import type { Wire } from './Wire.js';
import { gossipBytes, REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES } from './wireSize.js';

/** What all daemons of a measurement share. */
export interface VirtualFleetParts {
  readonly time: VirtualTime;
  readonly wire: Wire;
  readonly store: VirtualStore;
  readonly daemonAt: (peerAddress: string) => VirtualDaemon | undefined;
  /** Told of everything that membership does. */
  readonly observe: (daemon: VirtualDaemon, action: MembershipAction) => void;
  readonly onApplied: (daemon: VirtualDaemon, revision: number) => void;
}

/** Options of a {@link VirtualDaemon}. */
export interface VirtualDaemonOptions {
  self: MemberRecord;
  seed: number;
  parts: VirtualFleetParts;
  pools: readonly PoolNews[];
}

const EMPTY_GOSSIP: Gossip = {
  kind: 'delta',
  members: [],
  pictureHash: 0,
  bucketHashes: [],
  news: [],
  summaries: [],
  configurationRevision: 0,
  runnersRevision: 0,
};

const PROBE_FOR_BYTES = REQUEST_OVERHEAD_BYTES + 50;

/** Stops dead when killed. */
export class VirtualDaemon {
  readonly self: MemberRecord;

  readonly membership: MembershipDecisions;

  readonly configuration: VirtualConfiguration;

  private membershipMilliseconds = 0;

  private isKilled = false;

  private readonly parts: VirtualFleetParts;

  private pools: readonly PoolNews[];

  private readonly answers = new Map<number, (gossip: Gossip) => void>();

  private exchanges = 0;

  private readonly wake: Wake;

  /**
   * @param options - who it is and what it shares.
   */
  constructor({ self, seed, parts, pools }: VirtualDaemonOptions) {
    this.self = self;
    this.parts = parts;
    this.pools = pools;
    this.membership = new MembershipDecisions({ self, seed });
    this.wake = new Wake(parts.time, () => this.tellMembership({ kind: 'tick' }));
    const { time, wire, store, daemonAt } = parts;
    const configurationAt = (address: string) => daemonAt(address)?.configuration;
    this.configuration = new VirtualConfiguration({
      self,
      parts: { time, wire, store, configurationAt },
      isKilled: () => this.isKilled,
      onApplied: (revision) => {
        parts.onApplied(this, revision);
        this.publish(this.pools);
      },
    });
  }

  /**
   * @param seeds - addresses of some others.
   */
  start(seeds: readonly string[]): void {
    this.publish(this.pools);
    this.tellMembership({ kind: 'start', seeds });
    this.configuration.tell({ kind: 'tick' });
  }

  /** @returns Processor time of the decisions, in ms of this machine. */
  get decidingMilliseconds(): number {
    return this.membershipMilliseconds + this.configuration.decidingMilliseconds;
  }

  /** @returns Whether its process ended. */
  get killed(): boolean {
    return this.isKilled;
  }

  /** Ends its process: nothing is decided any more. */
  kill(): void {
    this.isKilled = true;
  }

  /**
   * @param pools - load of the pools whose gates this daemon holds.
   */
  publish(pools: readonly PoolNews[]): void {
    this.pools = pools;
    this.tellMembership({ kind: 'local_news', news: this.news() });
  }

  /**
   * Takes a call of another daemon.
   *
   * @param from - the caller's name.
   * @param gossip - its message.
   * @param answer - takes the answer.
   */
  receive(from: string, gossip: Gossip, answer: (gossip: Gossip) => void): void {
    this.exchanges += 1;
    this.answers.set(this.exchanges, answer);
    this.tellMembership({ kind: 'gossip_received', exchange: this.exchanges, from, gossip });
  }

  /**
   * @param message - for the membership's decisions.
   */
  tellMembership(message: MembershipMessage): void {
    if (this.isKilled) return;
    const { time } = this.parts;
    const before = performance.now();
    const actions = this.membership.decide(time.now, message);
    this.membershipMilliseconds += performance.now() - before;
    for (const action of actions) this.performMembership(action);
    this.wake.arm(this.membership.nextWake());
  }

  private news(): LocalNews {
    const { document } = this.configuration;
    return {
      configurationRevision: document.revision(),
      configurationDigest: document.digest(),
      runnersRevision: 0,
      pools: this.pools,
    };
  }

  private performMembership(action: MembershipAction): void {
    this.parts.observe(this, action);
    match(action)
      .with({ kind: 'gossip' }, (call) => this.gossip(call))
      .with({ kind: 'answer' }, ({ exchange, gossip }) => {
        this.answers.get(exchange)?.(gossip);
        this.answers.delete(exchange);
      })
      .with({ kind: 'probe_for' }, (call) => this.askToProbe(call))
      .with({ kind: 'member_changed' }, ({ member, news }) =>
        this.configuration.noteMember(member, news),
      )
      .with({ kind: 'member_forgotten' }, ({ daemonId }) =>
        this.configuration.forgetMember(daemonId),
      )
      .otherwise(() => {});
  }

  private gossip(call: Extract<MembershipAction, { kind: 'gossip' }>): void {
    const { probe, peerAddress, gossip, timeoutMilliseconds } = call;
    this.exchange(peerAddress, gossip, timeoutMilliseconds, (result) => {
      if (typeof result === 'boolean') {
        this.tellMembership({ kind: 'gossip_failed', probe, refused: result });
        return;
      }
      this.tellMembership({ kind: 'gossip_answered', probe, ...result });
    });
  }

  /** Ends with the answer, or with whether the connection was refused. */
  private exchange(
    peerAddress: string,
    gossip: Gossip,
    timeoutMilliseconds: number,
    end: (result: { from: string; gossip: Gossip } | boolean) => void,
  ): void {
    const target = this.parts.daemonAt(peerAddress);
    if (!target) return;
    const from = this.self.daemonId;
    this.parts.wire.call({
      from: this.self,
      to: target.self,
      size: () => REQUEST_OVERHEAD_BYTES + gossipBytes(from, gossip),
      timeoutMilliseconds,
      deliver: (answer) =>
        target.receive(from, gossip, (answered) => {
          const { daemonId } = target.self;
          const size = () => RESPONSE_OVERHEAD_BYTES + gossipBytes(daemonId, answered);
          answer(size, () => end({ from: daemonId, gossip: answered }));
        }),
      fail: end,
    });
  }

  private askToProbe(call: Extract<MembershipAction, { kind: 'probe_for' }>): void {
    const { probe, throughAddress, peerAddress, timeoutMilliseconds } = call;
    const helper = this.parts.daemonAt(throughAddress);
    if (!helper) return;
    const report = (answered: boolean) =>
      this.tellMembership({ kind: 'probe_for_ended', probe, answered });
    this.parts.wire.call({
      from: this.self,
      to: helper.self,
      size: () => PROBE_FOR_BYTES,
      timeoutMilliseconds: 2 * timeoutMilliseconds,
      deliver: (answer) =>
        helper.exchange(peerAddress, EMPTY_GOSSIP, timeoutMilliseconds, (result) => {
          const answered = typeof result !== 'boolean';
          answer(
            () => RESPONSE_OVERHEAD_BYTES,
            () => report(answered),
          );
        }),
      fail: () => report(false),
    });
  }
}
