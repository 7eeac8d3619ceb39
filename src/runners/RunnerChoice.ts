/**
 * Chooses the runner of a request among those that take new work.
 */
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
 * @param text - that another daemon has sent.
 * @returns Whether it is a reason.
 */
export function isChoiceReason(text: string): text is ChoiceReason {
  return CHOICE_REASONS.some((reason) => reason === text);
}

/** What has to be known of a request. */
export interface ChoiceQuestion extends AdmissionQuestion {
  readonly service: string;
  /** Ids of the parts of its prompt that other requests share, the outermost first. */
  readonly sharedParts: readonly string[];
  /** Where the daemon is that sends the request; this daemon's place where it is left out. */
  readonly dataCentre?: string;
}

/** The choice with what decided it. */
export interface Choice {
  readonly runner: Runner;
  readonly reason: ChoiceReason;
  /** A runner that has cached more of the prompt than the chosen one, to copy from. */
  readonly cacheSource?: Runner | undefined;
  /** Whether the runner is cold, and whoever chose has counted this request against what it bears. */
  readonly isCold?: boolean;
  /** This daemon's requests at the runner, and their mean over the candidates. */
  readonly load: number;
  readonly meanLoad: number;
}

/** Options of a {@link RunnerChoice}. */
export interface RunnerChoiceOptions {
  runners: RunnerTable;
  /** Where this daemon is. */
  dataCentre: string;
  warmPlaces: WarmPlaces;
  /** Which runners may get a request. */
  admission?: RunnerAdmission;
  /** Requests that other daemons have at a runner, as far as they have told. */
  foreignLoad?: (life: string) => number;
  /** Runners on which a prompt in regular use is kept, so that it is not lost with one of them. */
  replicas?: number;
  /** Hears of each new warm place. */
  onWarmPlace?: (key: string, life: string) => void;
  /** Gives numbers from 0 up to 1. */
  random?: () => number;
}

/** A runner is full for a warm request above this multiple of the mean of this daemon's requests. */
const BOUND = 1.8;

/**
 * Requests above the bound that never count: a daemon of a small site has about one request at a runner, and
 * chance alone gives two. Shared prompts read again on a calm day with 1, 2, 3: 460, 369, 350 k tokens.
 */
const SLACK_REQUESTS = 2.5;

/** What a hop between data centres counts, in requests of load: it is broken off by one request more. */
const FOREIGN_PENALTY = 0.3;

/** See {@link RunnerChoiceOptions.replicas}. */
const REPLICAS = 1;

/** Breaks ties at random, so that daemons do not all choose the same runner. */
const TIE_BREAK = 0.2;

/** A part is cached only together with all parts before it. */
function prefixKeys(sharedParts: readonly string[]): string[] {
  return sharedParts.map((_, index) => sharedParts.slice(0, index + 1).join());
}

/** However many runners are left out, one that has a request more than the mean of those that are left is not full. */
const LEAST_SLACK_REQUESTS = 1;

interface Pool {
  readonly candidates: readonly Runner[];
  readonly question: ChoiceQuestion;
  /** Requests above which a runner is full for a warm request. */
  readonly fullLoad: number;
}

/** Holds the warm places that this daemon knows. */
export class RunnerChoice {
  private readonly options: Required<RunnerChoiceOptions>;

  /**
   * @param options - the runners, where this daemon is, and what it knows of other daemons.
   */
  constructor(options: RunnerChoiceOptions) {
    this.options = {
      admission: new RunnerAdmission(),
      foreignLoad: () => 0,
      onWarmPlace: () => undefined,
      replicas: REPLICAS,
      random: Math.random,
      ...options,
    };
  }

  /**
   * @param question - the request.
   * @returns The runner to send it to, or `undefined` when no runner may get it.
   */
  choose(question: ChoiceQuestion): Choice | undefined {
    const { runners, admission } = this.options;
    const admitted = admission.admitted(runners.readyOf(question.service), question);
    const usable = admitted.filter(({ health }) => health.isUsable(question.now));
    const candidates = usable.length > 0 ? usable : admitted;
    if (candidates.length === 0) return undefined;
    const meanLoad = this.totalOf(candidates) / candidates.length;
    const fullLoad = this.fullLoad(candidates, meanLoad, question);
    const pool: Pool = { candidates, question, fullLoad };
    const chosen = this.chooseFrom(pool);
    const reason = usable.length > 0 ? chosen.reason : 'last_resort';
    const isCold = admission.isCold(chosen.runner, question.now);
    admission.sent(chosen.runner, question.now);
    return { ...chosen, reason, isCold, load: this.loadOf(chosen.runner), meanLoad };
  }

  /**
   * Remembers a choice that another daemon has made.
   *
   * @param sharedParts - of the prompt.
   * @param life - of the runner that the request goes to.
   */
  adopt(sharedParts: readonly string[], life: string): void {
    for (const key of prefixKeys(sharedParts)) this.options.warmPlaces.remember(key, life);
  }

  private chooseFrom(pool: Pool): Pick<Choice, 'runner' | 'reason' | 'cacheSource'> {
    const { sharedParts } = pool.question;
    if (sharedParts.length === 0) {
      return { runner: this.leastLoaded(pool), reason: 'least_loaded' };
    }
    const key = sharedParts.join();
    const chosen = this.warmOrHashed(pool, key);
    const cacheSource = this.cacheSourceFor(pool, chosen.runner);
    this.rememberAll(sharedParts, chosen.runner.entry.life);
    this.options.warmPlaces.countUse(key);
    return { ...chosen, cacheSource };
  }

  private warmOrHashed(pool: Pool, key: string): Pick<Choice, 'runner' | 'reason'> {
    const { candidates, fullLoad } = pool;
    const hasRoom = (runner: Runner) => this.loadOf(runner) <= fullLoad;
    const { warmPlaces, runners } = this.options;
    warmPlaces.prune(key, (life) => runners.ofLife(life) !== undefined);
    const warm = warmPlaces
      .of(key)
      .map((life) => candidates.find(({ entry }) => entry.life === life))
      .filter((runner) => runner !== undefined);
    const roomy = this.leastLoadedOf(warm.filter(hasRoom));
    const isShort = warm.length < this.options.replicas && warmPlaces.usesOf(key) > 0;
    if (roomy && !isShort) return { runner: roomy, reason: 'warm' };
    const named = candidates.map((runner) => ({ id: runner.entry.id, runner }));
    const order = rendezvousOrder(key, named).map(({ runner }) => runner);
    const first = order.find((runner) => !warm.includes(runner) && hasRoom(runner));
    if (first && roomy) return { runner: first, reason: 'replicated' };
    if (first) return { runner: first, reason: warm.length > 0 ? 'spilled' : 'first_place' };
    if (roomy) return { runner: roomy, reason: 'warm' };
    return { runner: this.leastLoaded(pool), reason: 'spilled' };
  }

  /**
   * A prompt that goes to a new place need not be read there: copying it from a runner that has it takes a
   * tenth of the time, and the runner's batch is not held up. A draining runner still gives what it has.
   */
  private cacheSourceFor({ question }: Pool, chosen: Runner): Runner | undefined {
    const { warmPlaces, runners, admission } = this.options;
    for (const key of prefixKeys(question.sharedParts).reverse()) {
      const places = warmPlaces.of(key);
      if (places.includes(chosen.entry.life)) return undefined;
      const source = places
        .map((life) => runners.ofLife(life))
        .filter((runner) => runner !== undefined)
        .filter((runner) => admission.isAtHome(runner, question.homeRegions))
        .find(({ health }) => health.isReachable(question.now));
      if (source) return source;
    }
    return undefined;
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

  private leastLoaded({ candidates, question }: Pool): Runner {
    const dataCentre = question.dataCentre ?? this.options.dataCentre;
    const costOf = (runner: Runner) =>
      this.loadOf(runner) +
      (runner.entry.dataCentre === dataCentre ? 0 : FOREIGN_PENALTY) +
      this.options.random() * TIE_BREAK;
    const scored = candidates.map((runner) => ({ runner, cost: costOf(runner) }));
    return scored.reduce((best, one) => (one.cost < best.cost ? one : best)).runner;
  }

  /** The operators' limit counts evacuated and cold runners too, which have little or nothing. */
  private fullLoad(
    candidates: readonly Runner[],
    meanLoad: number,
    { service, now }: ChoiceQuestion,
  ): number {
    const { runners, admission } = this.options;
    const cold = runners.readyOf(service).filter((runner) => admission.isCold(runner, now));
    const idle = cold.filter((runner) => !candidates.includes(runner));
    const leftOut = [...runners.evacuatedOf(service), ...idle];
    if (leftOut.length === 0) return meanLoad * BOUND + SLACK_REQUESTS;
    const total = this.totalOf(candidates) + this.totalOf(leftOut);
    const meanOfAll = total / (candidates.length + leftOut.length);
    return Math.max(meanOfAll * BOUND + SLACK_REQUESTS, meanLoad + LEAST_SLACK_REQUESTS);
  }

  private totalOf(runners: readonly Runner[]): number {
    return runners.reduce((sum, runner) => sum + this.loadOf(runner), 0);
  }

  private loadOf({ entry, inFlight }: Runner): number {
    return inFlight + this.options.foreignLoad(entry.life);
  }
}
