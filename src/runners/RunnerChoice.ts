/**
 * Chooses the runner of a request among those that take new work.
 */
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { Runner } from './Runner.js';
import type { RunnerTable } from './RunnerTable.js';
import { WarmPlaces } from './WarmPlaces.js';

/** Why a runner was chosen. */
export type ChoiceReason = 'warm' | 'first_place' | 'spilled' | 'least_loaded' | 'last_resort';

/** What has to be known of a request. */
export interface ChoiceQuestion {
  readonly service: string;
  /** Ids of the parts of its prompt that other requests share, the outermost first. */
  readonly sharedParts: readonly string[];
  /** Runners that had this request already. */
  readonly tried: ReadonlySet<string>;
  /** Requests that this daemon may have at one runner. */
  readonly connectionLimit: number;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/** The choice with what decided it. */
export interface Choice {
  readonly runner: Runner;
  readonly reason: ChoiceReason;
  /** The runner's load, and the mean of the candidates, in requests. */
  readonly load: number;
  readonly meanLoad: number;
}

/** Options of a {@link RunnerChoice}. */
export interface RunnerChoiceOptions {
  runners: RunnerTable;
  /** Where this daemon is. */
  dataCentre: string;
  /** Gives numbers from 0 up to 1. */
  random?: () => number;
}

/** A runner is full for a warm request above this multiple of the mean load. */
const BOUND = 1.5;

/** Requests above the bound that never count: with few requests in flight, chance alone gives two. */
const SLACK_REQUESTS = 2;

/**
 * Runners that share the prompts below one outermost part, as a share of the pool. Each of them reads the
 * outermost part once; a quarter keeps a pool of a dozen runners balanced.
 */
const GROUP_SHARE = 0.34;

/** A smaller group would send all of a hot part to one or two runners. */
const MINIMUM_GROUP = 4;

/** What a hop between data centres counts, in requests of load: it is broken off by one request more. */
const FOREIGN_PENALTY = 0.3;

/** Breaks ties at random, so that daemons do not all choose the same runner. */
const TIE_BREAK = 0.2;

interface Pool {
  readonly candidates: readonly Runner[];
  readonly question: ChoiceQuestion;
  readonly meanLoad: number;
}

/** Holds the warm places that this daemon knows. */
export class RunnerChoice {
  private readonly runners: RunnerTable;

  private readonly dataCentre: string;

  private readonly random: () => number;

  private readonly warmPlaces = new WarmPlaces();

  /**
   * @param options - the runners, and where this daemon is.
   */
  constructor({ runners, dataCentre, random = Math.random }: RunnerChoiceOptions) {
    this.runners = runners;
    this.dataCentre = dataCentre;
    this.random = random;
  }

  /**
   * @param question - the request.
   * @returns The runner to send it to, or `undefined` when no runner may get it.
   */
  choose(question: ChoiceQuestion): Choice | undefined {
    const untried = this.runners
      .readyOf(question.service)
      .filter(({ entry }) => !question.tried.has(entry.id));
    const free = untried.filter(({ inFlight }) => inFlight < question.connectionLimit);
    const usable = free.filter(({ health }) => health.isUsable(question.now));
    const candidates = usable.length > 0 ? usable : free;
    if (candidates.length === 0) return undefined;
    const loads = candidates.map((runner) => runner.load(question.now));
    const meanLoad = loads.reduce((sum, load) => sum + load, 0) / candidates.length;
    const pool: Pool = { candidates, question, meanLoad };
    const chosen = this.chooseFrom(pool);
    const reason = usable.length > 0 ? chosen.reason : 'last_resort';
    return { ...chosen, reason, load: chosen.runner.load(question.now), meanLoad };
  }

  private chooseFrom(pool: Pool): Pick<Choice, 'runner' | 'reason'> {
    const { sharedParts } = pool.question;
    if (sharedParts.length === 0) {
      return { runner: this.leastLoaded(pool), reason: 'least_loaded' };
    }
    const key = sharedParts.join();
    const chosen = this.warmOrHashed(pool, key);
    this.warmPlaces.remember(key, chosen.runner.entry.id);
    return chosen;
  }

  private warmOrHashed(pool: Pool, key: string): Pick<Choice, 'runner' | 'reason'> {
    const { candidates, question, meanLoad } = pool;
    const hasRoom = (runner: Runner) =>
      runner.load(question.now) <= meanLoad * BOUND + SLACK_REQUESTS;
    this.warmPlaces.prune(key, (id) => this.runners.get(id)?.entry.state === 'ready');
    const warm = this.warmPlaces
      .of(key)
      .map((id) => candidates.find(({ entry }) => entry.id === id))
      .filter((runner) => runner !== undefined);
    const roomy = warm.find(hasRoom);
    if (roomy) return { runner: roomy, reason: 'warm' };
    const order = RunnerChoice.hashOrder(pool, key).filter((runner) => !warm.includes(runner));
    const first = order.find(hasRoom);
    if (first) return { runner: first, reason: warm.length > 0 ? 'spilled' : 'first_place' };
    return { runner: this.leastLoaded(pool), reason: 'spilled' };
  }

  /** The group of the outermost part first, in the order of the whole key, then everybody else. */
  private static hashOrder({ candidates, question }: Pool, key: string): Runner[] {
    const [outermost] = question.sharedParts;
    const named = candidates.map((runner) => ({ id: runner.entry.id, runner }));
    const byKey = rendezvousOrder(key, named);
    if (question.sharedParts.length === 1 || outermost === undefined) {
      return byKey.map(({ runner }) => runner);
    }
    const size = Math.max(MINIMUM_GROUP, Math.ceil(candidates.length * GROUP_SHARE));
    const group = new Set(
      rendezvousOrder(outermost, named)
        .slice(0, size)
        .map(({ id }) => id),
    );
    const inside = byKey.filter(({ id }) => group.has(id));
    const outside = byKey.filter(({ id }) => !group.has(id));
    return [...inside, ...outside].map(({ runner }) => runner);
  }

  private leastLoaded({ candidates, question }: Pool): Runner {
    const costOf = (runner: Runner) =>
      runner.load(question.now) +
      (runner.entry.dataCentre === this.dataCentre ? 0 : FOREIGN_PENALTY) +
      this.random() * TIE_BREAK;
    const scored = candidates.map((runner) => ({ runner, cost: costOf(runner) }));
    return scored.reduce((best, one) => (one.cost < best.cost ? one : best)).runner;
  }
}
