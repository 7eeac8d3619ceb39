/**
 * Follows the store: reads everything once, then the changes since, for as long as the process lives.
 *
 * One watch serves everything. Runners renew their entries about once a second, so that a watch which says
 * nothing for longer is a sign that its connection is dead although it looks open; a watch of the
 * configuration alone would be silent for minutes and nobody would notice that it hears nothing.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { FleetStore, StorePage } from './FleetStore.js';
import { HistoryLost } from './FleetStore.js';
import { syncLogEvents } from './syncFeature.js';

/** How long a daemon waits before it asks a store again that failed. */
export interface StorePauses {
  /** After the first failure, in ms; doubled with each further one. */
  readonly firstMilliseconds: number;
  /** At most, in ms: the store's return is noticed within this time. */
  readonly longestMilliseconds: number;
}

/** Options of a {@link StoreFollower}. */
export interface StoreFollowerOptions {
  store: FleetStore;
  knowledge: FleetKnowledge;
  clock: Clock;
  log: Log;
  /** How long changes are gathered before the next call, in ms. */
  gatherMilliseconds: number;
  /** Whether other daemons tell what the store says, so that this one need not read it. */
  isRelayed?: () => boolean;
  /** Pauses after failures. */
  pauses?: () => StorePauses;
  /** Whether other daemons learn of the store from this one's reads. */
  isReadingForOthers?: () => boolean;
  /** Learns from other daemons what is not on the first page; tells whether it has. */
  learnFromFleet?: (first: StorePage) => Promise<boolean>;
  /** Called after each read. */
  onRead?: () => void;
  /** Called with the time of a call that was answered at once, monotonic ms: nothing is wrong with this daemon's link. */
  onQuickAnswer?: (calledAt: number) => void;
  /** Waits for a time; replaced by tests. */
  sleep?: (milliseconds: number) => Promise<unknown>;
  /** Gives numbers from 0 up to 1. */
  random?: () => number;
}

/** Longest wait of one watch, in ms; see the module's comment. */
const WATCH_MILLISECONDS = 1_500;

/** A daemon that tells others what it reads answers for the store's silence too: its share of the time between reads. */
const TELLING_WATCH_SHARE = 0.3;

/** Of a daemon that reads the store for itself: a single reset costs it a tenth of a second. */
export const READER_PAUSES: StorePauses = { firstMilliseconds: 100, longestMilliseconds: 500 };

/**
 * Daemons that tell others what they read wait this much less at random, as a share: after a start of all at once they
 * would otherwise read at the same moments for good, and four of them would find a change no sooner than one.
 */
const TELLING_JITTER_SHARE = 0.4;

/** How soon a daemon that others read for notices that they do not any more, in ms. */
const RELAY_CHECK_MILLISECONDS = 150;

/** Without an answer for this long other daemons are asked, in ms. */
const SILENT_MILLISECONDS = 2_600;

/**
 * Another daemon has told of a change, and the store has not shown it for this long: the store may serve the
 * others and not this one. Its slowest sound answer takes 240 ms; in ms.
 */
const BEHIND_MILLISECONDS = 600;

/** As quickly as another daemon answers a question, in ms. */
const QUICK_MILLISECONDS = 300;

/** Runs until it is stopped. */
export class StoreFollower {
  private readonly options: Required<StoreFollowerOptions>;

  private revision: number | undefined;

  private lastAnswerAt: number;

  private failures = 0;

  /** The newest revision that another daemon has told of, and when. */
  private told: { readonly revision: number; readonly at: number } | undefined;

  /** What has been read of everything so far. */
  private pages: StorePage | undefined;

  private wake: (() => void) | undefined;

  /** Whether the next step reads although others read for this daemon. */
  private mustRead = false;

  private stopped = false;

  /**
   * @param options - store, beliefs and pace.
   */
  constructor(options: StoreFollowerOptions) {
    this.options = {
      sleep: wait,
      random: Math.random,
      isRelayed: () => false,
      pauses: () => READER_PAUSES,
      isReadingForOthers: () => false,
      learnFromFleet: () => Promise.resolve(false),
      onRead: () => undefined,
      onQuickAnswer: () => undefined,
      ...options,
    };
    this.lastAnswerAt = options.clock.monotonicMilliseconds();
  }

  /** @returns Whether the store has not answered for a while. */
  get isStoreSilent(): boolean {
    const now = this.options.clock.monotonicMilliseconds();
    const isBehind = this.told !== undefined && now - this.told.at > BEHIND_MILLISECONDS;
    return this.failures > 0 || isBehind || now - this.lastAnswerAt > SILENT_MILLISECONDS;
  }

  /** Follows until {@link stop}. */
  async run(): Promise<void> {
    while (!this.stopped) await this.step();
  }

  /** Ends after the call in progress. */
  stop(): void {
    this.stopped = true;
    this.wake?.();
  }

  /**
   * Reads changes at once, if this is newer than what is known.
   *
   * @param revision - of a change that another daemon has seen.
   */
  hear(revision: number): void {
    const { knowledge, clock } = this.options;
    if (revision <= Math.max(knowledge.revision, this.told?.revision ?? 0)) return;
    this.told = { revision, at: clock.monotonicMilliseconds() };
    this.wake?.();
  }

  /**
   * Reads at once, also where others read for this daemon.
   *
   * @param what - what has changed, or everything.
   */
  readOnce(what: 'changes' | 'everything'): void {
    this.mustRead = true;
    if (what === 'everything') this.readAnew();
    this.wake?.();
  }

  private readAnew(): void {
    this.revision = undefined;
    this.pages = undefined;
  }

  private async step(): Promise<void> {
    if (this.revision !== undefined && !this.mustRead && this.options.isRelayed()) {
      await this.rest();
      return;
    }
    this.mustRead = false;
    try {
      if (this.revision === undefined) await this.readAll();
      else await this.readChanges(this.revision);
      await this.gather();
    } catch (error) {
      await this.recover(error as Error);
    }
  }

  /** Others have heard from the store: its silence here, or an outage before, says nothing once this ends. */
  private async rest(): Promise<void> {
    const { clock } = this.options;
    this.lastAnswerAt = clock.monotonicMilliseconds();
    this.failures = 0;
    this.told = undefined;
    await this.sleepUntilWoken(RELAY_CHECK_MILLISECONDS);
  }

  private async readAll(): Promise<void> {
    const { knowledge, clock, onRead, learnFromFleet } = this.options;
    const isFirst = this.pages === undefined;
    const pages = await this.readNextPage();
    if (isFirst && pages.next !== undefined && (await learnFromFleet(pages))) {
      this.pages = undefined;
      this.revision = knowledge.revision;
      return;
    }
    while (this.pages?.next !== undefined) await this.readNextPage();
    const read = this.pages ?? pages;
    this.pages = undefined;
    knowledge.applyAll(read, clock.monotonicMilliseconds());
    this.revision = read.revision;
    onRead();
  }

  /** A page that fails is asked for again, and those before it are kept: a store that refuses calls is asked for less. */
  private async readNextPage(): Promise<StorePage> {
    const { store, clock } = this.options;
    const before = this.pages;
    const calledAt = clock.monotonicMilliseconds();
    const { revision, facts, next } = await store.readPage(before?.next);
    this.answered(calledAt);
    const all = [...(before?.facts ?? []), ...facts];
    this.pages = { revision: before?.revision ?? revision, facts: all, next };
    return this.pages;
  }

  private async readChanges(revision: number): Promise<void> {
    const { store, knowledge, clock, onRead, gatherMilliseconds, isReadingForOthers } =
      this.options;
    const longest = isReadingForOthers()
      ? Math.round(gatherMilliseconds * TELLING_WATCH_SHARE)
      : WATCH_MILLISECONDS;
    // What other daemons have told since the last read is known already.
    const after = Math.max(revision, knowledge.revision);
    const calledAt = clock.monotonicMilliseconds();
    const read = await store.readChanges(after, longest);
    this.answered(calledAt);
    knowledge.applyChanges(read, clock.monotonicMilliseconds());
    this.revision = read.revision;
    onRead();
  }

  /** Waits for more changes, but no longer than until another daemon tells of one that is not known here. */
  private async gather(): Promise<void> {
    const { gatherMilliseconds, knowledge, isReadingForOthers, random } = this.options;
    if (this.told && this.told.revision <= knowledge.revision) this.told = undefined;
    const jitter = isReadingForOthers() ? TELLING_JITTER_SHARE * random() : 0;
    await this.sleepUntilWoken(Math.round(gatherMilliseconds * (1 - jitter)));
  }

  private async sleepUntilWoken(milliseconds: number): Promise<void> {
    const woken = new Promise<void>((done) => {
      this.wake = done;
    });
    await Promise.race([this.options.sleep(milliseconds), woken]);
    this.wake = undefined;
  }

  private answered(calledAt: number): void {
    const { knowledge, clock, log, onQuickAnswer } = this.options;
    const now = clock.monotonicMilliseconds();
    if (now - calledAt < QUICK_MILLISECONDS) onQuickAnswer(calledAt);
    const away = now - this.lastAnswerAt;
    this.lastAnswerAt = now;
    knowledge.storeServed(now);
    if (this.failures === 0) return;
    log.write(syncLogEvents.storeRegained, {
      milliseconds: Math.round(away),
      failures: this.failures,
    });
    this.failures = 0;
  }

  private async recover(error: Error): Promise<void> {
    const { log, sleep, knowledge, pauses } = this.options;
    if (error instanceof HistoryLost) {
      log.write(syncLogEvents.historyLost, { revision: this.revision });
      this.readAnew();
      return;
    }
    knowledge.storeFailed();
    if (this.failures === 0) {
      log.write(syncLogEvents.storeLost, { error: error.message, revision: this.revision });
    }
    const { firstMilliseconds, longestMilliseconds } = pauses();
    const pause = Math.min(longestMilliseconds, firstMilliseconds * 2 ** this.failures);
    this.failures += 1;
    await sleep(pause);
  }
}
