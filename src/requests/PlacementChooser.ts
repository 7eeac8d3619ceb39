/**
 * Chooses runners by the routing decisions, from this daemon's view of the fleet.
 */
import type { FleetRunner, FleetView } from '../fleet/FleetView.js';
import { accountRunnerCount } from '../gates/accountShare.js';
import type { RefusalReason } from '../gates/gateTypes.js';
import type { RoutingPolicy } from '../generated/baobabdock/v1/configuration_pb.js';
import { PlacementDecisions } from '../routing/PlacementDecisions.js';
import type {
  Overflow,
  PlacementAction,
  PlacementCandidate,
  PlacementPolicy,
  PlacementQuestion,
} from '../routing/placementTypes.js';
import type { RunnerChoice, RunnerChoiceInput } from './RunnerChooser.js';
import { RunnerChooser } from './RunnerChooser.js';
import type { TriedRunner } from './requestDecisionTypes.js';

/** Options of a {@link PlacementChooser}. */
export interface PlacementChooserOptions {
  fleet: FleetView;
  placement?: PlacementDecisions;
}

/**
 * Maps a tried runner to a refusal reason: a runner whose attempt was lost or hedged counts as
 * down for this request.
 */
function refusalReasonOf({ why }: TriedRunner): RefusalReason {
  return why === 'lost' || why === 'hedged' ? 'runner_down' : why;
}

function policyOf(policy: RoutingPolicy): PlacementPolicy {
  const { bound, warmChoices, coldChoices, reuseWeight, overflow } = policy;
  return { bound, warmChoices, coldChoices, reuseWeight, overflow: overflow as Overflow };
}

function choiceOf(action: PlacementAction, bound: number): RunnerChoice {
  const passedOver = action.passedOver.map(({ runnerId, reason }) => ({ runnerId, reason }));
  if (action.kind === 'give_up') {
    const { reason, retryAfterMilliseconds } = action;
    const message = `No runner can take the request: ${reason}.`;
    return {
      kind: 'nobody',
      message,
      retryAfterMilliseconds,
      explanation: { reason, passedOver },
    };
  }
  const { runnerId, cachedTokens, lastChoice, reason, relativeLoad, attempt } = action;
  return {
    kind: 'chosen',
    runnerId,
    cachedTokens,
    bound,
    lastChoice,
    explanation: { runnerId, reason, cachedTokens, relativeLoad, lastChoice, attempt, passedOver },
  };
}

/** Translates between a request's choice and the routing decisions. */
export class PlacementChooser extends RunnerChooser {
  private readonly fleet: FleetView;

  private readonly placement: PlacementDecisions;

  /** Cached for each list of runners; otherwise every request would copy hundreds of them. */
  private readonly candidateLists = new WeakMap<
    readonly FleetRunner[],
    readonly PlacementCandidate[]
  >();

  /**
   * @param options - the fleet and the routing decisions.
   */
  constructor({ fleet, placement = new PlacementDecisions() }: PlacementChooserOptions) {
    super();
    this.fleet = fleet;
    this.placement = placement;
  }

  override choose(question: RunnerChoiceInput): RunnerChoice {
    const placement = this.questionOf(question);
    const action = this.placement.place(placement);
    return choiceOf(action, placement.policy.bound);
  }

  private questionOf({ request, warm, tried, deadlineMilliseconds }: RunnerChoiceInput) {
    const { requestId, service, chat, clientAccount, promptTokens, maximumTokens } = request;
    const { dataCentre, region } = this.fleet.self();
    const { mean, lightest } = this.fleet.poolLoad(service);
    const candidates = this.candidatesOf(this.fleet.runners(service));
    const question: PlacementQuestion = {
      requestId,
      service,
      chat,
      clientAccount,
      promptTokens,
      maximumTokens,
      deadlineMilliseconds,
      dataCentre,
      region,
      policy: policyOf(this.fleet.routingPolicy(service)),
      candidates,
      warm,
      mean,
      lightest,
      refusals: tried.map((runner) => ({ ...runner, reason: refusalReasonOf(runner) })),
      accountRunners: this.accountRunners(clientAccount, candidates.length),
    };
    return question;
  }

  /**
   * Returns the number of runners that the account may use, or `undefined` if it has no limits.
   * With all runners of a large pool, the account's share at each of them would be below one
   * request.
   */
  private accountRunners(clientAccount: string, poolRunners: number): number | undefined {
    const account = this.fleet.clientAccount(clientAccount);
    const { maximumConcurrentRequests = 0, maximumTokensPerMinute = 0 } = account ?? {};
    if (maximumConcurrentRequests === 0 && maximumTokensPerMinute === 0) return undefined;
    const limits = { maximumConcurrent: maximumConcurrentRequests, maximumTokensPerMinute };
    return accountRunnerCount(limits, poolRunners);
  }

  private candidatesOf(runners: readonly FleetRunner[]): readonly PlacementCandidate[] {
    const cached = this.candidateLists.get(runners);
    if (cached) return cached;
    const candidates = runners.map(({ id, state, record }) => ({
      id,
      state,
      dataCentre: record.dataCentre,
      region: record.region,
      accelerators: record.accelerators,
    }));
    this.candidateLists.set(runners, candidates);
    return candidates;
  }
}
