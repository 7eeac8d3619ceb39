/**
 * Estimates the capacity of runners from what they state, from the requests of this daemon, and from what other daemons
 * report.
 */
import type { Runner } from '../runners/Runner.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import { CapacityView } from './CapacityView.js';
import type { RoomQuestion } from './CapacityView.js';
import type { StatedLoad } from './capacityTypes.js';
import { ReadingRate } from './ReadingRate.js';
import { ServiceTime } from './ServiceTime.js';

/** What the other daemons have at a runner. */
export interface ForeignWork {
  /** Prompt tokens that the runner still has to read for their requests. */
  readonly promptTokens: number;
  /** Tokens of memory that their requests use. */
  readonly memoryTokens: number;
  /** Number of their requests. */
  readonly requests: number;
}

/**
 * @param one - work at a runner.
 * @param other - more work there.
 * @returns Both together.
 */
export function addWork(one: ForeignWork, other: ForeignWork): ForeignWork {
  return {
    promptTokens: one.promptTokens + other.promptTokens,
    memoryTokens: one.memoryTokens + other.memoryTokens,
    requests: one.requests + other.requests,
  };
}

/** Options of an {@link ObservedCapacity}. */
export interface ObservedCapacityOptions {
  runners: RunnerTable;
  /** What other daemons have at a runner, by its incarnation, including grants that they have not reported yet. */
  foreignWork: (life: string) => ForeignWork;
  /** Tokens of memory of each runner of a service; `undefined` if the configuration does not state it. */
  memoryTokensOf?: (service: string) => number | undefined;
  /** Whether coordinators choose the runners, so that this daemon knows of all requests when it chooses one. */
  hasCoordinators?: () => boolean;
  /** Whether placement and admission by capacity are enabled. */
  isEnabled?: boolean;
  /** Called when runners of a service begin to state their speed. */
  onStated?: (service: string) => void;
}

/** How long a service counts as stating the speed of its runners after the last statement, in ms; longer than an outage. */
const STATED_MILLISECONDS = 60_000;

/** How long the median over a service's runners is kept, in ms. */
const MEDIAN_MILLISECONDS = 500;

/** How long the sum over all runners of a service is kept, in ms. */
const TOTAL_MILLISECONDS = 200;

/** Time of one step of a batch, in which the first event of a prompt that is wholly cached is made; in ms. */
const STEP_MILLISECONDS = 8;

/** Fewest runners with enough streams for a median. */
const LEAST_RUNNERS = 3;

interface ServiceState {
  readonly rate: ReadingRate;
  readonly serviceTime: ServiceTime;
  statedAt: number;
  median: number | undefined;
  medianAt: number;
  /** Runners of usual speed that would do as much, and when they were added up. */
  total: number;
  totalAt: number;
}

function medianOf(values: readonly number[]): number | undefined {
  if (values.length < LEAST_RUNNERS) return undefined;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

/** Keeps the speeds and reading rates of all services. */
export class ObservedCapacity extends CapacityView {
  private readonly options: Required<ObservedCapacityOptions>;

  private readonly services = new Map<string, ServiceState>();

  /**
   * @param options - the runners, and what is known of other daemons.
   */
  constructor(options: ObservedCapacityOptions) {
    super();
    this.options = {
      memoryTokensOf: () => undefined,
      hasCoordinators: () => false,
      isEnabled: true,
      onStated: () => undefined,
      ...options,
    };
  }

  override applies(service: string, now: number): boolean {
    const statedAt = this.services.get(service)?.statedAt ?? Number.NEGATIVE_INFINITY;
    return this.options.isEnabled && now - statedAt < STATED_MILLISECONDS;
  }

  override backlogMilliseconds(runner: Runner, now: number): number {
    const reading = this.readingMilliseconds(runner, this.pendingTokensOf(runner), now);
    return Math.max(reading, this.slotMilliseconds(runner, this.requestsAt(runner), now));
  }

  override ownMilliseconds(runner: Runner, unreadTokens: number | undefined, now: number): number {
    const { service } = runner.entry;
    if (unreadTokens !== undefined) {
      return this.readingMilliseconds(runner, unreadTokens, now) + STEP_MILLISECONDS;
    }
    return this.stateOf(service).serviceTime.milliseconds * this.slowdownOf(runner, now);
  }

  override workMilliseconds(service: string, unreadTokens: number | undefined): number {
    const { rate, serviceTime } = this.stateOf(service);
    if (unreadTokens !== undefined) return unreadTokens / rate.tokensPerMillisecond;
    const [runner] = this.options.runners.readyOf(service);
    return serviceTime.milliseconds / (runner?.slots ?? 1);
  }

  override roomFor(
    { service, work, now }: RoomQuestion,
    backlogMilliseconds: number,
    deciders: number,
  ): number {
    if (work) return Number.POSITIVE_INFINITY;
    const { milliseconds } = this.stateOf(service).serviceTime;
    const { own, foreign } = this.requestsOf(service);
    let places = 0;
    for (const runner of this.options.runners.readyOf(service)) {
      const { slots = Number.POSITIVE_INFINITY } = runner;
      // Slow runners get a queue only once requests would be answered no earlier elsewhere.
      const rounds = (milliseconds + backlogMilliseconds) / milliseconds;
      places += slots * Math.max(1, rounds / this.slowdownOf(runner, now));
    }
    if (deciders === 1) return places - own - foreign;
    const share = places / deciders;
    const unused = Math.max(0, places - share - foreign);
    return share + unused / deciders - own;
  }

  /**
   * @param runner - a runner that has just got a plain request, which is counted.
   * @returns Number of requests that it works off one after the other in each slot, this one included.
   */
  roundsUntilAnswered({ slots, inFlight, entry }: Runner): number {
    const requests = inFlight + this.options.foreignWork(entry.life).requests;
    return slots === undefined ? 1 : Math.max(1, requests / slots);
  }

  override fits(runner: Runner, tokens: number): boolean {
    const { service, life } = runner.entry;
    const memory = this.options.memoryTokensOf(service);
    if (memory === undefined) return true;
    const { memoryTokens } = this.options.foreignWork(life);
    return runner.memoryTokens + memoryTokens + tokens <= memory;
  }

  /**
   * Records the load that a runner has stated.
   *
   * @param runner - the runner.
   * @param load - its statement.
   * @param now - monotonic ms.
   */
  recordStated(runner: Runner, { slowdown, slots }: StatedLoad, now: number): void {
    runner.recordSlots(slots);
    if (slowdown !== undefined) this.recordSlowdown(runner, slowdown, now, now);
  }

  /**
   * Records the slowdown that a runner has stated to this daemon or another one.
   *
   * @param runner - the runner.
   * @param slowdown - how long work takes on its instance, relative to the usual time.
   * @param at - when it was stated, monotonic ms.
   * @param now - monotonic ms.
   */
  recordSlowdown(runner: Runner, slowdown: number, at: number, now: number): void {
    const { service } = runner.entry;
    if (!this.applies(service, now)) this.options.onStated(service);
    runner.speed.recordStated(slowdown, at);
    this.stateOf(service).statedAt = now;
  }

  /**
   * @param runner - a runner.
   * @returns Prompt tokens that it still has to read for the requests of all daemons, as far as they are known.
   */
  pendingTokensOf(runner: Runner): number {
    return runner.pendingTokens + this.options.foreignWork(runner.entry.life).promptTokens;
  }

  /**
   * Records the first event of an answer.
   *
   * @param runner - the runner.
   * @param unreadTokens - prompt tokens that it had to read since the request was sent, for it and those before it.
   * @param milliseconds - time since the request was sent.
   * @param now - monotonic ms.
   */
  recordFirstEvent(runner: Runner, unreadTokens: number, milliseconds: number, now: number): void {
    const { rate } = this.stateOf(runner.entry.service);
    rate.record(unreadTokens, milliseconds, this.slowdownOf(runner, now));
  }

  /**
   * @param runner - a runner.
   * @param now - monotonic ms.
   * @returns Factor by which work takes longer there than at the usual runner of its service.
   */
  slowdownOf(runner: Runner, now: number): number {
    return runner.speed.slowdownAt(this.medianOf(runner.entry.service, now), now);
  }

  /**
   * @param service - name of the service.
   * @returns Prompt tokens that its usual runner reads in a ms.
   */
  runnerRate(service: string): number {
    return this.stateOf(service).rate.tokensPerMillisecond;
  }

  override usualRunners(service: string, now: number): number {
    const state = this.stateOf(service);
    if (now - state.totalAt < TOTAL_MILLISECONDS) return state.total;
    const runners = this.options.runners.readyOf(service);
    state.total = runners.reduce((sum, runner) => sum + 1 / this.slowdownOf(runner, now), 0);
    state.totalAt = now;
    return state.total;
  }

  /**
   * Records the answer to a plain request.
   *
   * @param runner - the runner.
   * @param milliseconds - time since the request was sent.
   * @param now - monotonic ms.
   */
  recordAnswer(runner: Runner, milliseconds: number, now: number): void {
    const { serviceTime } = this.stateOf(runner.entry.service);
    serviceTime.record(milliseconds, this.slowdownOf(runner, now));
  }

  /**
   * Estimates the requests at a runner. Daemons that hear of each other's requests with a delay would all choose the
   * runner that had the fewest; half of the estimate therefore assumes that the others spread theirs as this one does.
   */
  private requestsAt({ inFlight, entry }: Runner): number {
    const known = inFlight + this.options.foreignWork(entry.life).requests;
    if (this.options.hasCoordinators()) return known;
    const { own, foreign } = this.requestsOf(entry.service);
    return own === 0 ? known : (known + (inFlight * (own + foreign)) / own) / 2;
  }

  private requestsOf(service: string): { own: number; foreign: number } {
    let [own, foreign] = [0, 0];
    for (const { inFlight, entry } of this.options.runners.readyOf(service)) {
      own += inFlight;
      foreign += this.options.foreignWork(entry.life).requests;
    }
    return { own, foreign };
  }

  /** Time until a slot is free at a runner that works on plain requests; those of models share their batch. */
  private slotMilliseconds(runner: Runner, requests: number, now: number): number {
    const { slots } = runner;
    if (slots === undefined || requests < slots) return 0;
    const { serviceTime } = this.stateOf(runner.entry.service);
    const rounds = (requests - slots + 1) / slots;
    return rounds * serviceTime.milliseconds * this.slowdownOf(runner, now);
  }

  private readingMilliseconds(runner: Runner, tokens: number, now: number): number {
    if (tokens <= 0) return 0;
    const rate = this.runnerRate(runner.entry.service);
    return (tokens / rate) * this.slowdownOf(runner, now);
  }

  private medianOf(service: string, now: number): number | undefined {
    const state = this.stateOf(service);
    if (now - state.medianAt < MEDIAN_MILLISECONDS) return state.median;
    const times = this.options.runners
      .readyOf(service)
      .map(({ speed }) => speed.confidentEventMilliseconds)
      .filter((time) => time !== undefined);
    state.median = medianOf(times);
    state.medianAt = now;
    return state.median;
  }

  private stateOf(service: string): ServiceState {
    const known = this.services.get(service);
    if (known) return known;
    const made: ServiceState = {
      rate: new ReadingRate(),
      serviceTime: new ServiceTime(),
      statedAt: Number.NEGATIVE_INFINITY,
      median: undefined,
      medianAt: Number.NEGATIVE_INFINITY,
      total: 0,
      totalAt: Number.NEGATIVE_INFINITY,
    };
    this.services.set(service, made);
    return made;
  }
}
