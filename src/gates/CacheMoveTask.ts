/**
 * Moves KV caches between runners. A cache is streamed from the old runner to the new one, and the home of its
 * chat is then told where the cache is.
 */
import { create } from '@bufbuild/protobuf';
import { match } from 'ts-pattern';
import VError from 'verror';

import { DecisionTask } from '../decisions/DecisionTask.js';
import type { DecisionStep } from '../decisions/DecisionTask.js';
import type { FleetRunner, FleetView } from '../fleet/FleetView.js';
import { HomeChangeSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { HomePort } from '../homes/HomePort.js';
import type { Log } from '../logging/Log.js';
import { rendezvousPick } from '../routing/rendezvous.js';
import type { Clock } from '../time/Clock.js';
import type { Upstream } from '../upstreams/Upstream.js';
import { CacheMoveDecisions } from './CacheMoveDecisions.js';
import type { CacheMoveAction, CacheMoveMessage, MovableCache } from './CacheMoveDecisions.js';
import { gatesLogEvents } from './gatesFeature.js';
import type { GatesSettings } from './gatesFeature.js';
import type { CacheChange } from './GateTaskPrefixCacheIndex.js';
import type { GateTaskRunnerWatch } from './GateTaskRunnerWatch.js';

/** Options of a {@link CacheMoveTask}. */
export interface CacheMoveTaskOptions {
  fleet: FleetView;
  homes: HomePort;
  clock: Clock;
  log: Log;
  settings: GatesSettings;
  /** Creates a separate upstream for a runner; the task closes it after the move. */
  createUpstream: (runner: FleetRunner) => Upstream | undefined;
  record?: (step: DecisionStep<CacheMoveMessage, CacheMoveAction>) => void;
}

/** What the gate of a runner knows about the runner's cache and speed. */
export type RunnerCacheInfo = Pick<GateTaskRunnerWatch, 'cache' | 'tokensPerSecond'>;

/** Most recently used chats of a leaving runner that are considered for a move. */
export const MAXIMUM_CHATS_PER_RUNNER = 5_000;

/** Leaving runners kept in memory. The number is bounded because no message says when a runner has gone. */
const MAXIMUM_REMEMBERED_LEAVING_RUNNERS = 1_000;

/** Passes a byte stream through and counts its bytes. */
class ByteCounter {
  bytes = 0;

  async *count(cache: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array, void, undefined> {
    for await (const part of cache) {
      this.bytes += part.byteLength;
      yield part;
    }
  }
}

/** Uses the old runner's rate for the new one, since all runners of a pool are of the same kind. */
function movableCacheOf(
  runner: FleetRunner,
  to: string,
  change: CacheChange,
  { tokensPerSecond: prefillTokensPerSecond }: RunnerCacheInfo,
): MovableCache {
  return { ...change, service: runner.record.service, from: runner.id, to, prefillTokensPerSecond };
}

/** Runs the cache moves of one daemon. */
export class CacheMoveTask extends DecisionTask<CacheMoveMessage, CacheMoveAction> {
  private readonly options: CacheMoveTaskOptions;

  /** Leaving runners whose caches have been considered, by id and incarnation. */
  private readonly leaving = new Set<string>();

  /**
   * @param options - the fleet, how to reach its runners, and the settings.
   */
  constructor(options: CacheMoveTaskOptions) {
    const { settings, clock, record } = options;
    const decisions = new CacheMoveDecisions({
      maximumMoves: settings.maximumCacheMoves,
      bytesPerToken: settings.cacheBytesPerToken,
      bytesPerSecond: settings.cacheTransferBytesPerSecond,
      prefillTokensPerSecond: settings.prefillTokensPerSecond,
    });
    // The decisions never ask for a wake-up, so this tick is never sent.
    super({ decisions, clock, tick: { kind: 'runner_leaving', caches: [] }, record });
    this.options = options;
  }

  /**
   * Considers the caches of a runner for a move, once, when the runner starts to leave.
   *
   * @param runner - the runner as the fleet lists it now.
   * @param watch - what the runner's gate knows about it.
   */
  updateRunner(runner: FleetRunner, watch: RunnerCacheInfo): void {
    const { id, state, record } = runner;
    const key = `${id} ${record.incarnation}`;
    if (state !== 'leaving') {
      this.leaving.delete(key);
      return;
    }
    if (this.leaving.has(key) || !this.isMovingEnabled(runner)) return;
    this.rememberConsidered(key);
    const others = this.others(runner);
    const chats = watch.cache.recentChats().slice(0, MAXIMUM_CHATS_PER_RUNNER);
    const caches = chats.flatMap((change) => {
      const to = rendezvousPick(change.chat, others);
      return to ? [movableCacheOf(runner, to.id, change, watch)] : [];
    });
    if (caches.length > 0) this.send({ kind: 'runner_leaving', caches });
  }

  /**
   * Considers a move for a chat that was refused by the gate of the runner that has it cached.
   *
   * @param runner - the runner, which is at its load bound.
   * @param change - the chat and the number of its cached tokens.
   * @param watch - what the runner's gate knows about it.
   */
  onWarmRefused(runner: FleetRunner, change: CacheChange, watch: RunnerCacheInfo): void {
    if (!this.isMovingEnabled(runner)) return;
    const others = this.others(runner);
    const { lightest } = this.options.fleet.poolLoad(runner.record.service);
    const light = lightest.find(({ runnerId }) => others.some(({ id }) => id === runnerId));
    const to = light?.runnerId ?? rendezvousPick(change.chat, others)?.id;
    if (to) this.send({ kind: 'warm_refused', cache: movableCacheOf(runner, to, change, watch) });
  }

  protected override perform(action: CacheMoveAction): void {
    match(action)
      .with({ kind: 'move' }, ({ cache }) => {
        void this.move(cache);
      })
      .with({ kind: 'stay' }, () => {})
      .exhaustive();
  }

  private rememberConsidered(key: string): void {
    this.leaving.add(key);
    if (this.leaving.size <= MAXIMUM_REMEMBERED_LEAVING_RUNNERS) return;
    const [oldest] = this.leaving;
    if (oldest !== undefined) this.leaving.delete(oldest);
  }

  private async move(cache: MovableCache): Promise<void> {
    const { chat, from, to, service } = cache;
    const { log, clock, homes } = this.options;
    const startedAt = clock.monotonicMilliseconds();
    const counted = new ByteCounter();
    try {
      if (await this.isCachedElsewhere(cache)) {
        this.send({ kind: 'needless', chat, from });
        return;
      }
      const cachedTokens = await this.copy(cache, counted);
      const milliseconds = clock.monotonicMilliseconds() - startedAt;
      homes.reportChanges([
        create(HomeChangeSchema, { chat, service, runnerId: to, cachedTokens }),
      ]);
      const { bytes } = counted;
      log.write(gatesLogEvents.cacheMoved, { chat, service, from, to, cachedTokens, bytes });
      this.send({ kind: 'moved', chat, from, bytes, milliseconds });
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      log.write(gatesLogEvents.cacheMoveFailed, { chat, service, from, to, message });
      this.send({ kind: 'move_failed', chat, from });
    }
  }

  /**
   * Asks the home of the chat whether the cache is already at another runner, so that no move is needed.
   *
   * A move may wait for minutes. If the chat is used meanwhile, its cache is rebuilt elsewhere, and a copy would
   * only transfer bytes that are never reused. One small call to the home prevents this. If the old runner is
   * not leaving, the move is meant to add a second copy, so only a copy at the target counts.
   */
  private async isCachedElsewhere({
    chat,
    service,
    from,
    to,
    cachedTokens,
  }: MovableCache): Promise<boolean> {
    const { homes, fleet } = this.options;
    const places = await homes.findWarmRunners(chat, service);
    const leaves = fleet.runner(from)?.state !== 'live';
    return places.some(({ runnerId, cachedTokens: standing }) => {
      if (runnerId === from || standing < cachedTokens) return false;
      return leaves ? fleet.runner(runnerId)?.state === 'live' : runnerId === to;
    });
  }

  private async copy({ chat, from, to }: MovableCache, counted: ByteCounter): Promise<number> {
    const source = this.upstreamOf(from);
    const target = this.upstreamOf(to);
    try {
      const cache = await source.exportCache(chat);
      if (!cache) throw new VError('the runner has no cache of this chat to export');
      return await target.importCache(chat, counted.count(cache));
    } finally {
      source.close();
      target.close();
    }
  }

  private upstreamOf(runnerId: string): Upstream {
    const runner = this.options.fleet.runner(runnerId);
    const upstream = runner && this.options.createUpstream(runner);
    if (!upstream)
      throw new VError('runner %s is no longer in the fleet or has no upstream', runnerId);
    return upstream;
  }

  private isMovingEnabled({ record }: FleetRunner): boolean {
    const { fleet } = this.options;
    if (fleet.service(record.service)?.kind === 'plain') return false;
    return fleet.routingPolicy(record.service).moveCache;
  }

  private others({ id, record }: FleetRunner): FleetRunner[] {
    const all = this.options.fleet.runners(record.service);
    return all.filter((other) => other.id !== id && other.state === 'live');
  }
}
