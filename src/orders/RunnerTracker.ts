/**
 * Tracks one runner of a pool: its observed state and its phase in `rollout.chart.json`.
 */
import { ChartInterpreter } from '../charts/ChartInterpreter.js';
import type { UpstreamOrder, UpstreamState } from '../upstreams/Upstream.js';
import { compareWithWanted, nextOrder } from './orderPlan.js';
import type { LoadReadResult, PoolRunner, StateReadResult, WantedState } from './poolTypes.js';
import chart from './rollout.chart.json' with { type: 'json' };
import type { RolloutTimings } from './rolloutTimings.js';
import type { RunnerEvent, RunnerPhase } from './rolloutTypes.js';

const interpreter = new ChartInterpreter<RunnerPhase, RunnerEvent>({ chart });

/** Phases in which a runner's state is read at the shorter interval. */
const ACTIVE_PHASES: ReadonlySet<RunnerPhase> = new Set(['draining', 'changing', 'returning']);

/** Phases in which a runner serves requests. */
const SERVING_PHASES: ReadonlySet<RunnerPhase> = new Set(['settled', 'outdated']);

/** Options of a {@link RunnerTracker}. */
export interface RunnerTrackerOptions {
  runner: PoolRunner;
  timings: RolloutTimings;
  now: number;
}

/** Tracks one runner for the holder of the pool's lease. A new holder starts from what the runner reports. */
export class RunnerTracker {
  /** The runner as shown in the newest picture of the pool. */
  runner: PoolRunner;

  /** Last reported state; missing until a state arrives that was requested after the last order ended. */
  observed: UpstreamState | undefined;

  /** Monotonic time in milliseconds of the next read of the runner's state. */
  readAt: number;

  /** Call number of the state read in progress. */
  stateCall: number | undefined;

  /** Call number of the load read in progress. */
  loadCall: number | undefined;

  /** Call number of the order in progress. */
  orderCall: number | undefined;

  /** Whether the log already shows that the runner differs from the configuration without a roll-out. */
  differenceReported = false;

  /** The last order as JSON, to count how often it was issued in a row. */
  private lastOrder = '';

  private consecutiveOrders = 0;

  /** Monotonic time since which a load has been in progress. */
  loadingSince: number | undefined;

  /** Monotonic time since which the runner has been unresponsive. */
  unresponsiveSince: number | undefined;

  /** Monotonic time since which the runner has been drained for the roll-out. */
  drainedSince: number | undefined;

  /** Monotonic time since which the drain has been in force on every daemon. */
  drainInForceAt: number | undefined;

  /** Reason for the phase `failed`. */
  failure = '';

  private current: RunnerPhase = interpreter.initial();

  private readonly timings: RolloutTimings;

  private drainRevision = 0;

  /**
   * @param options - the runner, the timings and the current time.
   */
  constructor({ runner, timings, now }: RunnerTrackerOptions) {
    this.runner = runner;
    this.timings = timings;
    this.readAt = now;
  }

  /** @returns The runner's phase in the state chart. */
  get phase(): RunnerPhase {
    return this.current;
  }

  /** @returns Whether the runner is known to serve callers. */
  get available(): boolean {
    const { state, drain } = this.runner;
    return state === 'live' && drain === 'none' && SERVING_PHASES.has(this.current);
  }

  /** @returns Interval between two reads of the runner's state, in milliseconds. */
  get readIntervalMilliseconds(): number {
    const { activeReadMilliseconds, steadyReadMilliseconds } = this.timings;
    const active = ACTIVE_PHASES.has(this.current) || this.unresponsiveSince !== undefined;
    return active ? activeReadMilliseconds : steadyReadMilliseconds;
  }

  /**
   * Takes over the runner from a new picture of the pool.
   *
   * @param runner - the runner as the picture shows it.
   * @param now - monotonic time in milliseconds.
   * @param revision - configuration revision of the picture.
   * @param everywhereRevision - lowest configuration revision in force on any serving daemon.
   */
  updateRunner(
    runner: PoolRunner,
    now: number,
    revision: number,
    everywhereRevision: number,
  ): void {
    this.runner = runner;
    if (runner.drain !== 'rollout') {
      this.drainedSince = undefined;
      this.drainInForceAt = undefined;
      this.transition('drain_gone');
      return;
    }
    if (this.drainedSince === undefined) {
      this.drainedSince = now;
      this.drainRevision = revision;
      this.readAt = now;
      this.transition('drain_seen');
    }
    const waited = now - this.drainedSince >= this.timings.drainPatienceMilliseconds;
    if (everywhereRevision >= this.drainRevision || waited) this.drainInForceAt ??= now;
  }

  /**
   * Processes the result of a state read.
   *
   * @param now - monotonic time in milliseconds.
   * @param reading - the reported state, or that the runner did not answer.
   * @param wanted - the state that the runner has to reach.
   */
  observeState(now: number, reading: StateReadResult, wanted: WantedState): void {
    if (reading.kind === 'silent') {
      this.observed = undefined;
      this.unresponsiveSince ??= now;
      const patience = this.timings.silencePatienceMilliseconds;
      if (now - this.unresponsiveSince >= patience) this.transition('unreachable');
      return;
    }
    this.unresponsiveSince = undefined;
    this.observed = reading.state;
    if (reading.state.loading.length === 0) this.loadingSince = undefined;
    else this.loadingSince ??= now;
    this.classify(wanted);
  }

  /**
   * Updates the phase by the last reported state, after a state read or when the wanted state changes.
   *
   * @param wanted - the state that the runner has to reach.
   */
  classify(wanted: WantedState): void {
    const { observed } = this;
    if (!observed) return;
    const drained = this.runner.drain === 'rollout';
    if (drained && this.current === 'unknown') this.transition('drain_seen');
    const found = compareWithWanted(wanted, observed);
    if (found === 'other_model') {
      this.fail(`serves model ${observed.model}`);
      return;
    }
    if (found === 'empty') this.transition(drained ? 'idle' : 'empty');
    // A drained runner that is being changed differs until its last order. One that is not drained returned to
    // service by itself.
    if (found === 'differs' && !(drained && this.current === 'changing'))
      this.transition('differs');
    if (found !== 'matches') return;
    const done = this.current !== 'changing' || nextOrder(wanted, observed) === undefined;
    if (!done) return;
    this.lastOrder = '';
    this.differenceReported = false;
    this.transition('matches');
    if (!drained) this.transition('drain_gone');
  }

  /**
   * Processes the load report of a drained runner. A report counts only if it was measured after the drain
   * came into force: an older one does not include requests that were still on their way to the runner.
   *
   * @param now - monotonic time in milliseconds.
   * @param reading - the reported load, or that the runner did not answer.
   */
  observeLoad(now: number, reading: LoadReadResult): void {
    if (reading.kind === 'silent' || this.drainInForceAt === undefined) return;
    const measuredAt = now - reading.ageMilliseconds;
    const settledAt = this.drainInForceAt + this.timings.drainMarginMilliseconds;
    if (measuredAt < settledAt || reading.running + reading.queued > 0) return;
    this.transition('idle');
  }

  /**
   * Counts an order that is about to be issued.
   *
   * @param order - the order.
   * @returns How often it was issued in a row, including this time.
   */
  countOrder(order: UpstreamOrder): number {
    const text = JSON.stringify(order);
    this.consecutiveOrders = text === this.lastOrder ? this.consecutiveOrders + 1 : 1;
    this.lastOrder = text;
    return this.consecutiveOrders;
  }

  /** @param reason - why the runner cannot reach the wanted state. */
  fail(reason: string): void {
    this.failure = reason;
    this.transition('failed');
  }

  /** Leaves the phase `failed`, after an operator resumed the roll-out or rolled it back. */
  retry(): void {
    if (this.current !== 'failed') return;
    this.failure = '';
    this.lastOrder = '';
    this.loadingSince = undefined;
    this.observed = undefined;
    this.readAt = 0;
    this.transition('retry');
  }

  private transition(event: RunnerEvent): void {
    this.current = interpreter.next(this.current, event).state;
  }
}
