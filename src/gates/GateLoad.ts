/**
 * Counts the work that one gate has sent to its runner: uncached prompt tokens plus tokens still to be generated.
 * The count is exact and falls as the runner reports progress.
 */
import type { GateRequest, HeldWork } from './gateTypes.js';

/** Work of a request without tokens, such as one of a plain service, so that it still counts. */
export const MINIMUM_WORK = 1;

/**
 * Computes the work of a request that has not started.
 *
 * @param request - the request; prompt tokens that are expected to be cached do not count.
 * @returns Tokens of work, at least {@link MINIMUM_WORK}.
 */
export function workOf(
  request: Pick<GateRequest, 'promptTokens' | 'cachedTokens' | 'maximumTokens'>,
): number {
  const uncached = Math.max(0, request.promptTokens - request.cachedTokens);
  return Math.max(MINIMUM_WORK, uncached + request.maximumTokens);
}

/** Waiting work up to this share of the running work is left out of {@link advertisedLoad}. */
const UNREPORTED_QUEUE_SHARE = 0.25;

/**
 * Computes the load that a gate reports to the other daemons; the pool's mean is computed from these loads.
 *
 * A short queue at a busy gate is left out, because it would raise the mean, and with it the bound of every
 * runner, above the load that the engines really have. A long queue counts: when demand rises faster than the mean
 * is propagated, the gates could otherwise only raise their load by the bound's factor with each report, and requests
 * would wait for idle engines. It counts for no more than the running work, or the queue of one hot chat would
 * raise the bound of a whole pool.
 *
 * @param runningWork - tokens of work on the runner.
 * @param queuedWork - tokens of work that wait at the gate.
 * @returns Tokens of work.
 */
export function advertisedLoad(runningWork: number, queuedWork: number): number {
  const counted = Math.max(0, queuedWork - runningWork * UNREPORTED_QUEUE_SHARE);
  return runningWork + Math.min(runningWork, counted);
}

/** An attempt on the runner. */
export interface RunningAttempt {
  readonly request: GateRequest;
  /** Monotonic milliseconds. */
  readonly startedAt: number;
  /** Uncached prompt tokens that are not yet processed. */
  promptWork: number;
  generatedTokens: number;
  /** Tokens of work for which the attempt counts now. */
  work: number;
}

/** Counts the attempts of one gate on its runner. Messages about unknown attempts and duplicates change nothing. */
export class GateLoad {
  private readonly running = new Map<string, RunningAttempt>();

  private total = 0;

  /** @returns Number of attempts on the runner. */
  get count(): number {
    return this.running.size;
  }

  /** @returns Tokens of work on the runner. */
  get work(): number {
    return this.total;
  }

  /**
   * @param attemptId - the attempt.
   * @returns Whether it is on the runner.
   */
  has(attemptId: string): boolean {
    return this.running.has(attemptId);
  }

  /**
   * @param now - monotonic milliseconds.
   * @param request - the request that is sent to the runner.
   */
  start(now: number, request: GateRequest): void {
    const work = workOf(request);
    this.running.set(request.attemptId, {
      request,
      startedAt: now,
      promptWork: Math.max(0, request.promptTokens - request.cachedTokens),
      generatedTokens: 0,
      work,
    });
    this.total += work;
  }

  /**
   * Corrects the work of an attempt once the runner has reported how much of the prompt was cached.
   *
   * @param attemptId - the attempt.
   * @param cachedTokens - cached tokens of the prompt.
   * @returns Tokens by which the work fell; negative if less was cached than expected.
   */
  correctCachedTokens(attemptId: string, cachedTokens: number): number {
    const attempt = this.running.get(attemptId);
    if (!attempt || attempt.generatedTokens > 0) return 0;
    attempt.promptWork = Math.max(0, attempt.request.promptTokens - cachedTokens);
    return this.recount(attemptId);
  }

  /**
   * Reduces the work of an attempt by its progress.
   *
   * @param attemptId - the attempt.
   * @param generatedTokens - tokens generated so far; a smaller, outdated number changes nothing.
   * @returns Tokens by which the work fell.
   */
  recordProgress(attemptId: string, generatedTokens: number): number {
    const attempt = this.running.get(attemptId);
    if (!attempt || generatedTokens <= attempt.generatedTokens) return 0;
    attempt.generatedTokens = generatedTokens;
    // The engine generates the first token only after it has processed the whole prompt.
    attempt.promptWork = 0;
    return this.recount(attemptId);
  }

  /**
   * Removes an attempt that has left the runner.
   *
   * @param attemptId - the attempt.
   * @returns The attempt as last counted, or `undefined` if it was not on the runner.
   */
  end(attemptId: string): RunningAttempt | undefined {
    const attempt = this.running.get(attemptId);
    if (!attempt) return undefined;
    this.running.delete(attemptId);
    this.total -= attempt.work;
    return attempt;
  }

  /**
   * @param at - monotonic milliseconds.
   * @returns Tokens of work of the attempts that had started by then, as counted now.
   */
  workStartedBy(at: number): number {
    let work = 0;
    for (const attempt of this.running.values()) if (attempt.startedAt <= at) work += attempt.work;
    return work;
  }

  /** @returns All attempts with their work, for the handover to the next holder of the gate. */
  heldWork(): HeldWork[] {
    return [...this.running.values()].map(({ request, work }) => ({
      attemptId: request.attemptId,
      clientAccount: request.clientAccount,
      work,
    }));
  }

  private recount(attemptId: string): number {
    const attempt = this.running.get(attemptId);
    if (!attempt) return 0;
    const before = attempt.work;
    const toGenerate = Math.max(0, attempt.request.maximumTokens - attempt.generatedTokens);
    attempt.work = Math.max(MINIMUM_WORK, attempt.promptWork + toGenerate);
    this.total += attempt.work - before;
    return before - attempt.work;
  }
}
