/**
 * Simulation of several daemons, one key in the platform's store and one engine, in virtual time with injected
 * faults. For tests.
 */

import { LeaseDecisions } from './LeaseDecisions.js';
import type { Authority, LeaseAction, LeaseClaim, LeaseMessage } from './leaseTypes.js';
import type { LeaseTimings } from './leaseTimings.js';

/** Delays and loss of one call to the platform. */
export interface CallFault {
  /** Milliseconds until the call reaches the platform, and from there until its answer is back. */
  readonly requestDelay: number;
  readonly answerDelay: number;
  readonly lost: 'nothing' | 'request' | 'answer';
}

/** All faults of one run; times in milliseconds of virtual time. */
export interface LeaseFaults {
  /** Used for one call after the other, then from the start again. */
  readonly callFaults: readonly CallFault[];
  readonly pauses: readonly { daemon: number; at: number; length: number }[];
  readonly outages: readonly { at: number; length: number }[];
  /** Times at which the key is deleted by hand. */
  readonly deletions: readonly number[];
  /** Rate of each daemon's clock; 1 is exact. */
  readonly clockRates: readonly number[];
  /** Milliseconds until an order reaches the engine, used for one order after the other. */
  readonly orderDelays: readonly number[];
}

/** An order with the times at which it was sent and reached the engine. */
export interface SimulatedOrder {
  readonly daemon: number;
  readonly token: number;
  readonly sentAt: number;
  readonly arrivedAt: number;
}

interface Key {
  readonly claim: LeaseClaim;
  readonly modifiedRevision: number;
  readonly leaseId: string;
}

interface Daemon {
  readonly decisions: LeaseDecisions;
  readonly rate: number;
  pausedUntil: number;
  wake: number;
}

function unansweredCall(action: LeaseAction): LeaseMessage | undefined {
  const failed = { kind: 'failed', reason: 'no answer' } as const;
  if (action.kind === 'read_lease')
    return { kind: 'lease_read', call: action.call, reading: failed };
  if (action.kind === 'write_lease') {
    const writing = { kind: 'unsure', reason: 'no answer' } as const;
    return { kind: 'lease_written', call: action.call, writing };
  }
  if (action.kind === 'grant_lease' || action.kind === 'renew_lease') {
    return { kind: 'lease_term', call: action.call, term: failed };
  }
  return undefined;
}

/** Interval between two orders of a holder. */
const ORDER_INTERVAL_MILLISECONDS = 700;

/** Time after which a call without an answer fails. */
const CALL_TIMEOUT_MILLISECONDS = 4000;

/** Options of a {@link LeaseSimulation}. */
export interface LeaseSimulationOptions {
  daemons: number;
  faults: LeaseFaults;
  checksFencing: boolean;
  timings?: Partial<LeaseTimings>;
}

/** Deterministic simulation: the same options give the same run. */
export class LeaseSimulation {
  /** All orders, sorted by the time of sending. */
  readonly orders: SimulatedOrder[] = [];

  /** The daemon that used each fencing token, by token. */
  readonly daemonByToken = new Map<number, number>();

  now = 0;

  /** Called for each call to the platform. */
  onCall: (kind: LeaseAction['kind']) => void = () => {};

  private readonly daemons: Daemon[];

  private readonly faults: LeaseFaults;

  private queue: { at: number; order: number; run: () => void }[] = [];

  private key: Key | undefined;

  private readonly leases = new Map<string, number>();

  private revision = 100;

  private counter = 0;

  /**
   * @param options - the number of daemons and the faults.
   */
  constructor({ daemons, faults, checksFencing, timings = {} }: LeaseSimulationOptions) {
    this.faults = faults;
    this.daemons = Array.from({ length: daemons }, (_, number) => ({
      decisions: new LeaseDecisions({ key: 'leases/pool', holder: `daemon-${number}`, timings }),
      rate: faults.clockRates[number] ?? 1,
      pausedUntil: 0,
      wake: Infinity,
    }));
    for (const { daemon, at, length } of faults.pauses)
      this.schedule(at, () => this.pause(daemon, length));
    for (const at of faults.deletions) {
      this.schedule(at, () => {
        this.key = undefined;
        this.revision += 1;
      });
    }
    this.daemons.forEach((_, daemon) => {
      this.send(daemon, { kind: 'lease_fencing', checked: checksFencing });
      this.send(daemon, { kind: 'lease_rank', rank: daemon });
      this.schedule(ORDER_INTERVAL_MILLISECONDS, () => this.giveOrder(daemon));
    });
  }

  /** @param until - virtual time in milliseconds at which to stop. */
  run(until: number): void {
    for (;;) {
      this.queue.sort((a, b) => a.at - b.at || a.order - b.order);
      const [next] = this.queue;
      if (!next || next.at > until) break;
      this.queue.shift();
      this.now = next.at;
      next.run();
    }
    this.now = until;
  }

  /**
   * Delivers a message now, or when the daemon's pause ends.
   *
   * @param daemon - number of the daemon.
   * @param message - the message.
   */
  send(daemon: number, message: LeaseMessage): void {
    const { decisions, pausedUntil } = this.at(daemon);
    if (this.now < pausedUntil) {
      this.schedule(pausedUntil, () => this.send(daemon, message));
      return;
    }
    const actions = decisions.decide(this.clockOf(daemon), message);
    for (const action of actions) this.perform(daemon, action);
    this.scheduleWake(daemon);
  }

  /**
   * Pauses a daemon from now on.
   *
   * @param daemon - number of the daemon.
   * @param length - length of the pause in milliseconds.
   */
  pause(daemon: number, length: number): void {
    const paused = this.at(daemon);
    paused.pausedUntil = Math.max(paused.pausedUntil, this.now + length);
  }

  /**
   * @param daemon - number of the daemon.
   * @returns Its authority by its own clock, or `undefined` if it has none.
   */
  authorityOf(daemon: number): Authority | undefined {
    const { authority } = this.at(daemon).decisions;
    return authority && this.clockOf(daemon) < authority.until ? authority : undefined;
  }

  /** @returns Numbers of the daemons that hold the lease by their own clocks. */
  activeHolders(): number[] {
    return this.daemons.flatMap((_, daemon) => (this.authorityOf(daemon) ? daemon : []));
  }

  private at(daemon: number): Daemon {
    const found = this.daemons[daemon];
    if (!found) throw new RangeError(`There is no daemon ${daemon}.`);
    return found;
  }

  private clockOf(daemon: number): number {
    return this.now * this.at(daemon).rate;
  }

  private schedule(at: number, run: () => void): void {
    this.counter += 1;
    this.queue.push({ at: Math.max(at, this.now), order: this.counter, run });
  }

  private scheduleWake(daemon: number): void {
    const armed = this.at(daemon);
    const wake = armed.decisions.nextWake();
    if (wake === undefined) return;
    // Decisions that ask again and again to be woken immediately would keep a core busy without doing anything.
    if (wake <= this.clockOf(daemon))
      throw new Error('The decisions ask to be woken immediately, although they have just run.');
    const at = Math.max(this.now, wake / armed.rate) + 1;
    armed.wake = at;
    this.schedule(at, () => {
      if (armed.wake === at) this.send(daemon, { kind: 'tick' });
    });
  }

  private giveOrder(daemon: number): void {
    const { pausedUntil } = this.at(daemon);
    this.schedule(Math.max(this.now + ORDER_INTERVAL_MILLISECONDS, pausedUntil), () =>
      this.giveOrder(daemon),
    );
    if (this.now < pausedUntil) return;
    const authority = this.authorityOf(daemon);
    if (!authority) return;
    const { token } = authority;
    const { orderDelays } = this.faults;
    const delay = orderDelays[this.orders.length % orderDelays.length] ?? 0;
    const arrivedAt = this.now + delay;
    this.orders.push({ daemon, token, sentAt: this.now, arrivedAt });
    this.daemonByToken.set(token, daemon);
  }

  private perform(daemon: number, action: LeaseAction): void {
    if (action.kind === 'report') return;
    this.onCall(action.kind);
    this.counter += 1;
    const { callFaults } = this.faults;
    const callFault = callFaults[this.counter % callFaults.length] ?? {
      requestDelay: 1,
      answerDelay: 1,
      lost: 'nothing',
    };
    const arrival = this.now + callFault.requestDelay;
    const sentAt = this.now;
    this.schedule(arrival, () => {
      const refused = callFault.lost === 'request' || this.isOutage();
      const answer = refused ? undefined : this.applyCall(action);
      const answered = callFault.lost === 'nothing' && !refused;
      const at = answered ? arrival + callFault.answerDelay : sentAt + CALL_TIMEOUT_MILLISECONDS;
      const message = answered ? answer : unansweredCall(action);
      if (message) this.schedule(at, () => this.send(daemon, message));
    });
  }

  private isOutage(): boolean {
    return this.faults.outages.some(({ at, length }) => this.now >= at && this.now < at + length);
  }

  private expire(): void {
    for (const [leaseId, until] of this.leases) {
      if (this.now < until) continue;
      this.removeLease(leaseId);
    }
  }

  private removeLease(leaseId: string): void {
    this.leases.delete(leaseId);
    if (this.key?.leaseId !== leaseId) return;
    this.key = undefined;
    this.revision += 1;
  }

  private applyCall(action: LeaseAction): LeaseMessage | undefined {
    this.expire();
    const { key, revision: storeRevision } = this;
    if (action.kind === 'revoke_lease') {
      this.removeLease(action.leaseId);
      return undefined;
    }
    if (action.kind === 'read_lease') {
      const { call } = action;
      const reading = key
        ? { kind: 'found' as const, ...key, storeRevision }
        : { kind: 'absent' as const, storeRevision };
      return { kind: 'lease_read', call, reading };
    }
    if (action.kind === 'grant_lease') {
      const { call, timeToLiveMilliseconds } = action;
      this.counter += 1;
      const leaseId = `lease-${this.counter}`;
      this.leases.set(leaseId, this.now + timeToLiveMilliseconds);
      return {
        kind: 'lease_term',
        call,
        term: { kind: 'granted', leaseId, timeToLiveMilliseconds },
      };
    }
    if (action.kind === 'renew_lease') return this.renew(action);
    if (action.kind === 'write_lease') return this.write(action);
    return undefined;
  }

  private renew({ call, leaseId }: Extract<LeaseAction, { kind: 'renew_lease' }>): LeaseMessage {
    if (!this.leases.has(leaseId)) return { kind: 'lease_term', call, term: { kind: 'lost' } };
    const timeToLiveMilliseconds = 30_000;
    this.leases.set(leaseId, this.now + timeToLiveMilliseconds);
    return { kind: 'lease_term', call, term: { kind: 'granted', leaseId, timeToLiveMilliseconds } };
  }

  private write(action: Extract<LeaseAction, { kind: 'write_lease' }>): LeaseMessage {
    const { call, leaseId, claim } = action;
    const { key, revision: storeRevision } = this;
    if (key) {
      return { kind: 'lease_written', call, writing: { kind: 'found', ...key, storeRevision } };
    }
    if (!this.leases.has(leaseId)) {
      return { kind: 'lease_written', call, writing: { kind: 'failed', reason: 'no such lease' } };
    }
    this.revision += 1;
    this.key = { claim, modifiedRevision: this.revision, leaseId };
    return { kind: 'lease_written', call, writing: { kind: 'committed', revision: this.revision } };
  }
}
