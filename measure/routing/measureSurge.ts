/**
 * Effect of a surge of one account on the others at a gate: their waits with and without it, with fair queues
 * and with a single queue for all accounts.
 */
import { GateBench } from './GateBench.js';
import { SeededRandom } from './SeededRandom.js';
import { VirtualTime } from './VirtualTime.js';

/** How the accounts are told apart. */
export type SurgeQueues = 'fair' | 'one';

/** One case and its results; times in ms. */
export interface SurgeResult {
  readonly measurement: 'surge';
  readonly queues: SurgeQueues;
  readonly surging: boolean;
  readonly others: number;
  readonly othersWaitMedian: number;
  readonly othersWait95: number;
  readonly othersRefused: number;
  readonly surgeRefused: number;
  readonly seed: number;
}

const RUN_MILLISECONDS = 120_000;
const MAXIMUM_CONCURRENT = 16;
const MAXIMUM_QUEUED = 64;
const OTHER_ACCOUNTS = 10;

/** About half of what the engine gets through with a full batch. */
const OTHERS_PER_SECOND = 2.6;
const SURGE_PER_SECOND = 20;
const DEADLINE_MILLISECONDS = 20_000;
const PROMPT_TOKENS = 400;
const ANSWER_TOKENS = [100, 500] as const;
const AMPLE_MEAN = 1e9;

/**
 * @param queues - whether the gate knows the accounts.
 * @param surging - whether one account sends many times its share.
 * @param seed - of the arrivals.
 * @returns What the others saw.
 */
export function measureSurge(queues: SurgeQueues, surging: boolean, seed: number): SurgeResult {
  const time = new VirtualTime();
  const arrivals = { others: new SeededRandom(seed), surge: new SeededRandom(seed + 1) };
  const bench = new GateBench({
    time,
    gate: { maximumConcurrent: MAXIMUM_CONCURRENT, maximumQueued: MAXIMUM_QUEUED },
    mean: AMPLE_MEAN,
    runners: 10,
  });
  const waits: number[] = [];
  const refused = { others: 0, surge: 0 };
  let made = 0;
  const send = (who: 'others' | 'surge'): void => {
    const random = arrivals[who];
    const perSecond = who === 'surge' ? SURGE_PER_SECOND : OTHERS_PER_SECOND;
    time.after(random.exponential(1_000 / perSecond), () => {
      const arrivedAt = time.now;
      const account = who === 'surge' ? 'surge' : `account-${random.index(OTHER_ACCOUNTS)}`;
      made += 1;
      bench.ask(
        {
          attemptId: String(made),
          requestId: String(made),
          clientAccount: queues === 'fair' ? account : 'all',
          priority: 'standard',
          deadline: arrivedAt + DEADLINE_MILLISECONDS,
          promptTokens: PROMPT_TOKENS,
          cachedTokens: 0,
          maximumTokens: Math.round(random.between(...ANSWER_TOKENS)),
          bound: 1.25,
          lastChoice: true,
          accountWeight: 1,
          accountMaximumConcurrent: 0,
          accountMaximumTokensPerMinute: 0,
        },
        {
          onStart: () => {
            if (who === 'others') waits.push(time.now - arrivedAt);
          },
          onEnd: () => {},
          onRefused: () => {
            refused[who] += 1;
          },
        },
      );
      send(who);
    });
  };
  send('others');
  if (surging) send('surge');
  time.runUntil(RUN_MILLISECONDS);
  waits.sort((a, b) => a - b);
  const at = (share: number): number => Math.round(waits[Math.floor(share * waits.length)] ?? 0);
  return {
    measurement: 'surge',
    queues,
    surging,
    others: waits.length + refused.others,
    othersWaitMedian: at(0.5),
    othersWait95: at(0.95),
    othersRefused: refused.others,
    surgeRefused: refused.surge,
    seed,
  };
}
