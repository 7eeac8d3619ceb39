/**
 * Monitors one runner for its gate: polls its load reports and cache events at a bounded rate, and tracks its
 * health. Only the daemon that holds the gate polls, so that the cost grows with the number of runners and not
 * with runners times daemons.
 */
import murmurhash from 'murmurhash';

import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import type { Upstream } from '../upstreams/Upstream.js';
import { upstreamsLogEvents } from '../upstreams/upstreamsFeature.js';
import { gatesLogEvents } from './gatesFeature.js';
import type { GatesSettings } from './gatesFeature.js';
import { GateTaskPrefixCacheIndex } from './GateTaskPrefixCacheIndex.js';
import type { CacheChange } from './GateTaskPrefixCacheIndex.js';
import { GateTaskHealth } from './GateTaskHealth.js';
import { GateTaskPoller } from './GateTaskPoller.js';
import type { GateMessage, RunnerState } from './gateTypes.js';

/** A chat whose cached tokens at a runner changed. */
export interface RunnerCacheChange extends CacheChange {
  readonly runnerId: string;
  readonly service: string;
}

/** Options of a {@link GateTaskRunnerWatch}. */
export interface GateTaskRunnerWatchOptions {
  runnerId: string;
  service: string;
  /** Whether the runner reports load and cache events; runners of plain services only get health checks. */
  isEngine: boolean;
  upstream: Upstream;
  clock: Clock;
  log: Log;
  settings: GatesSettings;
  /** Sends a message to the gate's decisions. */
  send: (message: GateMessage) => void;
  /** Called with each detected change of the runner's prefix cache. */
  onCacheChanged?: (changes: readonly RunnerCacheChange[]) => void;
}

/** Monitors the health, load and prefix cache of one runner. */
export class GateTaskRunnerWatch {
  /** The chats that are probably in the runner's prefix cache. */
  readonly cache: GateTaskPrefixCacheIndex;

  private readonly options: GateTaskRunnerWatchOptions;

  private readonly health: GateTaskHealth;

  private pollers: GateTaskPoller[] = [];

  private listed: RunnerState = 'live';

  private incarnation = 0;

  private throughput = 0;

  /**
   * @param options - the runner, the settings, and the callbacks for messages and cache changes.
   */
  constructor(options: GateTaskRunnerWatchOptions) {
    this.options = options;
    this.health = new GateTaskHealth(options.settings);
    this.cache = new GateTaskPrefixCacheIndex({ maximumChats: options.settings.maximumKnownChats });
  }

  /** @returns The throughput that the runner reported, in tokens per second; 0 before the first report. */
  get tokensPerSecond(): number {
    return this.throughput;
  }

  /** @returns Whether the runner may get work: it is live or suspect, and not ejected. */
  get isUsable(): boolean {
    return this.effectiveState() === 'live' || this.effectiveState() === 'suspect';
  }

  /**
   * Starts polling, unless it has started already.
   *
   * @param lastCacheEvent - the number of the last cache event that the previous holder of the gate has read.
   */
  start(lastCacheEvent = 0): void {
    this.cache.continueAfter(lastCacheEvent);
    if (this.pollers.length > 0) return;
    const { isEngine, runnerId, settings } = this.options;
    const seed = murmurhash.v3(runnerId);
    this.pollers.push(
      new GateTaskPoller({
        intervalMilliseconds: settings.loadReportMilliseconds,
        seed,
        poll: () => this.readLoad(),
      }),
    );
    if (isEngine) {
      this.pollers.push(
        new GateTaskPoller({
          intervalMilliseconds: settings.cacheEventsMilliseconds,
          seed: seed + 1,
          poll: () => this.readCacheEvents(),
        }),
      );
    }
    for (const poller of this.pollers) poller.start();
  }

  /** Stops polling until {@link GateTaskRunnerWatch.start}, because another daemon now polls the runner. */
  stop(): void {
    for (const poller of this.pollers) poller.stop();
    this.pollers = [];
  }

  /**
   * Updates the state of the runner from this daemon's runner list. A state of an older incarnation is
   * ignored; a newer incarnation clears the index of the prefix cache.
   *
   * @param state - the runner's state.
   * @param incarnation - the incarnation that the state belongs to.
   */
  updateRunner(state: RunnerState, incarnation: number): void {
    if (incarnation < this.incarnation) return;
    const restarted = this.incarnation !== 0 && incarnation > this.incarnation;
    const changed = restarted || state !== this.listed || this.incarnation === 0;
    this.listed = state;
    this.incarnation = incarnation;
    if (restarted) this.reportCacheChanges(this.cache.reset());
    if (changed) this.sendState();
  }

  /** Records that an attempt completed. */
  recordAttemptSuccess(): void {
    if (this.health.recordSuccess(this.now(), 'attempt')) this.healthChanged();
  }

  /** Records that an attempt failed, got a server error, or could not reach the runner. */
  recordAttemptFailure(): void {
    if (this.health.recordFailure(this.now(), 'attempt')) this.healthChanged();
  }

  /**
   * Records that a chat got a complete answer; ignored for runners of plain services.
   *
   * @param chat - the chat.
   * @param cachedTokens - its number of tokens that are cached now.
   */
  recordChatUse(chat: string, cachedTokens: number): void {
    if (this.options.isEngine) this.reportCacheChanges(this.cache.recordUse(chat, cachedTokens));
  }

  private async readLoad(): Promise<void> {
    try {
      const report = await this.options.upstream.readLoad();
      if (this.health.recordSuccess(this.now(), 'report')) this.healthChanged();
      if (!this.options.isEngine) return;
      this.throughput = report.tokensPerSecond;
      this.options.send({ kind: 'load_report', report });
    } catch (error) {
      this.logReportFailure('load', error);
      if (this.health.recordFailure(this.now(), 'report')) this.healthChanged();
    }
  }

  private async readCacheEvents(): Promise<void> {
    try {
      const events = await this.options.upstream.readCacheEvents(this.cache.lastNumber);
      const { changes, lost } = this.cache.applyEvents(events);
      this.reportCacheChanges(changes);
      if (lost === 0) return;
      const { runnerId: runner, log } = this.options;
      log.write(gatesLogEvents.cacheEventsLost, {
        runner,
        lost,
        forgotten: changes.length,
      });
    } catch (error) {
      this.logReportFailure('cache_events', error);
    }
  }

  private logReportFailure(report: string, error: unknown): void {
    const message = error instanceof Error ? error.message : String(error);
    const { runnerId: runner, log } = this.options;
    log.write(upstreamsLogEvents.reportFailed, { runner, report, message });
  }

  private healthChanged(): void {
    const { runnerId: runner, service, log } = this.options;
    const { runnerEjected, runnerReturned } = gatesLogEvents;
    const event = this.health.state === 'ejected' ? runnerEjected : runnerReturned;
    log.write(event, { runner, service });
    this.sendState();
  }

  private sendState(): void {
    const { incarnation } = this;
    this.options.send({ kind: 'runner_state', state: this.effectiveState(), incarnation });
  }

  private effectiveState(): RunnerState {
    const isListedUsable = this.listed === 'live' || this.listed === 'suspect';
    return isListedUsable && this.health.state === 'ejected' ? 'ejected' : this.listed;
  }

  private reportCacheChanges(changes: readonly CacheChange[]): void {
    if (changes.length === 0) return;
    const { runnerId, service } = this.options;
    this.options.onCacheChanged?.(changes.map((change) => ({ ...change, runnerId, service })));
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}
