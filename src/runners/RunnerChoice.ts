/**
 * Chooses the runner of a request among the runners that accept new work.
 */
import type { CapacityView } from '../capacity/CapacityView.js';
import { UnknownCapacity } from '../capacity/CapacityView.js';
import type { RequestWork } from '../capacity/capacityTypes.js';
import { CompletionPlacement } from '../placement/CompletionPlacement.js';
import type { PlacementEstimate } from '../placement/placementTypes.js';
import { FixedHopCost } from '../placement/SpillCost.js';
import type { SpillCost } from '../placement/SpillCost.js';
import { prefixKeys, wholeKey } from '../prompts/prefixKeys.js';
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { Runner } from './Runner.js';
import type { AdmissionQuestion } from './RunnerAdmission.js';
import { RunnerAdmission } from './RunnerAdmission.js';
import type { RunnerTable } from './RunnerTable.js';
import type { WarmPlaces } from './WarmPlaces.js';

/** Why a runner was chosen. */
export type ChoiceReason = (typeof CHOICE_REASONS)[number];

const CHOICE_REASONS = [
  'warm',
  'first_place',
  'replicated',
  'spilled',
  'least_loaded',
  'last_resort',
] as const;

/**
 * @param text - a reason received from another daemon.
 * @returns Whether it is a known reason.
 */
export function isChoiceReason(text: string): text is ChoiceReason {
  return CHOICE_REASONS.some((reason) => reason === text);
}

/** The properties of a request that decide about its runner. */
export interface ChoiceQuestion extends AdmissionQuestion {
  readonly service: string;
  /** Ids of the parts of the prompt that other requests share, the outermost first. */
  readonly sharedParts: readonly string[];
  /** Data centre of the daemon that sends the request; that of this daemon if left out. */
  readonly dataCentre?: string;
  /** Tokens of its prompt and answer; missing if the caller does not state them. */
  readonly work?: RequestWork | undefined;
  /** 0 is the most urgent. */
  readonly urgency?: number;
  readonly clientAccount?: string | undefined;
  /** When its target latency ends, monotonic ms. */
  readonly targetAt?: number;
  /** When its caller stops waiting, monotonic ms. */
  readonly deadlineAt?: number;
  /** When it arrived, if it has waited for capacity since, monotonic ms. */
  readonly arrivedAt?: number;
  readonly bodyBytes?: number;
  /** Whether a runner has had the request; by default, whether there are tried ones. */
  readonly isRetry?: boolean;
}

/** The chosen runner and the reasons for it. */
export interface Choice {
  readonly runner: Runner;
  readonly reason: ChoiceReason;
  /** A runner that has cached more of the prompt than the chosen one, to copy the cache from. */
  readonly cacheSource?: Runner | undefined;
  /** Whether the runner is cold and the daemon that chose it has counted the request against its rate. */
  readonly isCold?: boolean;
  /** Known requests at the runner, and their mean over the candidates. */
  readonly load: number;
  readonly meanLoad: number;
  /** Prompt tokens that the runner has to read for the request; missing for a plain one, or if they are unknown. */
  readonly unreadTokens?: number | undefined;
  /** Expected time until the first event of the answer, in ms; missing if the runner's capacity is unknown. */
  readonly expectedMilliseconds?: number;
}

/** Options of a {@link RunnerChoice}. */
export interface RunnerChoiceOptions {
  runners: RunnerTable;
  /** Data centre of this daemon. */
  dataCentre: string;
  warmPlaces: WarmPlaces;
  /** Estimates the time that runners need; by default runners are chosen by counts. */
  capacity?: CapacityView;
  /** Cost of leaving the data centre, for services that are chosen by capacity. */
  spill?: SpillCost;
  /** Decides which runners may get a request. */
  admission?: RunnerAdmission;
  /** Requests that other daemons have at a runner, according to their load reports. */
  foreignLoad?: (life: string) => number;
  /**
   * Number of runners on which a prompt in regular use is cached, so that the loss of one of them does not lose the
   * cached prompt.
   */
  replicas?: number;
  /** Called with each new place of a cached prompt. */
  onWarmPlace?: (key: string, life: string) => void;
  /** Returns random numbers from 0 up to 1. */
  random?: () => number;
}

/** A runner is full for a request whose prompt it has cached above this multiple of the mean load. */
const FULL_LOAD_FACTOR = 1.8;

/**
 * Requests above the bound that never count: a daemon of a small site has about one request at a runner, and chance
 * alone gives two. With 1, 2 and 3, the shared prompts that were read again on a normal day were 460, 369 and 350
 * thousand tokens.
 */
const FULL_LOAD_SLACK_REQUESTS = 2.5;

/** Cost of a hop between data centres, as requests of load; one request more at the near runner outweighs it. */
const DATA_CENTRE_HOP_COST = 0.3;

/** Default of {@link RunnerChoiceOptions.replicas}. */
const REPLICAS = 1;

/** Largest random cost, as requests of load; it breaks ties so that daemons do not all choose the same runner. */
const MAXIMUM_TIE_BREAK_COST = 0.2;

/** Requests above the mean of the candidates up to which a runner is never full, however many runners are left out. */
const LEAST_SLACK_REQUESTS = 1;

/**
 * Chooses among runners that are all ejected. Where all of their hosts refuse connections, the one that refused longest
 * ago is the most likely to be up again; if others are unresponsive, the requests spread over all.
 *
 * @param ejected - the runners.
 * @returns Those that may get the request.
 */
function lastResortOf(ejected: readonly Runner[]): readonly Runner[] {
  const times = ejected.map(({ health }) => health.lastNotConnectedAt);
  if (times.includes(undefined)) return ejected;
  const first = Math.min(...times.map((time) => time ?? 0));
  return ejected.filter(({ health }) => health.lastNotConnectedAt === first);
}

/** The runners that a request may go to. */
interface CandidatePool {
  readonly candidates: readonly Runner[];
  readonly question: ChoiceQuestion;
  /** Load above which a runner is full for a request whose prompt it has cached. */
  readonly fullLoad: number;
  readonly meanLoad: number;
  /** Whether all of them are ejected. */
  readonly isLastResort: boolean;
}

type ChosenRunner = Pick<
  Choice,
  'runner' | 'reason' | 'cacheSource' | 'unreadTokens' | 'expectedMilliseconds'
>;

/** Chooses runners by the load of each runner and by the places where prompts are cached. */
export class RunnerChoice {
  private readonly options: Required<RunnerChoiceOptions>;

  private readonly placement: CompletionPlacement;

  /**
   * @param options - the runners, this daemon's data centre, and what is known of other daemons.
   */
  constructor(options: RunnerChoiceOptions) {
    this.options = {
      admission: new RunnerAdmission(),
      capacity: new UnknownCapacity(),
      spill: new FixedHopCost(options),
      foreignLoad: () => 0,
      onWarmPlace: () => undefined,
      replicas: REPLICAS,
      random: Math.random,
      ...options,
    };
    const { capacity, warmPlaces, spill, random } = this.options;
    this.placement = new CompletionPlacement({
      ...{ capacity, warmPlaces, spill, random },
      loadOf: (runner) => this.loadOf(runner),
      canCopy: (life, question) => this.canCopy(life, question),
    });
  }

  /**
   * Chooses a runner and counts the request against its rate if it is cold.
   *
   * @param question - the request.
   * @returns The chosen runner, or `undefined` if no runner may get the request.
   */
  choose(question: ChoiceQuestion): Choice | undefined {
    const { admission } = this.options;
    const pool = this.poolFor(question);
    if (!pool) return undefined;
    const { meanLoad, isLastResort } = pool;
    const chosen = this.chooseFrom(pool);
    const reason = isLastResort ? 'last_resort' : chosen.reason;
    const isCold = admission.isCold(chosen.runner, question.now);
    admission.countRequest(chosen.runner, question.now);
    return { ...chosen, reason, isCold, load: this.loadOf(chosen.runner), meanLoad };
  }

  /**
   * Estimates where a request would go now and how long it would take there, without counting it.
   *
   * @param question - the request.
   * @returns The estimate; `undefined` if no runner may get the request, or if its runner is not chosen by capacity.
   */
  preview(question: ChoiceQuestion): PlacementEstimate | undefined {
    const pool = this.poolFor(question);
    return pool && this.placeByCapacity(pool);
  }

  private poolFor(question: ChoiceQuestion): CandidatePool | undefined {
    const { runners, admission } = this.options;
    const admitted = admission.admitted(runners.readyOf(question.service), question);
    const usable = admitted.filter(({ health }) => health.isUsable(question.now));
    const isLastResort = usable.length === 0;
    const candidates = isLastResort ? lastResortOf(admitted) : usable;
    if (candidates.length === 0) return undefined;
    const meanLoad = this.totalLoadOf(candidates) / candidates.length;
    const fullLoad = this.fullLoad(candidates, meanLoad, question);
    return { candidates, question, fullLoad, meanLoad, isLastResort };
  }

  /**
   * Remembers a choice that another daemon has made for a request of this daemon.
   *
   * @param sharedParts - the shared parts of the prompt.
   * @param life - incarnation of the runner that the request goes to.
   */
  rememberChoice(sharedParts: readonly string[], life: string): void {
    for (const key of prefixKeys(sharedParts)) this.options.warmPlaces.remember(key, life);
  }

  private placeByCapacity({ question, ...pool }: CandidatePool): PlacementEstimate | undefined {
    const { work, service, now } = question;
    if (!this.options.capacity.applies(service, now)) return undefined;
    const { runners, warmPlaces } = this.options;
    for (const key of prefixKeys(question.sharedParts)) {
      warmPlaces.prune(key, (life) => runners.ofLife(life) !== undefined);
    }
    return this.placement.place({ ...pool, question, work });
  }

  private chooseFrom(pool: CandidatePool): ChosenRunner {
    const { sharedParts } = pool.question;
    const placed = this.placeByCapacity(pool);
    if (placed) return this.recordPlaced(pool, placed);
    if (sharedParts.length === 0) {
      return { runner: this.leastLoaded(pool), reason: 'least_loaded' };
    }
    const key = wholeKey(sharedParts);
    const chosen = this.warmOrHashed(pool, key);
    const cacheSource = this.cacheSourceFor(pool, chosen.runner);
    this.rememberAll(sharedParts, chosen.runner.entry.life);
    this.options.warmPlaces.countUse(key);
    return { ...chosen, cacheSource };
  }

  private recordPlaced(pool: CandidatePool, placed: PlacementEstimate): ChosenRunner {
    const { sharedParts } = pool.question;
    const { runner, unreadTokens, expectedMilliseconds, alternatives } = placed;
    this.options.spill.recordChosen(runner, pool.question, alternatives);
    const estimate = { runner, unreadTokens, expectedMilliseconds };
    if (sharedParts.length === 0) return { ...estimate, reason: 'least_loaded' };
    const { warmPlaces } = this.options;
    const key = wholeKey(sharedParts);
    const places = warmPlaces.livesOf(key);
    const cacheSource = this.cacheSourceFor(pool, runner);
    this.rememberAll(sharedParts, runner.entry.life);
    warmPlaces.countUse(key);
    if (places.includes(runner.entry.life)) return { ...estimate, reason: 'warm' };
    return { ...estimate, cacheSource, reason: places.length > 0 ? 'spilled' : 'first_place' };
  }

  private warmOrHashed(pool: CandidatePool, key: string): Pick<Choice, 'runner' | 'reason'> {
    const { candidates, fullLoad } = pool;
    const hasRoom = (runner: Runner) => this.loadOf(runner) <= fullLoad;
    const { warmPlaces, runners } = this.options;
    warmPlaces.prune(key, (life) => runners.ofLife(life) !== undefined);
    const warm = warmPlaces
      .livesOf(key)
      .map((life) => candidates.find(({ entry }) => entry.life === life))
      .filter((runner) => runner !== undefined);
    const leastLoadedWarm = this.leastLoadedOf(warm.filter(hasRoom));
    const needsReplica = warm.length < this.options.replicas && warmPlaces.usesOf(key) > 0;
    if (leastLoadedWarm && !needsReplica) return { runner: leastLoadedWarm, reason: 'warm' };
    const named = candidates.map((runner) => ({ id: runner.entry.id, runner }));
    const order = rendezvousOrder(key, named).map(({ runner }) => runner);
    const first = order.find((runner) => !warm.includes(runner) && hasRoom(runner));
    if (first && leastLoadedWarm) return { runner: first, reason: 'replicated' };
    if (first) return { runner: first, reason: warm.length > 0 ? 'spilled' : 'first_place' };
    if (leastLoadedWarm) return { runner: leastLoadedWarm, reason: 'warm' };
    return { runner: this.leastLoaded(pool), reason: 'spilled' };
  }

  /**
   * Finds a runner to copy the cached prompt from. Copying takes a tenth of the time of reading the prompt again and
   * does not hold up the runner's batch. A draining runner still serves copies.
   */
  private cacheSourceFor({ question }: CandidatePool, chosen: Runner): Runner | undefined {
    const { warmPlaces, runners } = this.options;
    for (const key of [...prefixKeys(question.sharedParts)].reverse()) {
      const places = warmPlaces.livesOf(key);
      if (places.includes(chosen.entry.life)) return undefined;
      const source = places.find((life) => this.canCopy(life, question));
      if (source !== undefined) return runners.ofLife(source);
    }
    return undefined;
  }

  private canCopy(life: string, { homeRegions, now }: ChoiceQuestion): boolean {
    const { runners, admission } = this.options;
    const runner = runners.ofLife(life);
    if (!runner || !admission.isInHomeRegion(runner, homeRegions)) return false;
    return runner.health.isReachable(now);
  }

  private rememberAll(sharedParts: readonly string[], life: string): void {
    const { warmPlaces, onWarmPlace } = this.options;
    for (const key of prefixKeys(sharedParts)) {
      if (warmPlaces.remember(key, life)) onWarmPlace(key, life);
    }
  }

  private leastLoadedOf(runners: readonly Runner[]): Runner | undefined {
    const [first, ...others] = runners;
    if (!first) return undefined;
    return others.reduce((best, one) => (this.loadOf(one) < this.loadOf(best) ? one : best), first);
  }

  private leastLoaded({ candidates, question }: CandidatePool): Runner {
    const dataCentre = question.dataCentre ?? this.options.dataCentre;
    const costOf = (runner: Runner) =>
      this.loadOf(runner) +
      (runner.entry.dataCentre === dataCentre ? 0 : DATA_CENTRE_HOP_COST) +
      this.options.random() * MAXIMUM_TIE_BREAK_COST;
    const scored = candidates.map((runner) => ({ runner, cost: costOf(runner) }));
    return scored.reduce((best, one) => (one.cost < best.cost ? one : best)).runner;
  }

  /**
   * Computes the load above which a runner is full. The operators' limit refers to the mean over all runners,
   * including evacuated and cold ones, which have few requests or none.
   */
  private fullLoad(
    candidates: readonly Runner[],
    meanLoad: number,
    { service, now }: ChoiceQuestion,
  ): number {
    const { runners, admission } = this.options;
    const cold = runners.readyOf(service).filter((runner) => admission.isCold(runner, now));
    const idle = cold.filter((runner) => !candidates.includes(runner));
    const leftOut = [...runners.evacuatedOf(service), ...idle];
    if (leftOut.length === 0) return meanLoad * FULL_LOAD_FACTOR + FULL_LOAD_SLACK_REQUESTS;
    const total = this.totalLoadOf(candidates) + this.totalLoadOf(leftOut);
    const meanOfAll = total / (candidates.length + leftOut.length);
    return Math.max(
      meanOfAll * FULL_LOAD_FACTOR + FULL_LOAD_SLACK_REQUESTS,
      meanLoad + LEAST_SLACK_REQUESTS,
    );
  }

  private totalLoadOf(runners: readonly Runner[]): number {
    return runners.reduce((sum, runner) => sum + this.loadOf(runner), 0);
  }

  private loadOf({ entry, inFlight }: Runner): number {
    return inFlight + this.options.foreignLoad(entry.life);
  }
}
