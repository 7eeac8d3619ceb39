/**
 * What retries cost and gain: the request decisions under failures that strike attempts independently.
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';

import { RequestDecisions } from '../../src/requests/RequestDecisions.js';
import type { RequestAction, RequestMessage } from '../../src/requests/requestDecisionTypes.js';
import { RetryBudget } from '../../src/requests/RetryBudget.js';

/** Options of {@link measureRetries}. */
export interface RetryMeasureOptions {
  requests: number;
  accounts: number;
  /** Share of attempts that are lost, 0 to 1. */
  failureShare: number;
  /** Of the retry budget; 1 with an endless burst means no budget. */
  ratio: number;
  burst: number;
  seed: number;
}

/** One line of the table. */
export interface RetryMeasureResult extends RetryMeasureOptions {
  attemptsPerRequest: number;
  completedShare: number;
}

/** Drives one request to its end; attempts are lost or answered at once. */
class RequestRun {
  attempts = 0;

  completed = false;

  private readonly decisions: RequestDecisions;

  private readonly fails: () => boolean;

  constructor(budget: RetryBudget, fails: () => boolean) {
    this.decisions = new RequestDecisions({ budget });
    this.fails = fails;
  }

  take(now: number, message: RequestMessage): void {
    for (const action of this.decisions.decide(now, message)) {
      for (const answer of this.answersTo(action)) this.take(now, answer);
    }
  }

  private answersTo(action: RequestAction): RequestMessage[] {
    if (action.kind === 'ask_home') return [{ kind: 'home_answered', warmRunners: 0 }];
    if (action.kind === 'choose') {
      const runnerId = `runner-${action.tried.length}`;
      return [{ kind: 'chosen', runnerId, cachedTokens: 0, bound: 1.25, lastChoice: false }];
    }
    if (action.kind === 'complete') this.completed = true;
    if (action.kind !== 'attempt') return [];
    this.attempts += 1;
    const { reading, attemptId } = action;
    if (this.fails()) return [{ kind: 'lost', reading, message: 'lost' }];
    const tokens = { promptTokens: 0, generatedTokens: 0, cachedTokens: 0 };
    return [
      { kind: 'started', reading, attemptId, status: 200 },
      { kind: 'completed', reading, attemptId, lastSequence: 0, ...tokens },
    ];
  }
}

/**
 * @param options - how many requests, how many failures, which budget.
 * @returns Attempts for each request, and how many completed.
 */
export function measureRetries(options: RetryMeasureOptions): RetryMeasureResult {
  const { requests, accounts, failureShare, ratio, burst, seed } = options;
  const random = xoroshiro128plus(seed);
  const budget = new RetryBudget({ ratio, burst });
  let attempts = 0;
  let completed = 0;
  for (let index = 0; index < requests; index += 1) {
    const run = new RequestRun(budget, () => uniformFloat64(random) < failureShare);
    run.take(index, {
      kind: 'begin',
      request: {
        requestId: `request-${index}`,
        clientAccount: `account-${index % accounts}`,
        service: 'pool',
        priority: 'standard',
        deadlineMilliseconds: 20_000,
        idempotent: true,
        streaming: true,
        attemptSeed: `attempt-${index}`,
      },
    });
    attempts += run.attempts;
    completed += run.completed ? 1 : 0;
  }
  return {
    ...options,
    attemptsPerRequest: attempts / requests,
    completedShare: completed / requests,
  };
}

function streamOne(budget: RetryBudget, chunks: number): void {
  const decisions = new RequestDecisions({ budget });
  const attemptId = 'attempt-1';
  const messages: RequestMessage[] = [
    {
      kind: 'begin',
      request: {
        requestId: 'request',
        clientAccount: 'account',
        service: 'pool',
        priority: 'standard',
        deadlineMilliseconds: 20_000,
        idempotent: true,
        streaming: true,
        attemptSeed: 'attempt',
      },
    },
    { kind: 'home_answered', warmRunners: 0 },
    { kind: 'chosen', runnerId: 'runner', cachedTokens: 0, bound: 1.25, lastChoice: false },
    { kind: 'started', reading: 1, attemptId, status: 200 },
  ];
  for (const message of messages) decisions.decide(0, message);
  for (let sequence = 1; sequence <= chunks; sequence += 1) {
    decisions.decide(0, { kind: 'chunk', reading: 1, attemptId, sequence, bytes: 100 });
    decisions.nextWake();
  }
  const tokens = { promptTokens: 0, generatedTokens: 0, cachedTokens: 0 };
  decisions.decide(0, {
    kind: 'completed',
    reading: 1,
    attemptId,
    lastSequence: chunks,
    ...tokens,
  });
}

/** What the decisions of one streamed request cost. */
export interface DecisionCost {
  readonly microsecondsPerRequest: number;
  readonly microsecondsPerChunk: number;
}

/**
 * Times the decisions alone: no task, no signature, no network.
 *
 * @param requests - how many.
 * @param chunks - of each answer.
 * @returns Processor time of one request without its chunks, and of one chunk.
 */
export function measureDecisionCost(requests: number, chunks: number): DecisionCost {
  const time = (chunksEach: number): number => {
    const budget = new RetryBudget();
    const start = process.cpuUsage();
    for (let index = 0; index < requests; index += 1) streamOne(budget, chunksEach);
    const { user, system } = process.cpuUsage(start);
    return (user + system) / requests;
  };
  // The first round warms the compiler up and is not counted.
  time(chunks);
  const microsecondsPerRequest = time(0);
  return {
    microsecondsPerRequest,
    microsecondsPerChunk: (time(chunks) - microsecondsPerRequest) / chunks,
  };
}
