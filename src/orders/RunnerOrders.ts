/**
 * Sends orders to the runners of a pool, at most one at a time to each runner, and processes their results.
 */
import { match } from 'ts-pattern';

import type { UpstreamOrder } from '../upstreams/Upstream.js';
import type { Authority } from './leaseTypes.js';
import { nextAdapterOrder, nextOrder } from './orderPlan.js';
import type { WantedState } from './poolTypes.js';
import type { RolloutOutbox } from './RolloutOutbox.js';
import type { RolloutTimings } from './rolloutTimings.js';
import type { OrderEnd } from './rolloutTypes.js';
import type { RunnerTracker } from './RunnerTracker.js';
import type { WeightPacer } from './WeightPacer.js';

/** Options of {@link RunnerOrders}. */
export interface RunnerOrdersOptions {
  timings: RolloutTimings;
  pacer: WeightPacer;
  /** Collects the orders and log events that result. */
  outbox: RolloutOutbox;
}

/** An order that has ended, with its result. */
export interface EndedOrder {
  readonly runnerId: string;
  readonly call: number;
  readonly end: OrderEnd;
  /** Missing when the runner is gone, or was forgotten because the lease changed. */
  readonly tracker: RunnerTracker | undefined;
}

function describeOrder(order: UpstreamOrder): string {
  return match(order)
    .with({ kind: 'load_version' }, ({ version }) => `load ${version}`)
    .with({ kind: 'unload_version' }, ({ version }) => `unload ${version}`)
    .with({ kind: 'load_adapter' }, ({ adapter }) => `load adapter ${adapter}`)
    .with({ kind: 'unload_adapter' }, ({ adapter }) => `unload adapter ${adapter}`)
    .with({ kind: 'change_role' }, ({ role }) => `take the role ${role}`)
    .exhaustive();
}

/** Chooses, issues and completes the orders of a pool's runners. Used only by the roll-out decisions. */
export class RunnerOrders {
  private readonly timings: RolloutTimings;

  private readonly pacer: WeightPacer;

  private readonly outbox: RolloutOutbox;

  /** The authority under which each order in progress was issued, by call number. */
  private readonly issuedUnder = new Map<number, Authority>();

  /**
   * @param options - the timings, the pacing of loads, and the collector of orders.
   */
  constructor({ timings, pacer, outbox }: RunnerOrdersOptions) {
    this.timings = timings;
    this.pacer = pacer;
    this.outbox = outbox;
  }

  /**
   * Issues the next order for a runner, if it needs one and may receive it now.
   *
   * @param now - monotonic time in milliseconds.
   * @param tracker - tracker of the runner.
   * @param wanted - the state that the runner has to reach.
   * @param authority - the lease under which the order is issued.
   */
  issueNextOrder(
    now: number,
    tracker: RunnerTracker,
    wanted: WantedState,
    authority: Authority,
  ): void {
    const { phase, observed } = tracker;
    this.trackLoad(now, tracker, wanted);
    if (tracker.orderCall !== undefined || !observed) return;
    if (phase === 'changing') {
      const order = nextOrder(wanted, observed);
      if (order !== undefined && order !== 'loading') {
        this.orderVersionChange(now, tracker, order, wanted, authority);
      }
    }
    if (phase === 'settled') {
      const order = nextAdapterOrder(wanted, observed);
      if (order !== undefined && order !== 'loading')
        this.issueOrder(now, tracker, order, authority);
    }
  }

  /** Counts each load in progress against the weight store, including one that an earlier holder ordered. */
  private trackLoad(now: number, tracker: RunnerTracker, wanted: WantedState): void {
    const { id } = tracker.runner;
    if (tracker.loadingSince === undefined) {
      if (tracker.observed?.versions.includes(wanted.version)) this.pacer.end(id);
      return;
    }
    this.pacer.begin(now, id, wanted.weightBytes);
    const { loadSlowness, loadAllowanceMilliseconds } = this.timings;
    const expected = this.pacer.expectedMilliseconds(wanted.weightBytes);
    const longest = expected * loadSlowness + loadAllowanceMilliseconds;
    if (now - tracker.loadingSince > longest) this.fail(tracker, 'the load takes too long');
  }

  private orderVersionChange(
    now: number,
    tracker: RunnerTracker,
    order: UpstreamOrder,
    wanted: WantedState,
    authority: Authority,
  ): void {
    const { id } = tracker.runner;
    if (order.kind === 'load_version') {
      if (!this.pacer.allows(now, id)) return;
      this.pacer.begin(now, id, wanted.weightBytes);
    }
    this.issueOrder(now, tracker, order, authority);
  }

  private issueOrder(
    now: number,
    tracker: RunnerTracker,
    order: UpstreamOrder,
    authority: Authority,
  ): void {
    const { id } = tracker.runner;
    const attempts = tracker.countOrder(order);
    if (attempts > this.timings.orderAttempts) {
      this.fail(tracker, `did not ${describeOrder(order)} in ${attempts - 1} attempts`);
      return;
    }
    const call = this.outbox.nextCall();
    const current = tracker;
    current.orderCall = call;
    this.issuedUnder.set(call, authority);
    // The next order needs a state that was requested after this order ended.
    current.observed = undefined;
    current.stateCall = undefined;
    const { token: fencingToken, until: validUntil } = authority;
    this.outbox.push({ kind: 'order', call, runnerId: id, order, fencingToken, validUntil });
    this.outbox.report('orderGiven', {
      runner: id,
      order: JSON.stringify(order),
      token: fencingToken,
    });
  }

  /**
   * Processes the result of an order.
   *
   * @param now - monotonic time in milliseconds.
   * @param ended - the order, its result, and the runner's tracker if it still exists.
   */
  orderEnded(now: number, { runnerId, call, end, tracker }: EndedOrder): void {
    const issued = this.issuedUnder.get(call);
    this.issuedUnder.delete(call);
    // The second of the two clock checks; the first is made before sending. An order that ended after its
    // lease expired may have taken effect alongside those of the next holder. This does no lasting harm: an
    // order is a desired state, and the next holder reads the engines and repeats its own orders.
    if (issued && now >= issued.until && end.kind !== 'not_sent') {
      this.outbox.report('orderLate', { runner: runnerId, token: issued.token, outcome: end.kind });
    }
    if (!tracker || tracker.orderCall !== call) return;
    const current = tracker;
    current.orderCall = undefined;
    current.stateCall = undefined;
    // Waits before the next read: an engine may show the effect of an order a little later, and an engine
    // that refuses or fails immediately would be read and ordered again as fast as the network allows.
    current.readAt = now + tracker.readIntervalMilliseconds;
    const reason = 'message' in end ? end.message : '';
    this.outbox.report('orderEnded', { runner: runnerId, outcome: end.kind, reason });
    if (end.kind === 'refused') this.fail(tracker, `refused an order: ${end.message}`);
  }

  private fail(tracker: RunnerTracker, reason: string): void {
    tracker.fail(reason);
    this.pacer.end(tracker.runner.id);
    this.outbox.report('runnerFailed', { runner: tracker.runner.id, reason });
  }
}
