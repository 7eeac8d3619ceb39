/**
 * Simulation of a pool of engines and its configuration in virtual time, with injected faults. For tests of
 * roll-outs.
 */
import type { UpstreamOrder, UpstreamState } from '../upstreams/Upstream.js';
import type { PoolPicture, PoolRunner, RolloutPicture } from './poolTypes.js';
import { RolloutDecisions } from './RolloutDecisions.js';
import type { RolloutAction, RolloutMessage } from './rolloutTypes.js';

const SECOND = 1000;
const LOAD_MILLISECONDS = 5 * SECOND;
const REPORT_LAG_MILLISECONDS = 5 * SECOND;
const GIB = 2 ** 30;

/**
 * Fault of a simulated engine: it refuses to load version 2, ends the load without the version, carries orders
 * out but loses their answers, does not answer while drained, or dies during the load.
 */
export type EngineFault = 'none' | 'refuses' | 'load_vanishes' | 'answers_lost' | 'silent' | 'dies';

/** One engine of the pool. */
export interface TestEngine {
  readonly id: string;
  readonly fault: EngineFault;
  state: UpstreamState;
  busyFrom: number;
  busyUntil: number;
  dead: boolean;
}

/** Options of a {@link TestPool}. */
export interface TestPoolOptions {
  faults: readonly EngineFault[];
  /** Milliseconds that requests in progress still take after an engine is drained. */
  busyMilliseconds?: number;
  /** Milliseconds until the answer of an engine arrives. */
  delayMilliseconds?: number;
  rollout?: Partial<RolloutPicture>;
  elsewhere?: PoolPicture['elsewhere'];
  weightBytesPerSecond?: number;
  concurrentLoads?: number;
}

/** Simulates data centre `a` of a service. Virtual time advances in steps of 100 milliseconds. */
export class TestPool {
  readonly engines: TestEngine[];

  readonly orders: { at: number; runnerId: string; order: UpstreamOrder }[] = [];

  readonly reports: string[] = [];

  /** Largest number of engines that were unavailable at once, for whatever reason. */
  mostUnavailable = 0;

  /** Largest number of engines that loaded at once. */
  mostLoading = 0;

  now = 0;

  rollout: RolloutPicture;

  wantedVersion = '1';

  /** Reason that the roll-out gave for its last step. */
  lastReason = '';

  readonly decisions: RolloutDecisions;

  private readonly options: TestPoolOptions;

  private readonly drains = new Set<string>();

  private revision = 1;

  private queue: { at: number; run: () => void }[] = [];

  /**
   * @param options - the engines' faults and the options of the roll-out.
   */
  constructor(options: TestPoolOptions) {
    this.options = options;
    this.engines = options.faults.map((fault, number) => ({
      id: `r${String(number).padStart(2, '0')}`,
      fault,
      state: { model: 'tile', versions: ['1'], adapters: [], role: 'mixed', loading: [] },
      busyFrom: 0,
      busyUntil: 0,
      dead: false,
    }));
    this.rollout = {
      name: 'sales',
      state: 'running',
      resumesAs: '',
      fromVersion: '1',
      toVersion: '2',
      maximumUnavailableShare: 0.25,
      maximumFailures: 1,
      dataCentres: ['a'],
      finishedDataCentres: [],
      ...options.rollout,
    };
    const { weightBytesPerSecond = GIB, concurrentLoads = 4 } = options;
    this.decisions = new RolloutDecisions({ weightBytesPerSecond, concurrentLoads });
    this.send({ kind: 'authority', authority: { token: 7, until: Infinity } });
    this.publishPicture();
  }

  /**
   * @param milliseconds - virtual time to run for.
   * @param until - condition that ends the run early.
   */
  run(milliseconds: number, until: () => boolean = () => false): void {
    const end = this.now + milliseconds;
    while (this.now < end && !until()) {
      this.now += 100;
      const due = this.queue.filter(({ at }) => at <= this.now);
      this.queue = this.queue.filter(({ at }) => at > this.now);
      for (const { run } of due) run();
      const wake = this.decisions.nextWake();
      if (wake !== undefined && wake <= this.now) this.wake();
      this.recordExtremes();
    }
  }

  /** Simulates that another daemon acquires the lease. */
  changeHolder(): void {
    this.send({ kind: 'authority' });
    this.send({ kind: 'authority', authority: { token: 8, until: Infinity } });
  }

  /** @param change - change of the roll-out, as an operator makes it. */
  updateRollout(change: Partial<RolloutPicture>): void {
    this.rollout = { ...this.rollout, ...change };
    this.revision += 1;
    this.publishPicture();
  }

  /** @returns Loaded versions of each engine. */
  versions(): string[] {
    return this.engines.map(({ state }) => state.versions.join('+'));
  }

  /** Throws if the decisions ask to be woken immediately, which would keep a core busy without doing anything. */
  private wake(): void {
    this.send({ kind: 'tick' });
    const wake = this.decisions.nextWake();
    if (wake !== undefined && wake <= this.now)
      throw new Error('The decisions ask to be woken immediately, although they have just run.');
  }

  private send(message: RolloutMessage): void {
    for (const action of this.decisions.decide(this.now, message)) this.perform(action);
  }

  private publishPicture(): void {
    this.send({ kind: 'pool', picture: this.picture() });
  }

  private picture(): PoolPicture {
    const runners: PoolRunner[] = this.engines.map(({ id, dead }) => ({
      id,
      incarnation: 1,
      state: dead ? 'down' : 'live',
      drain: this.drains.has(id) ? 'rollout' : 'none',
    }));
    const { elsewhere = { runners: 0, unavailable: 0 } } = this.options;
    return {
      service: 'sales',
      dataCentre: 'a',
      revision: this.revision,
      everywhereRevision: this.revision,
      model: 'tile',
      wantedVersion: this.wantedVersion,
      adapters: [],
      role: '',
      weightBytes: { 1: GIB, 2: GIB },
      rollout: this.rollout,
      runners,
      elsewhere,
    };
  }

  private recordExtremes(): void {
    const unavailable = this.engines.filter(
      ({ id, dead, state }) => dead || this.drains.has(id) || state.versions.length === 0,
    );
    this.mostUnavailable = Math.max(this.mostUnavailable, unavailable.length);
    const loading = this.engines.filter(({ state }) => state.loading.length > 0);
    this.mostLoading = Math.max(this.mostLoading, loading.length);
  }

  private schedule(milliseconds: number, run: () => void): void {
    this.queue.push({ at: this.now + milliseconds, run });
  }

  private answer(message: RolloutMessage): void {
    this.schedule(this.options.delayMilliseconds ?? 200, () => this.send(message));
  }

  private engine(runnerId: string): TestEngine {
    const engine = this.engines.find(({ id }) => id === runnerId);
    if (!engine) throw new RangeError(`There is no engine ${runnerId}.`);
    return engine;
  }

  private perform(action: RolloutAction): void {
    if (action.kind === 'report') {
      this.reports.push(action.event);
      return;
    }
    if (action.kind === 'change') {
      this.schedule(200, () => this.change(action));
      return;
    }
    const { call, runnerId } = action;
    const engine = this.engine(runnerId);
    const drained = this.drains.has(runnerId);
    const silent = engine.dead || (engine.fault === 'silent' && drained);
    if (action.kind === 'read_state') {
      const reading = silent
        ? ({ kind: 'silent', reason: 'no answer' } as const)
        : ({ kind: 'state', state: engine.state } as const);
      this.answer({ kind: 'state_read', call, runnerId, reading });
    } else if (action.kind === 'read_load') {
      // Load reports lag: this one shows how busy the engine was some time ago.
      const measuredAt = this.now - REPORT_LAG_MILLISECONDS;
      const busy = measuredAt >= engine.busyFrom && measuredAt < engine.busyUntil;
      const running = busy ? 1 : 0;
      const reading = {
        kind: 'load',
        running,
        queued: 0,
        ageMilliseconds: REPORT_LAG_MILLISECONDS,
      } as const;
      this.answer({ kind: 'load_read', call, runnerId, reading });
    } else this.order(engine, call, action.order);
  }

  private order(engine: TestEngine, call: number, order: UpstreamOrder): void {
    const { id: runnerId, fault } = engine;
    this.orders.push({ at: this.now, runnerId, order });
    const load = order.kind === 'load_version' && order.version === '2';
    if (load && fault === 'refuses') {
      this.answer({ kind: 'order_ended', call, runnerId, end: { kind: 'refused', message: 'no' } });
      return;
    }
    if (load && fault === 'dies') {
      const dying = engine;
      dying.dead = true;
      this.schedule(3 * SECOND, () => this.publishPicture());
    } else this.carryOut(engine, order);
    const lost = fault === 'answers_lost' || engine.dead;
    const end = lost
      ? ({ kind: 'unknown', message: 'cut' } as const)
      : { kind: 'accepted' as const };
    this.answer({ kind: 'order_ended', call, runnerId, end });
  }

  private carryOut(engine: TestEngine, order: UpstreamOrder): void {
    const obeying = engine;
    const { state } = engine;
    if (order.kind === 'unload_version') {
      const versions = state.versions.filter((version) => version !== order.version);
      obeying.state = { ...state, versions };
    }
    if (order.kind !== 'load_version') return;
    if (state.loading.length > 0 || state.versions.includes(order.version)) return;
    obeying.state = { ...state, loading: [order.version] };
    const vanishes = engine.fault === 'load_vanishes' && order.version === '2';
    this.schedule(LOAD_MILLISECONDS, () => {
      const { versions } = engine.state;
      const loaded = vanishes ? versions : [...versions, order.version];
      obeying.state = { ...engine.state, loading: [], versions: loaded };
    });
  }

  private change({
    call,
    drains,
    lifts,
    rollout,
  }: Extract<RolloutAction, { kind: 'change' }>): void {
    for (const { runnerId } of drains) {
      this.drains.add(runnerId);
      const engine = this.engine(runnerId);
      engine.busyFrom = this.now;
      engine.busyUntil = this.now + (this.options.busyMilliseconds ?? SECOND);
    }
    for (const runnerId of lifts) this.drains.delete(runnerId);
    if (rollout) {
      this.lastReason = rollout.reason;
      const resumesAs = rollout.after.state === 'halted' ? rollout.before.state : '';
      this.rollout = { ...this.rollout, ...rollout.after, resumesAs };
      this.wantedVersion = rollout.wantedVersion ?? this.wantedVersion;
    }
    this.revision += 1;
    this.send({ kind: 'change_ended', call, end: { kind: 'accepted', revision: this.revision } });
    this.schedule(SECOND, () => this.publishPicture());
  }
}
