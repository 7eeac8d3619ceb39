/**
 * Decides which KV caches are copied to another runner. A cache is moved if copying its bytes is expected to
 * take less time than rebuilding the prefix on the other runner. The most recently used chats go first, and
 * only a few moves run at a time.
 */
import { match } from 'ts-pattern';

import { Decisions } from '../decisions/Decisions.js';
import { CacheMoveEstimate } from './CacheMoveEstimate.js';
import type { CacheMoveEstimateOptions } from './CacheMoveEstimate.js';

/** A KV cache that could be moved to another runner. */
export interface MovableCache {
  readonly chat: string;
  readonly service: string;
  /** Id of the runner that has the cache. */
  readonly from: string;
  /** Id of the runner that would receive it. */
  readonly to: string;
  readonly cachedTokens: number;
  /** Prefill rate of the receiving runner, in prompt tokens a second; 0 if it is not known. */
  readonly prefillTokensPerSecond: number;
}

/** Input of {@link CacheMoveDecisions}. */
export type CacheMoveMessage =
  /** A runner is leaving as planned; its caches, the most recently used chats first. */
  | { readonly kind: 'runner_leaving'; readonly caches: readonly MovableCache[] }
  /** The gate of a runner that has the chat cached refused its request, because the runner is at its load bound. */
  | { readonly kind: 'warm_refused'; readonly cache: MovableCache }
  | {
      readonly kind: 'moved';
      readonly chat: string;
      readonly from: string;
      readonly bytes: number;
      readonly milliseconds: number;
    }
  | { readonly kind: 'move_failed'; readonly chat: string; readonly from: string }
  /** The cache was rebuilt at another runner while its move waited, so nothing was copied. */
  | { readonly kind: 'needless'; readonly chat: string; readonly from: string };

/** Why a cache is not moved. */
export type NoMoveReason =
  'rebuild_is_cheaper' | 'too_many_waiting' | 'not_hot' | 'moved_lately' | 'moves_fail';

/** What the task has to do. */
export type CacheMoveAction =
  | {
      readonly kind: 'move';
      readonly cache: MovableCache;
      readonly moveMilliseconds: number;
      readonly rebuildMilliseconds: number;
    }
  | { readonly kind: 'stay'; readonly chat: string; readonly reason: NoMoveReason };

/** Options of {@link CacheMoveDecisions}. */
export interface CacheMoveDecisionsOptions extends CacheMoveEstimateOptions {
  /** Moves that may run at the same time. */
  maximumMoves?: number;
}

const DEFAULT_MAXIMUM_MOVES = 2;

/** Moves that may wait; later ones would not finish before a leaving runner has gone. */
const MAXIMUM_WAITING = 5_000;

/** A chat is hot after this many refusals within the window; a single refusal may be chance. */
const HOT_REFUSALS = 2;
const HOT_WINDOW_MILLISECONDS = 10_000;

/** A chat is not moved again for this long; otherwise two full runners would move it back and forth. */
const MOVE_COOLDOWN_MILLISECONDS = 30_000;

const MAXIMUM_REMEMBERED_CHATS = 5_000;

/**
 * Only completed moves correct the estimate, so an estimate that rules out every move is never corrected. With
 * settings that name too slow a link, a fast link would then stay unused, and runners would leave without a
 * single move. To prevent this, if a leaving runner has at least this many caches and none seems worth moving,
 * one cache is moved as a trial to measure the link. The other caches wait for its result.
 */
const MINIMUM_CACHES_FOR_TRIAL = 32;
const MILLISECONDS_BETWEEN_TRIALS = 600_000;

/** Moving a smaller cache would measure the fixed cost of the calls instead of the link. */
const MINIMUM_TRIAL_TOKENS = 1_000;

/**
 * After this many failures in a row, the waiting moves of a runner are dropped. If a runner has already gone, or
 * its engine can't export, each of its moves fails, which would cause thousands of warnings and useless calls.
 */
const MAXIMUM_FAILURES_IN_A_ROW = 5;

interface RefusedChat {
  /** First refusal of the window, in monotonic milliseconds. */
  readonly since: number;
  readonly count: number;
}

function evictOldest(map: Map<string, unknown>): void {
  if (map.size <= MAXIMUM_REMEMBERED_CHATS) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}

/** Schedules the cache moves of one daemon. */
export class CacheMoveDecisions extends Decisions<CacheMoveMessage, CacheMoveAction> {
  private readonly maximumMoves: number;

  private readonly estimate: CacheMoveEstimate;

  private readonly waiting: MovableCache[] = [];

  private readonly moving = new Map<string, MovableCache>();

  private readonly refused = new Map<string, RefusedChat>();

  private readonly movedAt = new Map<string, number>();

  /** Failed moves in a row, by the id of the runner that has the caches. */
  private readonly failures = new Map<string, number>();

  /** The running trial move; no other move starts until it has ended. */
  private trial: MovableCache | undefined;

  private trialStartedAt = -Infinity;

  /**
   * @param options - limits and initial estimates.
   */
  constructor({
    maximumMoves = DEFAULT_MAXIMUM_MOVES,
    ...estimate
  }: CacheMoveDecisionsOptions = {}) {
    super();
    this.maximumMoves = maximumMoves;
    this.estimate = new CacheMoveEstimate(estimate);
  }

  override decide(now: number, message: CacheMoveMessage): readonly CacheMoveAction[] {
    const stays = match(message)
      .with({ kind: 'runner_leaving' }, ({ caches }) => this.onLeaving(now, caches))
      .with({ kind: 'warm_refused' }, ({ cache }) => this.onWarmRefused(now, cache))
      .with({ kind: 'moved' }, (moved) => this.onMoved(moved))
      .with({ kind: 'move_failed' }, ({ chat, from }) => this.onMoveFailed(chat, from))
      .with({ kind: 'needless' }, ({ chat, from }) => {
        this.endMove(`${from} ${chat}`);
        return [];
      })
      .exhaustive();
    return [...stays, ...this.startWaiting(now)];
  }

  override nextWake(): undefined {
    return undefined;
  }

  private onLeaving(now: number, caches: readonly MovableCache[]): CacheMoveAction[] {
    const trial = this.findTrial(now, caches);
    if (!trial) return caches.flatMap((cache) => this.enqueueIfWorthMoving(now, cache));
    this.trial = trial;
    this.trialStartedAt = now;
    const others = caches.filter((cache) => cache !== trial);
    // These are checked against the corrected estimate after the trial.
    const stays = others.flatMap((cache) => this.enqueue(now, cache));
    return [...stays, this.start(now, trial)];
  }

  private findTrial(now: number, caches: readonly MovableCache[]): MovableCache | undefined {
    const isDue = now - this.trialStartedAt >= MILLISECONDS_BETWEEN_TRIALS;
    const isIdle = this.moving.size === 0 && this.waiting.length === 0;
    if (!isDue || !isIdle || caches.length < MINIMUM_CACHES_FOR_TRIAL) return undefined;
    if (caches.some((cache) => this.estimate.isWorthMoving(cache))) return undefined;
    return caches.find(({ cachedTokens }) => cachedTokens >= MINIMUM_TRIAL_TOKENS);
  }

  private onMoveFailed(chat: string, from: string): CacheMoveAction[] {
    this.endMove(`${from} ${chat}`);
    const count = (this.failures.get(from) ?? 0) + 1;
    this.failures.delete(from);
    if (count < MAXIMUM_FAILURES_IN_A_ROW) {
      this.failures.set(from, count);
      evictOldest(this.failures);
      return [];
    }
    const dropped = this.waiting.filter((cache) => cache.from === from);
    const kept = this.waiting.filter((cache) => cache.from !== from);
    this.waiting.splice(0, this.waiting.length, ...kept);
    return dropped.map((cache) => ({ kind: 'stay', chat: cache.chat, reason: 'moves_fail' }));
  }

  private endMove(key: string): MovableCache | undefined {
    const cache = this.moving.get(key);
    this.moving.delete(key);
    if (cache === this.trial) this.trial = undefined;
    return cache;
  }

  private onWarmRefused(now: number, cache: MovableCache): CacheMoveAction[] {
    const { chat } = cache;
    const before = this.refused.get(chat);
    const isInWindow = before !== undefined && now - before.since <= HOT_WINDOW_MILLISECONDS;
    const { since, count } = isInWindow ? before : { since: now, count: 0 };
    this.refused.delete(chat);
    if (count + 1 >= HOT_REFUSALS) return this.enqueueHotFirst(now, cache);
    this.refused.set(chat, { since, count: count + 1 });
    evictOldest(this.refused);
    return [{ kind: 'stay', chat, reason: 'not_hot' }];
  }

  /**
   * Puts the move of a hot chat at the front of the queue. Behind the thousands of moves of a leaving runner it
   * would start minutes later, when the chat is no longer hot.
   */
  private enqueueHotFirst(now: number, cache: MovableCache): CacheMoveAction[] {
    const stays = this.enqueueIfWorthMoving(now, cache);
    if (stays.length === 0) this.waiting.unshift(...this.waiting.splice(-1));
    return stays;
  }

  private enqueueIfWorthMoving(now: number, cache: MovableCache): CacheMoveAction[] {
    const stay = (reason: NoMoveReason): CacheMoveAction[] => [
      { kind: 'stay', chat: cache.chat, reason },
    ];
    const movedAt = this.movedAt.get(cache.chat);
    if (movedAt !== undefined && now - movedAt < MOVE_COOLDOWN_MILLISECONDS)
      return stay('moved_lately');
    if (!this.estimate.isWorthMoving(cache)) return stay('rebuild_is_cheaper');
    return this.enqueue(now, cache);
  }

  private enqueue(now: number, cache: MovableCache): CacheMoveAction[] {
    if (this.waiting.length >= MAXIMUM_WAITING) {
      return [{ kind: 'stay', chat: cache.chat, reason: 'too_many_waiting' }];
    }
    this.waiting.push(cache);
    this.movedAt.delete(cache.chat);
    this.movedAt.set(cache.chat, now);
    evictOldest(this.movedAt);
    return [];
  }

  private onMoved({
    chat,
    from,
    bytes,
    milliseconds,
  }: Extract<CacheMoveMessage, { kind: 'moved' }>): CacheMoveAction[] {
    const isTrial = this.trial?.chat === chat && this.trial.from === from;
    const cache = this.endMove(`${from} ${chat}`);
    this.failures.delete(from);
    if (!cache || bytes === 0) return [];
    const measured = { tokens: cache.cachedTokens, bytes, milliseconds };
    if (isTrial) this.estimate.resetToMeasurement(measured);
    else this.estimate.addMeasurement(measured);
    return [];
  }

  /** Starts waiting moves. Each is checked again, because the estimate may have changed while it waited. */
  private startWaiting(now: number): CacheMoveAction[] {
    const actions: CacheMoveAction[] = [];
    while (!this.trial && this.moving.size < this.maximumMoves) {
      const cache = this.waiting.shift();
      if (!cache) break;
      if (!this.estimate.isWorthMoving(cache)) {
        actions.push({ kind: 'stay', chat: cache.chat, reason: 'rebuild_is_cheaper' });
        continue;
      }
      actions.push(this.start(now, cache));
    }
    return actions;
  }

  private start(now: number, cache: MovableCache): CacheMoveAction {
    this.moving.set(`${cache.from} ${cache.chat}`, cache);
    this.movedAt.set(cache.chat, now);
    return {
      kind: 'move',
      cache,
      moveMilliseconds: Math.round(this.estimate.moveMilliseconds(cache)),
      rebuildMilliseconds: Math.round(this.estimate.rebuildMilliseconds(cache)),
    };
  }
}
