/**
 * Interpretation of one placement question: which runners may be asked, how far away and how loaded they are, and how
 * they are ordered by hash for the chat.
 */
import { PlacementPool } from './PlacementPool.js';
import type { Distance, Reach } from './PlacementPool.js';
import type {
  PassedOver,
  PassedOverReason,
  PlacementCandidate,
  PlacementQuestion,
  PlacementRefusal,
} from './placementTypes.js';
import { rendezvousOrder } from './rendezvous.js';
import { weightedOrder } from './weightedOrder.js';

/**
 * Minimum time left, in ms, for a request to be sent to another region, which costs tens of milliseconds.
 */
const MINIMUM_TIME_FOR_ANOTHER_REGION_MILLISECONDS = 500;

/** Number of least loaded runners among which last choices are spread. */
const LIGHT_CHOICES = 8;

/** A runner that has cached the chat's prefix. */
export interface WarmCandidate {
  readonly candidate: PlacementCandidate;
  readonly cachedTokens: number;
}

/** A warm runner that refused because it had no room. */
export interface RefusedWarmCandidate extends WarmCandidate {
  readonly refusal: PlacementRefusal;
}

/** Derived data of one question; created anew for each. */
export class PlacementView {
  /**
   * Warm runners that may be asked and have not been asked yet, the one with the most cached tokens first.
   */
  readonly warm: readonly WarmCandidate[];

  /** Warm runners that were asked and had no room. */
  readonly warmRefused: readonly RefusedWarmCandidate[];

  private readonly question: PlacementQuestion;

  private readonly pool: PlacementPool;

  private readonly reach: Reach;

  private readonly furthest: Distance;

  private readonly refusals: ReadonlyMap<string, PlacementRefusal>;

  private readonly loads: ReadonlyMap<string, number>;

  private readonly accountRunnerIds: ReadonlySet<string> | undefined;

  /**
   * @param question - the placement question.
   */
  constructor(question: PlacementQuestion) {
    this.question = question;
    this.pool = PlacementPool.of(question.candidates);
    this.reach = this.pool.reachOf(question);
    this.furthest = this.furthestDistance();
    this.refusals = new Map(question.refusals.map((refusal) => [refusal.runnerId, refusal]));
    this.loads = new Map(question.lightest.map(({ runnerId, load }) => [runnerId, load]));
    this.accountRunnerIds = this.accountRunners();
    const warm = this.warmCandidates();
    this.warm = warm.filter(({ candidate }) => !this.refusals.has(candidate.id));
    this.warmRefused = warm.flatMap((entry) => {
      const refusal = this.refusals.get(entry.candidate.id);
      return refusal && PlacementView.hadNoRoom(refusal) ? [{ ...entry, refusal }] : [];
    });
  }

  /**
   * @param refusal - refusal by a gate.
   * @returns Whether the gate would accept the request later.
   */
  static hadNoRoom({ reason }: PlacementRefusal): boolean {
    return reason === 'above_bound' || reason === 'gate_opening';
  }

  /**
   * @param candidate - a runner.
   * @returns Its load as a multiple of its fair share; 1 if no load is known.
   */
  relativeLoad(candidate: PlacementCandidate): number {
    const refusal = this.refusals.get(candidate.id);
    const load = refusal?.load ?? this.loads.get(candidate.id);
    if (load === undefined) return 1;
    const mean = refusal?.mean ?? this.question.mean;
    if (mean <= 0) return load > 0 ? 1 : 0;
    return load / mean / this.pool.fairShare(candidate);
  }

  /**
   * @param further - distance to add to that of the nearest runners.
   * @param choices - maximum number of runners to return.
   * @returns The first runners in hash order that may still be asked.
   */
  firstInOrder(further: number, choices: number): PlacementCandidate[] {
    // Searches outward: if the only runner of the nearest place has refused, farther runners are still to be asked.
    for (let distance = this.reach.nearest + further; distance < this.furthest; distance += 1) {
      const found = this.firstWithin(distance as Distance, choices);
      if (found.length > 0) return found;
    }
    return this.firstWithin(this.furthest, choices);
  }

  /** @returns Number of runners left to ask; counting stops at 2. */
  remaining(): number {
    let left = 0;
    for (const { id } of this.allowed(this.reach.within[this.furthest])) {
      if (!this.refusals.has(id)) left += 1;
      if (left === 2) break;
    }
    return left;
  }

  /**
   * Picks one of the least loaded runners by the chat's hash order, so that different chats pick different runners.
   *
   * @returns A runner that has not been asked, or `undefined` if all have been.
   */
  pickLeastLoaded(): PlacementCandidate | undefined {
    const light = this.allowed(this.reach.within[this.furthest])
      .filter(({ id }) => this.loads.has(id) && !this.refusals.has(id))
      .sort((a, b) => this.relativeLoad(a) - this.relativeLoad(b))
      .slice(0, LIGHT_CHOICES);
    return weightedOrder(this.question.chat, light, 1)[0] ?? this.firstInOrder(this.furthest, 1)[0];
  }

  /**
   * @param runnerId - identifier of a runner.
   * @returns The runner; `undefined` if it is not in the pool.
   */
  candidate(runnerId: string): PlacementCandidate | undefined {
    return this.pool.candidate(runnerId);
  }

  /**
   * @param runnerId - identifier of a runner.
   * @returns Estimated number of prompt tokens that are cached there.
   */
  cachedTokens(runnerId: string): number {
    const place = this.question.warm.find((warm) => warm.runnerId === runnerId);
    return Math.min(place?.cachedTokens ?? 0, this.question.promptTokens);
  }

  /**
   * Lists the runners that a reader of the log would have expected to be chosen: those that refused, and the warm
   * ones that may not be asked.
   *
   * @returns Runners and reasons, without those that were only less suitable.
   */
  passedOver(): PassedOver[] {
    const refused = this.question.refusals.map(({ runnerId, reason }) => ({ runnerId, reason }));
    const notAskable = this.question.warm.flatMap(({ runnerId }): PassedOver[] => {
      const reason = this.refusals.has(runnerId) ? undefined : this.obstacle(runnerId);
      return reason ? [{ runnerId, reason }] : [];
    });
    return [...refused, ...notAskable];
  }

  private firstWithin(distance: Distance, choices: number): PlacementCandidate[] {
    const refused = this.question.refusals.length;
    const first = weightedOrder(
      this.question.chat,
      this.allowed(this.reach.within[distance]),
      choices + refused,
    );
    return first.filter(({ id }) => !this.refusals.has(id)).slice(0, choices);
  }

  private obstacle(runnerId: string): PassedOverReason | undefined {
    const candidate = this.pool.candidate(runnerId);
    if (!candidate) return 'unknown_runner';
    const state = this.pool.obstacle(runnerId);
    if (state) return state;
    return this.reach.within[this.furthest].includes(candidate) ? undefined : 'too_far';
  }

  private furthestDistance(): Distance {
    const { policy, deadlineMilliseconds } = this.question;
    const inTime = deadlineMilliseconds >= MINIMUM_TIME_FOR_ANOTHER_REGION_MILLISECONDS;
    if (policy.overflow === 'anywhere' && inTime) return 2;
    // A service without runners in this data centre or region is served from the nearest place that has some.
    const allowed = policy.overflow === 'never' ? 0 : 1;
    return Math.max(allowed, this.reach.nearest) as Distance;
  }

  /** An account with limits uses only a few runners of its own; see `accountRunnerCount`. */
  private accountRunners(): ReadonlySet<string> | undefined {
    const { accountRunners, clientAccount } = this.question;
    const near = this.reach.within[this.furthest];
    if (accountRunners === undefined || accountRunners >= near.length) return undefined;
    const own = rendezvousOrder(clientAccount, near).slice(0, accountRunners);
    return new Set(own.map(({ id }) => id));
  }

  private allowed(near: readonly PlacementCandidate[]): readonly PlacementCandidate[] {
    const { accountRunnerIds } = this;
    if (!accountRunnerIds) return near;
    const own = near.filter(({ id }) => accountRunnerIds.has(id));
    return own.length > 0
      ? own
      : this.reach.within[this.furthest].filter(({ id }) => accountRunnerIds.has(id));
  }

  private warmCandidates(): WarmCandidate[] {
    const { warm, policy, promptTokens } = this.question;
    return warm
      .filter(({ runnerId }) => this.obstacle(runnerId) === undefined)
      .slice(0, policy.warmChoices)
      .map(({ runnerId, cachedTokens }) => ({
        candidate: this.pool.candidate(runnerId)!,
        cachedTokens: Math.min(cachedTokens, promptTokens),
      }));
  }
}
