/**
 * Error of an account's limit that is split over gates without coordination.
 */
import { accountRunnerCount } from '../../src/gates/accountShare.js';
import { PlacementDecisions } from '../../src/routing/PlacementDecisions.js';
import type { PlacementRefusal } from '../../src/routing/placementTypes.js';
import { GateBench } from './GateBench.js';
import { SeededRandom } from './SeededRandom.js';
import { VirtualTime } from './VirtualTime.js';

/** One case and its results. */
export interface AccountLimitResult {
  readonly measurement: 'account-limit';
  readonly runners: number;
  readonly limit: number;
  /** What the account asked for, as a multiple of its limit. */
  readonly demand: number;
  /** Runners that the account may use. */
  readonly accountRunners: number;
  /** Most requests at once, as a share of the limit: above 1 is an excess. */
  readonly highestShare: number;
  /** Mean requests at once, as a share of the limit or of the demand if that is less. */
  readonly meanShare: number;
  readonly refused: number;
  readonly seed: number;
}

const RUN_MILLISECONDS = 60_000;
const WARM_UP_MILLISECONDS = 15_000;
const SAMPLE_MILLISECONDS = 250;
const PROMPT_TOKENS = 200;
const ANSWER_TOKENS = [100, 700] as const;

/** How long such a request takes on a nearly idle fake engine. */
const USUAL_MILLISECONDS = 2_100;
const AMPLE_MEAN = 1e9;
const CHATS_PER_REQUEST = 3;

/**
 * @param runners - of the pool.
 * @param limit - requests at once over the pool.
 * @param demand - what the account asks for, as a multiple of its limit.
 * @param seed - of the arrivals.
 * @returns How the limit held.
 */
export function measureAccountLimit(
  runners: number,
  limit: number,
  demand: number,
  seed: number,
): AccountLimitResult {
  const time = new VirtualTime();
  const random = new SeededRandom(seed);
  const placement = new PlacementDecisions();
  const candidates = Array.from({ length: runners }, (_, index) => ({
    id: `runner-${index}`,
    state: 'live' as const,
    dataCentre: 'data-centre',
    region: 'region',
    accelerators: 8,
  }));
  const benches = new Map<string, GateBench>();
  const benchOf = (id: string): GateBench => {
    const known = benches.get(id);
    if (known) return known;
    const bench = new GateBench({ time, gate: {}, mean: AMPLE_MEAN, runners });
    benches.set(id, bench);
    return bench;
  };
  const limits = { maximumConcurrent: limit, maximumTokensPerMinute: 0 };
  const accountRunners = accountRunnerCount(limits, runners);
  const chats = Math.max(1, Math.round(limit * demand * CHATS_PER_REQUEST));
  let made = 0;
  let inProgress = 0;
  let refused = 0;
  const place = (chat: string, refusals: readonly PlacementRefusal[]): void => {
    const action = placement.place({
      requestId: String(made),
      service: 'chat',
      chat,
      clientAccount: 'limited',
      promptTokens: PROMPT_TOKENS,
      maximumTokens: ANSWER_TOKENS[1],
      deadlineMilliseconds: 10_000,
      dataCentre: 'data-centre',
      region: 'region',
      policy: { bound: 1.25, warmChoices: 8, coldChoices: 4, reuseWeight: 0.8, overflow: 'region' },
      candidates,
      warm: [],
      mean: AMPLE_MEAN,
      lightest: [],
      accountRunners,
      refusals,
    });
    if (action.kind === 'give_up') {
      refused += 1;
      return;
    }
    made += 1;
    const { runnerId, lastChoice } = action;
    benchOf(runnerId).ask(
      {
        attemptId: String(made),
        requestId: String(made),
        clientAccount: 'limited',
        priority: 'standard',
        deadline: time.now + 10_000,
        promptTokens: PROMPT_TOKENS,
        cachedTokens: 0,
        maximumTokens: Math.round(random.between(...ANSWER_TOKENS)),
        bound: 1.25,
        lastChoice,
        accountWeight: 1,
        accountMaximumConcurrent: limit,
        accountMaximumTokensPerMinute: 0,
      },
      {
        onStart: () => {
          inProgress += 1;
        },
        onEnd: () => {
          inProgress -= 1;
        },
        onRefused: () => {
          const refusal = { runnerId, lastChoice, load: 0, mean: 1, retryAfterMilliseconds: 1_000 };
          place(chat, [...refusals, { ...refusal, reason: 'account_limit' }]);
        },
      },
    );
  };
  const perMillisecond = (limit * demand) / USUAL_MILLISECONDS;
  const arrive = (): void =>
    time.after(random.exponential(1 / perMillisecond), () => {
      place(`chat-${random.index(chats)}`, []);
      arrive();
    });
  arrive();
  const samples: number[] = [];
  time.every(SAMPLE_MILLISECONDS, () => {
    if (time.now >= WARM_UP_MILLISECONDS) samples.push(inProgress);
  });
  time.runUntil(RUN_MILLISECONDS);
  const mean = samples.reduce((sum, sample) => sum + sample, 0) / samples.length;
  return {
    measurement: 'account-limit',
    runners,
    limit,
    demand,
    accountRunners,
    highestShare: Math.max(...samples) / limit,
    meanShare: mean / (limit * Math.min(1, demand)),
    refused: refused / (made + refused),
    seed,
  };
}
