/**
 * Policies by which an entry chooses a runner: the design, and the baselines that it is compared with.
 */
import type { WarmRunnerEntry } from '../../src/homes/homeTypes.js';
import { PlacementDecisions } from '../../src/routing/PlacementDecisions.js';
import type { PlacementCandidate, PlacementRefusal } from '../../src/routing/placementTypes.js';
import { rendezvousOrder, rendezvousPick } from '../../src/routing/rendezvous.js';
import type { HeardLoads } from './LoadBoard.js';
import type { SeededRandom } from './SeededRandom.js';
import type { SimulatedDaemon } from './SimulatedDaemon.js';
import type { PolicyName, RoutingRunOptions } from './routingRunOptions.js';
import type { Turn } from './Workload.js';

/** What an entry knows when it chooses. */
export interface EntryQuestion {
  readonly entry: SimulatedDaemon;
  readonly turn: Turn;
  readonly warm: readonly WarmRunnerEntry[];
  readonly heard: HeardLoads;
  readonly deadlineMilliseconds: number;
  readonly refusals: readonly PlacementRefusal[];
}

/** Where an entry sends a request. */
export interface EntryChoice {
  readonly runnerId: string;
  readonly cachedTokens: number;
  readonly lastChoice: boolean;
}

/** A way to choose. */
export abstract class EntryPolicy {
  /** Whether requests go through the runner's gate. */
  abstract readonly usesGates: boolean;

  /** Whether the chat's home is asked first. */
  abstract readonly usesHomes: boolean;

  /**
   * @param question - what is known.
   * @returns Where to go, or `undefined` to give up.
   */
  abstract choose(question: EntryQuestion): EntryChoice | undefined;
}

/** The product's own placement, with or without what the home of the chat knows. */
class GatedPolicy extends EntryPolicy {
  readonly usesGates = true;

  private readonly placement = new PlacementDecisions();

  private requests = 0;

  constructor(
    readonly usesHomes: boolean,
    private readonly options: RoutingRunOptions,
  ) {
    super();
  }

  override choose(question: EntryQuestion): EntryChoice | undefined {
    const { entry, turn, warm, heard, deadlineMilliseconds, refusals } = question;
    const { bound, warmChoices, coldChoices, reuseWeight } = this.options;
    this.requests += 1;
    const action = this.placement.place({
      requestId: String(this.requests),
      service: 'chat',
      chat: turn.chat.id,
      clientAccount: turn.chat.clientAccount,
      promptTokens: turn.promptTokens,
      maximumTokens: turn.maximumTokens,
      deadlineMilliseconds,
      dataCentre: entry.record.dataCentre,
      region: 'region',
      policy: {
        bound,
        warmChoices,
        coldChoices: this.usesHomes ? coldChoices : 1,
        reuseWeight,
        overflow: 'region',
      },
      candidates: entry.candidates(),
      warm,
      mean: heard.mean,
      lightest: heard.lightestFor(entry.record.dataCentre),
      refusals,
    });
    return action.kind === 'choose' ? action : undefined;
  }
}

abstract class DirectPolicy extends EntryPolicy {
  readonly usesGates = false;

  readonly usesHomes = false;

  override choose({ entry, turn, heard }: EntryQuestion): EntryChoice | undefined {
    const live = entry.candidates().filter(({ state }) => state === 'live');
    const chosen = this.pick(live, entry, turn.chat.id, heard);
    return chosen && { runnerId: chosen.id, cachedTokens: 0, lastChoice: true };
  }

  protected abstract pick(
    live: readonly PlacementCandidate[],
    entry: SimulatedDaemon,
    chat: string,
    heard: HeardLoads,
  ): PlacementCandidate | undefined;
}

class HashOnlyPolicy extends DirectPolicy {
  protected override pick(
    live: readonly PlacementCandidate[],
    _entry: SimulatedDaemon,
    chat: string,
  ): PlacementCandidate | undefined {
    return rendezvousPick(chat, live);
  }
}

class LeastLoadedPolicy extends DirectPolicy {
  constructor(private readonly random: SeededRandom) {
    super();
  }

  protected override pick(
    live: readonly PlacementCandidate[],
    _entry: SimulatedDaemon,
    _chat: string,
    heard: HeardLoads,
  ): PlacementCandidate | undefined {
    if (live.length === 0) return undefined;
    const loadOf = ({ id }: PlacementCandidate): number => heard.loads.get(id) ?? 0;
    const least = Math.min(...live.map(loadOf));
    return this.random.pick(live.filter((candidate) => loadOf(candidate) === least));
  }
}

/** Consistent hashing with bounded loads, each daemon on its own: a share below one request rounds up. */
class LocalBoundPolicy extends DirectPolicy {
  constructor(private readonly bound: number) {
    super();
  }

  protected override pick(
    live: readonly PlacementCandidate[],
    entry: SimulatedDaemon,
    chat: string,
  ): PlacementCandidate | undefined {
    let total = 1;
    for (const count of entry.ownInProgress.values()) total += count;
    const most = Math.ceil((this.bound * total) / Math.max(1, live.length));
    return rendezvousOrder(chat, live).find(
      ({ id }) => (entry.ownInProgress.get(id) ?? 0) + 1 <= most,
    );
  }
}

/**
 * @param options - the run.
 * @param random - for ties.
 * @returns The policy of that name.
 */
export function entryPolicyOf(options: RoutingRunOptions, random: SeededRandom): EntryPolicy {
  const makers: Record<PolicyName, () => EntryPolicy> = {
    design: () => new GatedPolicy(true, options),
    hashExactBound: () => new GatedPolicy(false, options),
    localBound: () => new LocalBoundPolicy(options.bound),
    leastLoadedByReports: () => new LeastLoadedPolicy(random),
    hashOnly: () => new HashOnlyPolicy(),
  };
  return makers[options.policy]();
}
