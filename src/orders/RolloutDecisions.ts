/**
 * Brings the runners of one pool in one data centre to the state that the configuration wants, in steps that
 * keep capacity. Acts only under the pool's lease. Its actions are safe to repeat: orders are desired states,
 * and all state that must survive is in the configuration (drains, the roll-out) and in the runners.
 */
import { match } from 'ts-pattern';

import { Decisions } from '../decisions/Decisions.js';
import { ChangePlan } from './ChangePlan.js';
import type { Authority } from './leaseTypes.js';
import type { PoolPicture } from './poolTypes.js';
import type { RolloutTimings } from './rolloutTimings.js';
import { DEFAULT_ROLLOUT_TIMINGS } from './rolloutTimings.js';
import type { RolloutTurn } from './rolloutTurn.js';
import { currentTurn } from './rolloutTurn.js';
import type { RolloutAction, RolloutMessage } from './rolloutTypes.js';
import { RolloutOutbox } from './RolloutOutbox.js';
import { RunnerOrders } from './RunnerOrders.js';
import { RunnerTracker } from './RunnerTracker.js';
import { WeightPacer } from './WeightPacer.js';

/** Options of {@link RolloutDecisions}. */
export interface RolloutDecisionsOptions {
  timings?: Partial<RolloutTimings>;
  /** This pool's share of the weight store's rate, in bytes per second. */
  weightBytesPerSecond?: number;
  /** Maximum number of concurrent loads in this pool. */
  concurrentLoads?: number;
}

const DEFAULT_WEIGHT_BYTES_PER_SECOND = 1_000_000_000;
const DEFAULT_CONCURRENT_LOADS = 2;

/** Decides on state reads, orders and changes of the configuration for one pool in one data centre. */
export class RolloutDecisions extends Decisions<RolloutMessage, RolloutAction> {
  private readonly timings: RolloutTimings;

  private readonly pacer: WeightPacer;

  private readonly outbox = new RolloutOutbox();

  private readonly orders: RunnerOrders;

  private readonly plan: ChangePlan;

  private readonly trackers = new Map<string, RunnerTracker>();

  private picture: PoolPicture | undefined;

  private authority: Authority | undefined;

  /** Wanted state and roll-out state, as JSON, for which the runners were last classified. */
  private classifiedFor = '';

  private wakeAt: number | undefined;

  /**
   * @param options - timings and the pool's share of the weight store.
   */
  constructor({
    timings = {},
    weightBytesPerSecond = DEFAULT_WEIGHT_BYTES_PER_SECOND,
    concurrentLoads = DEFAULT_CONCURRENT_LOADS,
  }: RolloutDecisionsOptions = {}) {
    super();
    this.timings = { ...DEFAULT_ROLLOUT_TIMINGS, ...timings };
    this.pacer = new WeightPacer({ bytesPerSecond: weightBytesPerSecond, concurrentLoads });
    this.plan = new ChangePlan({ timings: this.timings });
    const { timings: times, pacer, outbox } = this;
    this.orders = new RunnerOrders({ timings: times, pacer, outbox });
  }

  override decide(now: number, message: RolloutMessage): readonly RolloutAction[] {
    this.outbox.beginMessage();
    this.handle(now, message);
    this.act(now);
    return this.outbox.collectedActions();
  }

  override nextWake(): number | undefined {
    return this.wakeAt;
  }

  private handle(now: number, message: RolloutMessage): void {
    match(message)
      .with({ kind: 'tick' }, () => {})
      .with({ kind: 'authority' }, ({ authority }) => this.updateAuthority(authority))
      .with({ kind: 'pool' }, ({ picture }) => {
        this.picture = picture;
        this.outbox.setPool(picture);
      })
      .with({ kind: 'state_read' }, ({ call, runnerId, reading }) => {
        const tracker = this.trackers.get(runnerId);
        if (!tracker || tracker.stateCall !== call || !this.picture) return;
        tracker.stateCall = undefined;
        const wasUnresponsive = tracker.unresponsiveSince !== undefined;
        tracker.observeState(now, reading, currentTurn(this.picture).wanted);
        tracker.readAt = now + tracker.readIntervalMilliseconds;
        if (reading.kind !== 'silent' || wasUnresponsive) return;
        this.outbox.report('runnerSilent', { runner: runnerId, reason: reading.reason });
      })
      .with({ kind: 'load_read' }, ({ call, runnerId, reading }) => {
        const tracker = this.trackers.get(runnerId);
        if (!tracker || tracker.loadCall !== call) return;
        tracker.loadCall = undefined;
        tracker.observeLoad(now, reading);
      })
      .with({ kind: 'order_ended' }, ({ call, runnerId, end }) =>
        this.orders.orderEnded(now, { runnerId, call, end, tracker: this.trackers.get(runnerId) }),
      )
      .with({ kind: 'change_ended' }, ({ call, end }) => {
        if (!this.plan.changeEnded(now, call, end) || end.kind === 'accepted') return;
        this.outbox.report('changeFailed', { reason: end.reason });
      })
      .exhaustive();
  }

  /** Forgets all runners when the lease changes, because another holder may have changed the runners since. */
  private updateAuthority(authority: Authority | undefined): void {
    const same = authority?.token === this.authority?.token;
    this.authority = authority;
    if (same) return;
    this.trackers.clear();
    this.pacer.reset();
    this.plan.reset();
  }

  private act(now: number): void {
    this.wakeAt = undefined;
    const { authority, picture } = this;
    if (!authority || !picture || now >= authority.until) return;
    const turn = currentTurn(picture);
    this.updateRunners(now, picture, turn);
    for (const tracker of this.trackers.values()) {
      if (tracker.phase === 'outdated') this.reportDifference(tracker, turn);
      this.orders.issueNextOrder(now, tracker, turn.wanted, authority);
      this.readIfDue(now, tracker);
    }
    this.changeConfiguration(now, picture, turn);
    this.wakeAt = this.nextDueTime(now);
  }

  private updateRunners(now: number, picture: PoolPicture, turn: RolloutTurn): void {
    const { runners, revision, everywhereRevision } = picture;
    // Leaves out runners that an operator has drained, and those that are leaving or down.
    const managed = runners.filter(
      ({ state, drain }) => drain !== 'other' && state !== 'leaving' && state !== 'down',
    );
    const present = new Map(managed.map((runner) => [runner.id, runner]));
    for (const [id, { runner }] of this.trackers) {
      if (present.get(id)?.incarnation === runner.incarnation) continue;
      this.trackers.delete(id);
      this.pacer.end(id);
    }
    const { timings } = this;
    for (const runner of managed) {
      const tracker = this.trackers.get(runner.id) ?? new RunnerTracker({ runner, timings, now });
      this.trackers.set(runner.id, tracker);
      tracker.updateRunner(runner, now, revision, everywhereRevision);
    }
    const { state = '', resumesAs = '' } = picture.rollout ?? {};
    const wantedKey = JSON.stringify([turn.wanted, state, resumesAs]);
    if (wantedKey === this.classifiedFor) return;
    this.classifiedFor = wantedKey;
    for (const tracker of this.trackers.values()) {
      if (state !== 'halted') tracker.retry();
      tracker.classify(turn.wanted);
    }
  }

  private reportDifference(tracker: RunnerTracker, { wanted }: RolloutTurn): void {
    const current = tracker;
    const state = this.picture?.rollout?.state;
    const rolloutOpen = state === 'running' || state === 'halted' || state === 'rolling_back';
    if (rolloutOpen || tracker.differenceReported) return;
    current.differenceReported = true;
    const found = tracker.observed?.versions.join(',') ?? '';
    const fields = { runner: tracker.runner.id, found, wanted: wanted.version };
    this.outbox.report('runnerDiffers', fields);
  }

  private readIfDue(now: number, tracker: RunnerTracker): void {
    const current = tracker;
    const { id: runnerId } = tracker.runner;
    if (now < tracker.readAt || tracker.orderCall !== undefined) return;
    if (tracker.stateCall === undefined) {
      const call = this.outbox.nextCall();
      current.stateCall = call;
      this.outbox.push({ kind: 'read_state', call, runnerId });
    }
    current.readAt = now + tracker.readIntervalMilliseconds;
    if (tracker.phase !== 'draining' || tracker.loadCall !== undefined) return;
    const call = this.outbox.nextCall();
    current.loadCall = call;
    this.outbox.push({ kind: 'read_load', call, runnerId });
  }

  private changeConfiguration(now: number, picture: PoolPicture, turn: RolloutTurn): void {
    const change = this.plan.nextChange(now, picture, turn, [...this.trackers.values()]);
    if (!change) return;
    const call = this.outbox.nextCall();
    this.plan.changeSent(call);
    this.outbox.push({ kind: 'change', call, ...change.change });
    for (const { event, fields } of change.reports) this.outbox.report(event, fields);
  }

  private nextDueTime(now: number): number | undefined {
    // Leaves out runners with an order in progress: they are read after it has ended, and their time for the
    // next read may already have passed.
    const times = [...this.trackers.values()]
      .filter(({ orderCall }) => orderCall === undefined)
      .map(({ readAt }) => readAt);
    const nextLoadAt = this.pacer.nextDueTime(now);
    if (nextLoadAt !== undefined) times.push(nextLoadAt);
    const nextChangeAt = this.plan.nextDueTime(now);
    if (nextChangeAt !== undefined) times.push(nextChangeAt);
    return times.length > 0 ? Math.max(now, Math.min(...times)) : undefined;
  }
}
