/**
 * Places a request at the runner that is expected to begin its answer first.
 *
 * It answers loads in which requests differ by much more than runners do: with prompts of 600 to 18,000 tokens, a runner
 * with few requests may be busy for longer than one with many, and a runner on a busy instance takes several times as long.
 */
import type { CapacityView } from '../capacity/CapacityView.js';
import type { RequestWork } from '../capacity/capacityTypes.js';
import { wholeKey } from '../prompts/prefixKeys.js';
import { rendezvousOrder } from '../routing/rendezvous.js';
import type { Runner } from '../runners/Runner.js';
import type { ChoiceQuestion } from '../runners/RunnerChoice.js';
import type { WarmPlaces } from '../runners/WarmPlaces.js';
import { CachedPrompt } from './CachedPrompt.js';
import type { PlacementEstimate } from './placementTypes.js';
import type { SpillAlternatives, SpillCost } from './SpillCost.js';

/** Options of a {@link CompletionPlacement}. */
export interface CompletionPlacementOptions {
  capacity: CapacityView;
  warmPlaces: WarmPlaces;
  spill: SpillCost;
  /** Requests at a runner, as far as they are known. */
  loadOf: (runner: Runner) => number;
  /** Whether a runner can copy its cache for the request, by its incarnation. */
  canCopy: (life: string, question: ChoiceQuestion) => boolean;
  /** Returns random numbers from 0 up to 1. */
  random: () => number;
}

/** The runners that a request may go to. */
export interface PlacementCandidates {
  readonly candidates: readonly Runner[];
  readonly question: ChoiceQuestion;
  readonly work: RequestWork | undefined;
  /** Load above which a runner gets no further request while others are below it. */
  readonly fullLoad: number;
}

/**
 * Time that each request at a runner adds to the first event of another one, in ms: every request in the batch makes each
 * of its steps a little longer.
 */
const BATCH_MILLISECONDS = 0.5;

/**
 * Factor by which prompts count that another runner has cached: reading them again also delays the requests behind them.
 */
const REPEATED_READING_FACTOR = 2;

/** Estimates closer than this count as equal, in ms and as a share; loads are known with a delay of this order. */
const EQUAL_MILLISECONDS = 10;
const EQUAL_SHARE = 0.05;

/**
 * Share of the work of a plain request that counts when runners are compared. With all of it, slow runners idle until
 * requests wait longer at the fast ones than the slow ones need, and the service has less than its capacity.
 */
const SLOT_WORK_SHARE = 0.25;

/** Time that is added for a runner whose memory would overflow, which makes it preempt a running request; in ms. */
const OVERFLOW_MILLISECONDS = 500;

/**
 * Number of runners that are compared in a large service, besides those that have cached the prompt, so that a choice
 * costs the same at any size. The best of this many is rarely worse than the best of all. Half as many of other data
 * centres are compared with those of the request's own one.
 */
const COMPARED_RUNNERS = 48;
const COMPARED_FAR_RUNNERS = COMPARED_RUNNERS / 2;

/**
 * Share of the time until its target that a request may wait where its prompt is cached. The rest covers the error of the
 * estimate.
 */
const STAYING_SHARE = 0.4;

interface ScoredEstimate extends PlacementEstimate {
  readonly cost: number;
  /** Part of it that is the network distance, in ms. */
  readonly way: number;
}

/** Chooses by estimates of the time until the first event. */
export class CompletionPlacement {
  private readonly options: CompletionPlacementOptions;

  /**
   * @param options - the capacity of runners, the places of cached prompts, and the cost of leaving the data centre.
   */
  constructor(options: CompletionPlacementOptions) {
    this.options = options;
  }

  /**
   * @param pool - the request and the runners that it may go to, at least one.
   * @returns The runner with the least expected time, and whether it and others have cached the prompt.
   */
  place(pool: PlacementCandidates): PlacementEstimate {
    const { question, work } = pool;
    const { sharedParts } = question;
    const { warmPlaces, canCopy } = this.options;
    const canCopyHere = (life: string) => canCopy(life, question);
    const prompt =
      work && new CachedPrompt({ work, sharedParts, warmPlaces, canCopy: canCopyHere });
    const compared = this.comparedRunners(pool, prompt);
    const open = compared.filter((runner) => this.options.loadOf(runner) <= pool.fullLoad);
    const usable = open.length > 0 ? open : compared;
    const near = this.nearAlternatives(usable, prompt, question);
    const scored = usable.map((runner) => this.score(runner, prompt, question, near));
    const staying = this.stayingAmong(scored, prompt, question);
    return this.bestOf(staying.length > 0 ? staying : scored, wholeKey(sharedParts));
  }

  /**
   * A request stays where its prompt is cached, in whatever data centre, as long as it meets its target there: reading or
   * copying the prompt elsewhere would save time that its caller does not need, and take it from others.
   */
  private stayingAmong(
    scored: readonly ScoredEstimate[],
    prompt: CachedPrompt | undefined,
    { now, targetAt = now }: ChoiceQuestion,
  ): ScoredEstimate[] {
    if (!prompt?.isCachedSomewhere) return [];
    const longest = (targetAt - now) * STAYING_SHARE;
    return scored.filter(
      ({ runner, expectedMilliseconds }) =>
        prompt.hasAllShared(runner.entry.life) && expectedMilliseconds <= longest,
    );
  }

  private comparedRunners(
    { candidates, question }: PlacementCandidates,
    prompt: CachedPrompt | undefined,
  ): Runner[] {
    if (candidates.length <= COMPARED_RUNNERS + COMPARED_FAR_RUNNERS) return [...candidates];
    const warm = new Set(prompt?.lives);
    const compared = new Set(candidates.filter(({ entry }) => warm.has(entry.life)));
    const near = candidates.filter((runner) => this.options.spill.isNear(runner, question));
    const far = candidates.filter((runner) => !this.options.spill.isNear(runner, question));
    this.addSample(compared, near, COMPARED_RUNNERS);
    this.addSample(compared, far, near.length > 0 ? COMPARED_FAR_RUNNERS : COMPARED_RUNNERS);
    return [...compared];
  }

  /** Adds runners in equal distances, as neighbours in the list are often in one data centre. */
  private addSample(compared: Set<Runner>, runners: readonly Runner[], count: number): void {
    const first = this.options.random() * runners.length;
    const distance = Math.max(1, runners.length / count);
    for (let step = 0; step < Math.min(count, runners.length); step += 1) {
      const runner = runners[Math.floor(first + step * distance) % runners.length];
      if (runner) compared.add(runner);
    }
  }

  private nearAlternatives(
    runners: readonly Runner[],
    prompt: CachedPrompt | undefined,
    question: ChoiceQuestion,
  ): SpillAlternatives {
    const near = runners.filter((runner) => this.options.spill.isNear(runner, question));
    if (!prompt || near.length === 0) return { hasNear: near.length > 0 };
    const unread = near.map(({ entry }) => prompt.unreadTokens(entry.life));
    return { hasNear: true, nearUnreadTokens: Math.min(...unread) };
  }

  private score(
    runner: Runner,
    prompt: CachedPrompt | undefined,
    question: ChoiceQuestion,
    near: SpillAlternatives,
  ): ScoredEstimate {
    const { capacity, spill, loadOf } = this.options;
    const { now, work } = question;
    const unreadTokens = prompt?.unreadTokens(runner.entry.life);
    const backlogMilliseconds = capacity.backlogMilliseconds(runner, now);
    const alternatives = { ...near, unreadTokens };
    const way = spill.costMilliseconds(runner, question, alternatives);
    const batch = loadOf(runner) * BATCH_MILLISECONDS;
    const own = capacity.ownMilliseconds(runner, unreadTokens, now);
    // A runner without room to spare is used only where no other one is left, so its estimate stays finite.
    const expectedMilliseconds =
      backlogMilliseconds + own + batch + (Number.isFinite(way) ? way : 0);
    const repeated = prompt?.isCachedSomewhere ? own * (REPEATED_READING_FACTOR - 1) : 0;
    const needed = (unreadTokens ?? 0) + (work?.answerTokens ?? 0);
    const overflow = capacity.fits(runner, needed, now) ? 0 : OVERFLOW_MILLISECONDS;
    const slotOnly = unreadTokens === undefined ? own * (1 - SLOT_WORK_SHARE) : 0;
    const finiteCost = expectedMilliseconds + repeated + overflow - slotOnly;
    const cost = Number.isFinite(way) ? finiteCost : way;
    const estimate = { backlogMilliseconds, expectedMilliseconds, unreadTokens, alternatives };
    return { runner, ...estimate, cost, way };
  }

  /**
   * Chooses among nearly equal runners by the hash of the prompt, so that daemons that know the same choose the same
   * runner for a new prompt, and different runners for different prompts.
   */
  private bestOf(scored: readonly ScoredEstimate[], key: string): PlacementEstimate {
    const least = Math.min(...scored.map(({ cost }) => cost));
    if (!Number.isFinite(least)) return this.leastLoaded(scored);
    const limit = least + Math.max(EQUAL_MILLISECONDS, least * EQUAL_SHARE);
    const equal = scored.filter(({ cost }) => cost <= limit);
    const fewest = Math.min(...equal.map(({ unreadTokens = 0 }) => unreadTokens));
    const best = equal.filter(({ unreadTokens = 0 }) => unreadTokens === fewest);
    // A hop between data centres costs about as much as estimates are off, but it costs that for certain.
    const nearest = Math.min(...best.map(({ way }) => way));
    const named = best
      .filter(({ way }) => way === nearest)
      .map((estimate) => ({ id: estimate.runner.entry.id, estimate }));
    const [first] = key === '' ? this.shuffled(named) : rendezvousOrder(key, named);
    return first!.estimate;
  }

  private leastLoaded(scored: readonly ScoredEstimate[]): PlacementEstimate {
    const { loadOf } = this.options;
    return scored.reduce((best, one) => (loadOf(one.runner) < loadOf(best.runner) ? one : best));
  }

  private shuffled<Item>(items: readonly Item[]): Item[] {
    const first = items[Math.floor(this.options.random() * items.length)];
    return first === undefined ? [] : [first];
  }
}
