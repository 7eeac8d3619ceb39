/**
 * The runners of a pool, indexed once for many requests: which of them may serve, how far away they are, and how much
 * load each should take.
 */
import type { RunnerState } from '../gates/gateTypes.js';
import type { PlacementCandidate } from './placementTypes.js';

/**
 * Distance between a daemon and a runner. 0: the same data centre, 1: the same region, 2: another region.
 */
export type Distance = 0 | 1 | 2;

/** Location of a daemon or a runner. */
export interface Place {
  readonly dataCentre: string;
  readonly region: string;
}

/** Runners that can be reached from a place. */
export interface Reach {
  /** Runners by distance; each list also holds the nearer runners. */
  readonly within: readonly [
    readonly PlacementCandidate[],
    readonly PlacementCandidate[],
    readonly PlacementCandidate[],
  ];
  /** The smallest distance at which there is a runner; 2 also if there is none. */
  readonly nearest: Distance;
}

const DISTANCES: readonly Distance[] = [0, 1, 2];

function weightOf({ accelerators }: PlacementCandidate): number {
  return Math.max(1, accelerators);
}

function distanceBetween(candidate: Place, place: Place): Distance {
  if (candidate.region !== place.region) return 2;
  return candidate.dataCentre === place.dataCentre ? 0 : 1;
}

/** Immutable index of one list of runners. */
export class PlacementPool {
  private static readonly pools = new WeakMap<readonly PlacementCandidate[], PlacementPool>();

  private readonly byId: ReadonlyMap<string, PlacementCandidate>;

  private readonly averageWeight: number;

  /** Runners that may be asked: the live ones, or the suspect ones if none is live. */
  private readonly usable: readonly PlacementCandidate[];

  private readonly reaches = new Map<string, Reach>();

  private constructor(candidates: readonly PlacementCandidate[]) {
    this.byId = new Map(candidates.map((candidate) => [candidate.id, candidate]));
    const weight = candidates.reduce((sum, candidate) => sum + weightOf(candidate), 0);
    this.averageWeight = weight / Math.max(1, candidates.length);
    const live = candidates.filter(({ state }) => state === 'live');
    // A suspicion is often wrong; if no other runner is left, trying a suspect one is better than refusing the
    // request.
    this.usable = live.length > 0 ? live : candidates.filter(({ state }) => state === 'suspect');
  }

  /**
   * Returns the index of a list. Building it costs far more than one choice, so it is cached as long as the list
   * exists.
   *
   * @param candidates - list of runners, which is replaced and never modified when the runners change.
   * @returns Its index.
   */
  static of(candidates: readonly PlacementCandidate[]): PlacementPool {
    const known = PlacementPool.pools.get(candidates);
    if (known) return known;
    const pool = new PlacementPool(candidates);
    PlacementPool.pools.set(candidates, pool);
    return pool;
  }

  /**
   * @param runnerId - identifier of a runner.
   * @returns The runner; `undefined` if it is not in the pool.
   */
  candidate(runnerId: string): PlacementCandidate | undefined {
    return this.byId.get(runnerId);
  }

  /**
   * @param runnerId - identifier of a runner.
   * @returns Its state, if that keeps it from being asked.
   */
  obstacle(runnerId: string): Exclude<RunnerState, 'live'> | undefined {
    const state = this.byId.get(runnerId)?.state;
    if (state === undefined || state === 'live') return undefined;
    const asked = state === 'suspect' && this.usable[0]?.state === 'suspect';
    return asked ? undefined : state;
  }

  /**
   * @param candidate - a runner.
   * @returns Its fair share of the load, as a multiple of the average runner's.
   */
  fairShare(candidate: PlacementCandidate): number {
    return weightOf(candidate) / this.averageWeight;
  }

  /**
   * @param place - location of a daemon.
   * @returns The runners that may be asked, by distance from it.
   */
  reachOf({ dataCentre, region }: Place): Reach {
    const key = `${region}\n${dataCentre}`;
    const known = this.reaches.get(key);
    if (known) return known;
    const place = { dataCentre, region };
    const upTo = (distance: Distance): readonly PlacementCandidate[] =>
      this.usable.filter((candidate) => distanceBetween(candidate, place) <= distance);
    const within = [upTo(0), upTo(1), upTo(2)] as const;
    const nearest = DISTANCES.find((distance) => within[distance].length > 0) ?? 2;
    const reach = { within, nearest };
    this.reaches.set(key, reach);
    return reach;
  }
}
