/**
 * The engines and daemons of a run, and what happens to them: churn, restarts, pauses, and lists that each
 * daemon learns of at a moment of its own.
 */
import type { GateAction, GateMessage } from '../../src/gates/gateTypes.js';
import { FakeEngine } from './FakeEngine.js';
import type { SeededRandom } from './SeededRandom.js';
import { SimulatedDaemon } from './SimulatedDaemon.js';
import type { DaemonRecord, RunnerRecord } from './SimulatedDaemon.js';
import type { Stopwatch } from './Stopwatch.js';
import type { VirtualTime } from './VirtualTime.js';
import type { RoutingRunOptions } from './routingRunOptions.js';

/** Carries out what a gate decided. */
export type OnDecided = (
  daemon: SimulatedDaemon,
  runnerId: string,
  actions: readonly GateAction[],
) => void;

/** Options of a {@link SimulatedFleet}. */
export interface SimulatedFleetOptions {
  readonly run: RoutingRunOptions;
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly stopwatch: Stopwatch;
  readonly onDecided: OnDecided;
  readonly onDied: (daemon: SimulatedDaemon) => void;
  readonly onEvicted: (runnerId: string, chat: string) => void;
}

const MILLISECONDS_PER_SECOND = 1_000;
const MILLISECONDS_PER_MINUTE = 60_000;

/** Number of members that the fault rates refer to. */
const MEMBERS_PER_RATE = 100;

const RESTART_MILLISECONDS = 2_000;
const DETECTION_MILLISECONDS = 1_500;
const PAUSE_MILLISECONDS = 8_000;

/** Engine and its current state, as it would be seen without lag. */
export interface FleetRunner {
  readonly engine: FakeEngine;
  record: RunnerRecord;
}

/** Actual state of the fleet, and each daemon's view of it. */
export class SimulatedFleet {
  readonly runners = new Map<string, FleetRunner>();

  readonly daemons: SimulatedDaemon[] = [];

  private readonly options: SimulatedFleetOptions;

  private named = 0;

  /**
   * @param options - the run and its time.
   */
  constructor(options: SimulatedFleetOptions) {
    this.options = options;
    const { run } = options;
    for (let index = 0; index < run.runners; index += 1) this.addRunner();
    const records = Array.from({ length: run.daemons }, (_, index) => ({
      id: `daemon-${index}`,
      dataCentre: this.dataCentreOf(index),
      accelerators: 1 as const,
    }));
    this.daemons = records.map((record) => this.makeDaemon(record, records));
    for (const daemon of this.daemons)
      for (const runnerId of daemon.ownRunners()) daemon.openGate(0, runnerId, []);
    this.planFaults();
  }

  /** @returns Engines that may get work. */
  liveEngines(): FakeEngine[] {
    return [...this.runners.values()]
      .filter(({ record }) => record.state === 'live')
      .map(({ engine }) => engine);
  }

  /**
   * @param id - a daemon's name.
   * @returns The daemon when it answers at all.
   */
  reachable(id: string | undefined): SimulatedDaemon | undefined {
    const daemon = this.daemons.find(({ record }) => record.id === id);
    return daemon?.alive ? daemon : undefined;
  }

  /**
   * Runs a function at a daemon: at once, or when its pause ends.
   *
   * @param daemon - which.
   * @param run - what.
   */
  at(daemon: SimulatedDaemon, run: () => void): void {
    const { time } = this.options;
    if (daemon.pausedUntil <= time.now) run();
    else time.after(daemon.pausedUntil - time.now, run);
  }

  /**
   * @param milliseconds - how long all engines run.
   */
  advanceEngines(milliseconds: number): void {
    for (const { engine } of this.runners.values()) engine.advance(milliseconds);
  }

  /** Runs the timers of all gates that are due. */
  tickGates(): void {
    const { now } = this.options.time;
    for (const daemon of this.daemons) {
      if (!daemon.alive || daemon.pausedUntil > now) continue;
      for (const [runnerId, gate] of daemon.gates) {
        const wake = gate.nextWake();
        if (wake !== undefined && wake <= now) this.tell(daemon, runnerId, { kind: 'tick' });
      }
    }
  }

  private tell(daemon: SimulatedDaemon, runnerId: string, message: GateMessage): void {
    const actions = daemon.atGate(this.options.time.now, runnerId, message);
    this.options.onDecided(daemon, runnerId, actions);
  }

  private planFaults(): void {
    const { run, time } = this.options;
    const plan = (rate: number, members: number, happen: () => void): void => {
      const perMinute = (rate * members) / MEMBERS_PER_RATE;
      if (perMinute > 0) time.every(MILLISECONDS_PER_MINUTE / perMinute, happen);
    };
    plan(run.churn, run.runners, () => this.churn());
    plan(run.daemonRestarts, run.daemons, () => this.restartDaemon());
    plan(run.daemonPauses, run.daemons, () => this.pauseDaemon());
  }

  /** Keeps the number of runners about even: a join while one is missing, else a leave. */
  private churn(): void {
    const { run, random } = this.options;
    const live = [...this.runners.values()].filter(({ record }) => record.state === 'live');
    if (live.length < run.runners) {
      const runner = this.addRunner();
      this.everyDaemon((daemon) => this.learnRunner(daemon, runner.record));
      return;
    }
    const leaving = random.pick(live);
    leaving.record = { ...leaving.record, state: 'leaving' };
    this.everyDaemon((daemon) => this.learnRunner(daemon, leaving.record));
  }

  private learnRunner(daemon: SimulatedDaemon, record: RunnerRecord): void {
    const { now } = this.options.time;
    daemon.learnRunner(record);
    if (daemon.gateOf(record.id) !== daemon.record) return;
    if (record.state === 'live') daemon.openGate(now, record.id);
    else this.tell(daemon, record.id, { kind: 'runner_state', state: 'leaving', incarnation: 1 });
  }

  private restartDaemon(): void {
    const { random, time } = this.options;
    const old = random.pick(this.daemons.filter(({ alive }) => alive));
    old.alive = false;
    this.options.onDied(old);
    this.everyDaemon((daemon) =>
      this.learnDaemons(daemon, () => daemon.forgetDaemon(old.record.id)),
    );
    time.after(RESTART_MILLISECONDS + DETECTION_MILLISECONDS, () => {
      const records = this.daemons.filter(({ alive }) => alive).map(({ record }) => record);
      const fresh = this.makeDaemon(old.record, [...records, old.record]);
      this.daemons[this.daemons.indexOf(old)] = fresh;
      this.settleGates(fresh);
      this.everyDaemon((daemon) => this.learnDaemons(daemon, () => daemon.learnDaemon(old.record)));
    });
  }

  /** A paused daemon is considered dead by the others; after the pause, each of its gates exists twice for a while. */
  private pauseDaemon(): void {
    const { random, time } = this.options;
    const paused = random.pick(this.daemons.filter(({ alive }) => alive));
    paused.pausedUntil = time.now + PAUSE_MILLISECONDS;
    const others = (change: (daemon: SimulatedDaemon) => void): void =>
      this.everyDaemon((daemon) => {
        if (daemon !== paused) this.learnDaemons(daemon, () => change(daemon));
      });
    others((daemon) => daemon.forgetDaemon(paused.record.id));
    time.after(PAUSE_MILLISECONDS, () => others((daemon) => daemon.learnDaemon(paused.record)));
  }

  private learnDaemons(daemon: SimulatedDaemon, change: () => void): void {
    change();
    this.settleGates(daemon);
  }

  private settleGates(daemon: SimulatedDaemon): void {
    const { now } = this.options.time;
    const own = new Set(daemon.ownRunners());
    for (const runnerId of own) {
      const gate = daemon.gates.get(runnerId);
      const state = gate?.snapshot(now).state;
      if (state !== 'open' && state !== 'opening') daemon.openGate(now, runnerId);
    }
    for (const [runnerId] of daemon.gates) {
      if (!own.has(runnerId)) this.tell(daemon, runnerId, { kind: 'close' });
    }
  }

  private everyDaemon(change: (daemon: SimulatedDaemon) => void): void {
    const { run, time, random } = this.options;
    const lag = run.listLagSeconds * MILLISECONDS_PER_SECOND;
    for (const daemon of this.daemons) {
      time.after(random.between(0, lag), () => {
        if (daemon.alive) this.at(daemon, () => change(daemon));
      });
    }
  }

  private addRunner(): FleetRunner {
    const { run, onEvicted } = this.options;
    const id = `runner-${this.named}`;
    const engine = new FakeEngine({
      id,
      cacheTokens: run.cacheTokens,
      onEvicted: (chat) => onEvicted(id, chat),
    });
    const record: RunnerRecord = { id, dataCentre: this.dataCentreOf(this.named), state: 'live' };
    const runner = { engine, record };
    this.runners.set(id, runner);
    this.named += 1;
    return runner;
  }

  private makeDaemon(record: DaemonRecord, daemons: readonly DaemonRecord[]): SimulatedDaemon {
    const { stopwatch } = this.options;
    const runners = [...this.runners.values()].map((runner) => runner.record);
    return new SimulatedDaemon({ record, daemons, runners, stopwatch });
  }

  private dataCentreOf(index: number): string {
    return `data-centre-${index % this.options.run.dataCentres}`;
  }
}
