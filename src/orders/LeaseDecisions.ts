/**
 * Acquires, renews and releases the lease of one pool in one data centre.
 *
 * Any number of daemons may safely try at the same time, because the key is written only if it does not exist.
 * The rendezvous order only limits how many daemons call the platform. A holder's authority ends by its own
 * clock, whether or not the platform answers.
 */
import { match } from 'ts-pattern';

import { Decisions } from '../decisions/Decisions.js';
import { HeldLease } from './HeldLease.js';
import { LeaseBackOff } from './LeaseBackOff.js';
import { LeaseProgress } from './LeaseProgress.js';
import type { LeaseTimings } from './leaseTimings.js';
import {
  CANDIDATE_COUNT,
  DEFAULT_LEASE_TIMINGS,
  STANDBY_TIMES_TO_LIVE,
  settlingMilliseconds,
} from './leaseTimings.js';
import type {
  Authority,
  LeaseAction,
  LeaseMessage,
  LeaseReadResult,
  LeaseState,
  LeaseTermResult,
  LeaseWriteResult,
} from './leaseTypes.js';

/** Options of {@link LeaseDecisions}. */
export interface LeaseDecisionsOptions {
  /** Key of the lease in the store; also part of the seed of the jitter. */
  key: string;
  /** This daemon's name with its incarnation, written into the key. */
  holder: string;
  timings?: Partial<LeaseTimings>;
}

/** Decisions of one daemon about one lease. */
export class LeaseDecisions extends Decisions<LeaseMessage, LeaseAction> {
  private readonly key: string;

  private readonly holder: string;

  private readonly timings: LeaseTimings;

  private readonly progress: LeaseProgress;

  /** Place among the possible holders, from 0; -1 for none. */
  private rank = -1;

  private fencingChecked = false;

  /** Monotonic time of the next read of the key while the state is `waiting`. */
  private nextAttemptAt = Infinity;

  private attempts = 0;

  private readonly backOff: LeaseBackOff;

  /** Highest store revision seen. A read with a lower revision shows outdated data and is ignored. */
  private storeRevision = 0;

  /**
   * @param options - the lease's key, the holder's name and the timings.
   */
  constructor({ key, holder, timings = {} }: LeaseDecisionsOptions) {
    super();
    this.key = key;
    this.holder = holder;
    this.timings = { ...DEFAULT_LEASE_TIMINGS, ...timings };
    const { callTimeoutMilliseconds } = this.timings;
    this.progress = new LeaseProgress({ key, callTimeoutMilliseconds });
    this.backOff = new LeaseBackOff({ key, holder, timings: this.timings });
  }

  /** @returns The state of `lease.chart.json`. */
  get state(): LeaseState {
    return this.progress.state;
  }

  /** @returns The authority to give orders as of the last message, or `undefined` if there is none. */
  get authority(): Authority | undefined {
    if (this.progress.state !== 'held' || !this.progress.lease) return undefined;
    return { token: this.progress.lease.token, until: this.progress.lease.validUntil };
  }

  override decide(now: number, message: LeaseMessage): readonly LeaseAction[] {
    this.progress.beginMessage();
    this.expireLease(now);
    this.handle(now, message);
    for (const call of this.progress.calls.expired(now))
      this.handleUnansweredCall(now, call.purpose);
    this.act(now);
    return this.progress.collectedActions();
  }

  override nextWake(): number | undefined {
    const { lease } = this.progress;
    const times = [this.progress.calls.nextExpiry()];
    if (this.progress.state === 'waiting') times.push(this.nextAttemptAt);
    if (this.progress.holding && lease) {
      times.push(lease.validUntil);
      if (!this.progress.calls.isPending('renewal')) times.push(lease.renewAt);
      if (!this.progress.calls.isPending('verification')) times.push(lease.readAt);
      if (this.progress.state === 'settling') times.push(this.settledAt(lease));
    }
    const earliest = Math.min(...times);
    return Number.isFinite(earliest) ? earliest : undefined;
  }

  private handle(now: number, message: LeaseMessage): void {
    match(message)
      .with({ kind: 'tick' }, () => {})
      .with({ kind: 'lease_rank' }, ({ rank }) => this.updateRank(now, rank))
      .with({ kind: 'lease_fencing' }, ({ checked }) => {
        this.fencingChecked = checked;
      })
      .with({ kind: 'lease_read' }, ({ call, reading }) => this.handleRead(now, call, reading))
      .with({ kind: 'lease_term' }, ({ call, term }) => this.handleTerm(now, call, term))
      .with({ kind: 'lease_written' }, ({ call, writing }) => this.handleWrite(now, call, writing))
      .with({ kind: 'clock_jumped' }, () => this.loseLease(now, 'the instance was suspended'))
      .with({ kind: 'fenced' }, () => this.loseLease(now, 'an engine has seen a newer holder'))
      .with({ kind: 'release' }, () => this.release())
      .exhaustive();
  }

  /** Gives up a lease that has expired by the own clock: after a pause another daemon may have acquired it. */
  private expireLease(now: number): void {
    const { lease } = this.progress;
    if (!lease || now < lease.validUntil) return;
    if (this.progress.holding) this.loseLease(now, 'it lapsed before a renewal was confirmed');
    else this.retry(now, 'the lease lapsed before its key was written');
  }

  private updateRank(now: number, rank: number): void {
    const before = this.rank;
    this.rank = rank;
    const candidate = rank >= 0 && rank < CANDIDATE_COUNT;
    // A holder keeps its lease whatever its rank: moving it with every daemon that joins would cost calls and
    // interrupt the work.
    if (this.progress.holding) return;
    if (!candidate) {
      if (this.progress.state === 'idle') return;
      this.progress.revokeLease();
      this.progress.transition('dismissed');
      return;
    }
    if (this.progress.state === 'idle') this.progress.transition('appointed');
    else if (rank >= before) return;
    if (this.progress.state !== 'waiting') return;
    const standby = rank * STANDBY_TIMES_TO_LIVE * this.timings.timeToLiveMilliseconds;
    this.nextAttemptAt = now + standby + this.backOff.jitter(this.timings.retryMilliseconds);
  }

  private act(now: number): void {
    const { lease } = this.progress;
    if (this.progress.state === 'waiting' && now >= this.nextAttemptAt) {
      this.progress.transition('due');
      this.progress.requestCall(now, 'look', (call) => ({ kind: 'read_lease', call }));
    }
    if (!this.progress.holding || !lease) return;
    const settled = now >= this.settledAt(lease);
    if (this.progress.state === 'settling' && settled) {
      this.progress.transition('settled');
      this.progress.report('leaseHeld', { token: lease.token });
    }
    if (this.progress.state === 'held' && !settled) this.progress.transition('unsettled');
    if (now >= lease.renewAt && !this.progress.calls.isPending('renewal')) {
      const { leaseId } = lease;
      this.progress.requestCall(now, 'renewal', (call) => ({ kind: 'renew_lease', call, leaseId }));
    }
    if (now >= lease.readAt && !this.progress.calls.isPending('verification')) {
      this.progress.requestCall(now, 'verification', (call) => ({ kind: 'read_lease', call }));
    }
  }

  private settledAt({ acquiredAt }: HeldLease): number {
    return acquiredAt + (this.fencingChecked ? 0 : settlingMilliseconds(this.timings));
  }

  private handleRead(now: number, number: number, reading: LeaseReadResult): void {
    const call = this.progress.calls.complete(number);
    if (!call) return;
    const stale = reading.kind !== 'failed' && reading.storeRevision < this.storeRevision;
    if (reading.kind === 'failed' || stale) {
      this.handleUnansweredCall(now, call.purpose);
      return;
    }
    this.storeRevision = reading.storeRevision;
    const { lease } = this.progress;
    const own = reading.kind === 'found' && lease && reading.claim.nonce === lease.nonce;
    if (call.purpose === 'verification') {
      if (own) lease.confirm(call.askedAt, reading.modifiedRevision);
      else this.loseLease(now, 'its key is gone or belongs to another daemon');
      return;
    }
    if (own) this.markAcquired(now, call.askedAt, reading.modifiedRevision);
    else if (reading.kind === 'found') this.handleOccupiedKey(now, reading.claim.holder);
    else this.handleFreeKey(now);
  }

  private handleFreeKey(now: number): void {
    this.progress.transition('free');
    if (this.progress.state === 'granting') {
      const { timeToLiveMilliseconds } = this.timings;
      this.progress.requestCall(now, 'grant', (call) => ({
        kind: 'grant_lease',
        call,
        timeToLiveMilliseconds,
      }));
      return;
    }
    this.write(now);
  }

  private handleTerm(now: number, number: number, term: LeaseTermResult): void {
    const call = this.progress.calls.complete(number);
    if (!call) return;
    if (term.kind === 'failed') {
      this.handleUnansweredCall(now, call.purpose);
      return;
    }
    if (term.kind === 'lost') {
      this.loseLease(now, 'the platform no longer knows the lease');
      return;
    }
    const { leaseId, timeToLiveMilliseconds } = term;
    const { askedAt } = call;
    if (call.purpose === 'renewal') {
      this.backOff.reset();
      this.progress.lease?.extend(askedAt, timeToLiveMilliseconds);
      return;
    }
    this.attempts += 1;
    const nonce = `${this.holder}/${this.attempts}`;
    const { timings } = this;
    this.progress.lease = new HeldLease({
      leaseId,
      nonce,
      timings,
      askedAt,
      timeToLiveMilliseconds,
    });
    this.progress.transition('granted');
    this.write(now);
  }

  private write(now: number): void {
    const { holder } = this;
    const { lease } = this.progress;
    if (!lease) return;
    const { leaseId, nonce } = lease;
    const claim = { holder, nonce };
    this.progress.requestCall(now, 'write', (call) => ({
      kind: 'write_lease',
      call,
      leaseId,
      claim,
    }));
  }

  private handleWrite(now: number, number: number, writing: LeaseWriteResult): void {
    const call = this.progress.calls.complete(number);
    if (!call) return;
    match(writing)
      .with({ kind: 'committed' }, ({ revision }) => {
        this.storeRevision = Math.max(this.storeRevision, revision);
        this.markAcquired(now, call.askedAt, revision);
      })
      // If the nonce is our own, an earlier write whose answer was lost has taken effect.
      .with({ kind: 'found' }, ({ claim, modifiedRevision }) =>
        claim.nonce === this.progress.lease?.nonce
          ? this.markAcquired(now, call.askedAt, modifiedRevision)
          : this.handleOccupiedKey(now, claim.holder),
      )
      .with({ kind: 'absent' }, () => this.retry(now, 'the key was deleted during the write'))
      .with({ kind: 'failed' }, ({ reason }) => this.retry(now, reason))
      .with({ kind: 'unsure' }, ({ reason }) => this.verifyWrite(now, reason))
      .exhaustive();
  }

  /**
   * Reads the key after the answer to a write was lost, since only a read shows whether the write took effect.
   * Treating the write as failed would leave the pool without orders.
   */
  private verifyWrite(now: number, reason: string): void {
    if (this.progress.state === 'acquiring') this.progress.report('leaseUnsure', { reason });
    this.progress.transition('unsure');
    this.progress.requestCall(now, 'check', (call) => ({ kind: 'read_lease', call }));
  }

  private markAcquired(now: number, askedAt: number, token: number): void {
    const { lease } = this.progress;
    if (!lease) return;
    lease.confirm(askedAt, token);
    lease.acquiredAt = now;
    this.backOff.reset();
    this.progress.transition('acquired');
    const settles = Math.max(0, this.settledAt(lease) - now);
    this.progress.report('leaseAcquired', { token, settlesInMilliseconds: settles });
  }

  private handleOccupiedKey(now: number, holder: string): void {
    this.progress.revokeLease();
    this.progress.transition('occupied');
    this.backOff.reset();
    const { timeToLiveMilliseconds } = this.timings;
    const timesToLive = this.rank === 0 ? 1 : STANDBY_TIMES_TO_LIVE;
    const ownLeaseWait = holder === this.holder ? timeToLiveMilliseconds : 0;
    this.nextAttemptAt =
      now + timeToLiveMilliseconds * timesToLive + ownLeaseWait + this.backOff.jitter(ownLeaseWait);
  }

  private handleUnansweredCall(now: number, purpose: string): void {
    const { lease } = this.progress;
    const wait = this.backOff.next();
    if (purpose === 'renewal' && lease) lease.renewAt = now + wait;
    else if (purpose === 'verification' && lease) lease.readAt = now + wait;
    else if (purpose === 'write') this.verifyWrite(now, 'the platform did not answer');
    else this.retry(now, 'the platform did not answer');
  }

  private retry(now: number, reason: string): void {
    const wait = this.backOff.next();
    this.progress.revokeLease();
    this.progress.transition('failed');
    this.nextAttemptAt = now + wait;
    this.progress.report('leaseFailed', { reason, retryInMilliseconds: Math.round(wait) });
  }

  private loseLease(now: number, reason: string): void {
    if (!this.progress.holding || !this.progress.lease) return;
    this.progress.report('leaseLost', { token: this.progress.lease.token, reason });
    this.progress.revokeLease();
    this.progress.transition('lost');
    this.nextAttemptAt = now + this.backOff.next();
  }

  private release(): void {
    this.rank = -1;
    if (this.progress.holding && this.progress.lease)
      this.progress.report('leaseReleased', { token: this.progress.lease.token });
    this.progress.revokeLease();
    this.progress.transition(this.progress.holding ? 'released' : 'dismissed');
  }
}
