/**
 * One run: requests flow through entries, homes and gates to fake engines, in virtual time.
 */
import type { GateAction, RefusalReason } from '../../src/gates/gateTypes.js';
import { rendezvousScore } from '../../src/routing/rendezvous.js';
import type { EntryPolicy } from './entryPolicies.js';
import { entryPolicyOf } from './entryPolicies.js';
import { planArrivals } from './planArrivals.js';
import { HomeTraffic } from './HomeTraffic.js';
import { LoadBoard } from './LoadBoard.js';
import { RoutingTally } from './RoutingTally.js';
import type { RoutingResult } from './RoutingTally.js';
import { SeededRandom } from './SeededRandom.js';
import type { SimulatedDaemon } from './SimulatedDaemon.js';
import { SimulatedFleet } from './SimulatedFleet.js';
import { Stopwatch } from './Stopwatch.js';
import { VirtualTime } from './VirtualTime.js';
import type { Chat } from './Workload.js';
import { Workload } from './Workload.js';
import { REFUSAL_BYTES } from './controlSizes.js';
import { requestOf } from './routingFlow.js';
import type { Attempt, Flow } from './routingFlow.js';
import type { RoutingRunOptions } from './routingRunOptions.js';

/** One-way latency between two daemons. */
const HOP_MILLISECONDS = 1.5;

const DEADLINE_MILLISECONDS = 60_000;
const ENGINE_STEP_MILLISECONDS = 250;
const SAMPLE_MILLISECONDS = 500;
const TICK_MILLISECONDS = 250;
const PROGRESS_EVERY_TOKENS = 1;
const MILLISECONDS_PER_SECOND = 1_000;

/** Runs once. */
export class RoutingRun {
  private readonly options: RoutingRunOptions;

  private readonly time = new VirtualTime();

  private readonly random: SeededRandom;

  private readonly stopwatch = new Stopwatch();

  private readonly tally = new RoutingTally();

  private readonly workload: Workload;

  private readonly fleet: SimulatedFleet;

  private readonly board: LoadBoard;

  private readonly homes: HomeTraffic;

  private readonly policy: EntryPolicy;

  private readonly attempts = new Map<string, Attempt>();

  private attemptsMade = 0;

  /**
   * @param options - the run.
   */
  constructor(options: RoutingRunOptions) {
    this.options = options;
    this.random = new SeededRandom(options.seed);
    this.workload = new Workload({
      random: this.random,
      requestsPerSecond: options.requestsPerRunnerSecond * options.runners,
      surgeShare: options.surge,
    });
    this.fleet = new SimulatedFleet({
      run: options,
      time: this.time,
      random: this.random,
      stopwatch: this.stopwatch,
      onDecided: (...decided) => this.perform(...decided),
      onDied: (daemon) => this.died(daemon),
      onEvicted: (runnerId, chat) => {
        if (this.policy.usesHomes) this.homes.evicted(runnerId, chat);
      },
    });
    const { time, fleet, tally, random } = this;
    this.homes = new HomeTraffic({ run: options, time, fleet, tally, random });
    this.policy = entryPolicyOf(options, this.random);
    this.board = new LoadBoard({
      run: options,
      time: this.time,
      fleet: this.fleet,
      tally: this.tally,
      usesGates: this.policy.usesGates,
      onDecided: (...decided) => this.perform(...decided),
    });
  }

  /** @returns What was measured. */
  run(): RoutingResult {
    const { warmUpSeconds, measuredSeconds, daemons, surge } = this.options;
    const start = warmUpSeconds * MILLISECONDS_PER_SECOND;
    const third = (measuredSeconds / 3) * MILLISECONDS_PER_SECOND;
    this.time.every(ENGINE_STEP_MILLISECONDS, () =>
      this.fleet.advanceEngines(ENGINE_STEP_MILLISECONDS),
    );
    this.time.every(SAMPLE_MILLISECONDS, () => this.tally.sample(this.fleet.liveEngines()));
    if (this.policy.usesGates) this.time.every(TICK_MILLISECONDS, () => this.fleet.tickGates());
    this.board.start();
    planArrivals({
      time: this.time,
      workload: this.workload,
      onArrival: (chat) => this.arrive(chat),
      surge: surge > 0 ? { from: start + third, until: start + 2 * third } : undefined,
    });
    this.time.after(start, () => {
      this.tally.measuring = true;
    });
    this.time.runUntil(start + 3 * third);
    const figures = this.tally.figures(measuredSeconds, daemons);
    return { ...figures, decisionsPerSecond: this.stopwatch.perSecond() };
  }

  private arrive(chat: Chat): void {
    const { random, time } = this;
    const awake = this.fleet.daemons.filter(
      ({ alive, pausedUntil }) => alive && pausedUntil <= time.now,
    );
    const near = awake.filter(({ record }) => record.dataCentre === this.dataCentreOf(chat));
    const turn = this.workload.turn(chat);
    const flow: Flow = {
      turn,
      entry: random.pick(near.length > 0 ? near : awake),
      arrivedAt: time.now,
      refusals: [],
      warm: [],
      queued: false,
    };
    if (!this.policy.usesHomes) this.place(flow);
    else this.homes.ask(flow.entry, chat.id, (warm) => this.place({ ...flow, warm }));
  }

  /** A caller stays in one data centre, whichever daemon there it asks. */
  private dataCentreOf(chat: Chat): string {
    return `data-centre-${rendezvousScore(chat.id, '') % this.options.dataCentres}`;
  }

  private place(flow: Flow): void {
    const { entry, turn, warm, refusals } = flow;
    const left = DEADLINE_MILLISECONDS - (this.time.now - flow.arrivedAt);
    const choice = this.stopwatch.time(() =>
      this.policy.choose({
        entry,
        turn,
        warm,
        heard: this.board.heard,
        deadlineMilliseconds: left,
        refusals,
      }),
    );
    if (!choice) {
      this.giveUp(flow);
      return;
    }
    this.attemptsMade += 1;
    const request = requestOf({
      attemptId: String(this.attemptsMade),
      turn,
      deadline: this.time.now + left,
      bound: this.options.bound,
      ...choice,
    });
    const attempt: Attempt = { flow, request, runnerId: choice.runnerId, waitsAt: undefined };
    if (this.policy.usesGates) this.time.after(HOP_MILLISECONDS, () => this.atGate(attempt));
    else this.startDirectly(attempt);
  }

  private atGate(attempt: Attempt): void {
    const { flow, request, runnerId } = attempt;
    const daemon = this.fleet.reachable(flow.entry.gateOf(runnerId)?.id);
    if (!daemon || !daemon.gates.has(runnerId)) {
      this.refused(attempt, 'gate_not_here', 0, 0, 0);
      return;
    }
    this.attempts.set(request.attemptId, { ...attempt, waitsAt: daemon });
    this.fleet.at(daemon, () => {
      const message = { kind: 'request', request } as const;
      this.perform(daemon, runnerId, daemon.atGate(this.time.now, runnerId, message));
    });
  }

  private perform(daemon: SimulatedDaemon, runnerId: string, actions: readonly GateAction[]): void {
    for (const action of actions) {
      const attempt = this.attempts.get(action.attemptId);
      if (!attempt) continue;
      if (action.kind === 'start') this.startAt(daemon, runnerId, attempt);
      if (action.kind === 'queued') attempt.flow.queued = true;
      if (action.kind === 'refuse') {
        const { reason, load, mean, retryAfterMilliseconds } = action;
        this.refused(attempt, reason, load, mean, retryAfterMilliseconds);
      }
    }
  }

  private startAt(daemon: SimulatedDaemon, runnerId: string, attempt: Attempt): void {
    const { request } = attempt;
    this.attempts.set(request.attemptId, { ...attempt, waitsAt: undefined });
    const tellGate = (message: Parameters<SimulatedDaemon['atGate']>[2]): void => {
      if (!daemon.alive) return;
      this.fleet.at(daemon, () =>
        this.perform(daemon, runnerId, daemon.atGate(this.time.now, runnerId, message)),
      );
    };
    let told = 0;
    const cachedTokens = this.startEngine(
      attempt,
      (generatedTokens) => {
        if (generatedTokens - told < PROGRESS_EVERY_TOKENS) return;
        told = generatedTokens;
        tellGate({ kind: 'progress', attemptId: request.attemptId, generatedTokens });
      },
      () => tellGate({ kind: 'ended', attemptId: request.attemptId, end: 'completed' }),
    );
    tellGate({ kind: 'started', attemptId: request.attemptId, cachedTokens });
  }

  /** What waited at a daemon that died did not run: its entry sees the connection break, and asks again. */
  private died(daemon: SimulatedDaemon): void {
    for (const attempt of [...this.attempts.values()])
      if (attempt.waitsAt === daemon) this.refused(attempt, 'gate_not_here', 0, 0, 0);
  }

  private startDirectly(attempt: Attempt): void {
    const { ownInProgress } = attempt.flow.entry;
    const change = (by: number): void => {
      ownInProgress.set(attempt.runnerId, (ownInProgress.get(attempt.runnerId) ?? 0) + by);
    };
    change(1);
    this.startEngine(
      attempt,
      () => {},
      () => change(-1),
    );
  }

  private startEngine(
    attempt: Attempt,
    onProgress: (generatedTokens: number) => void,
    onEnd: () => void,
  ): number {
    const { flow, request, runnerId } = attempt;
    const { engine } = this.fleet.runners.get(runnerId)!;
    const cached = engine.start({
      attemptId: request.attemptId,
      chat: flow.turn.chat.id,
      promptTokens: flow.turn.promptTokens,
      answerTokens: flow.turn.answerTokens,
      maximumTokens: flow.turn.maximumTokens,
      onProgress,
      onEnd: () => {
        onEnd();
        this.answered(attempt);
      },
    });
    const wait = this.time.now - flow.arrivedAt;
    const asked = flow.refusals.length + 1;
    this.tally.started(flow.turn.returning, cached > 0, wait, asked, flow.queued);
    return cached;
  }

  private answered({ flow, request, runnerId }: Attempt): void {
    const { turn, entry } = flow;
    this.attempts.delete(request.attemptId);
    if (this.policy.usesHomes)
      this.homes.tell(entry, runnerId, turn.chat.id, turn.promptTokens + turn.answerTokens);
    const pause = this.workload.answered(turn);
    if (pause !== undefined) this.time.after(pause, () => this.arrive(turn.chat));
  }

  private refused(
    attempt: Attempt,
    reason: RefusalReason,
    load: number,
    mean: number,
    retryAfterMilliseconds: number,
  ): void {
    const { flow, request, runnerId } = attempt;
    this.attempts.delete(request.attemptId);
    this.tally.control('refusal', REFUSAL_BYTES);
    const { lastChoice } = request;
    flow.refusals.push({ runnerId, reason, load, mean, retryAfterMilliseconds, lastChoice });
    this.time.after(HOP_MILLISECONDS, () => this.place(flow));
  }

  /** The caller retries the same chat after the time that the refusal suggested. */
  private giveUp({ turn }: Flow): void {
    this.tally.refused();
    const pause = this.workload.answered({ ...turn, answerTokens: 0 });
    if (pause !== undefined) this.time.after(pause, () => this.arrive(turn.chat));
  }
}
