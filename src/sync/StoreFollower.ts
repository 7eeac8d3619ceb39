/**
 * Follows the store: makes one full read, then reads the changes since, for as long as the process runs.
 *
 * One watch covers all keys. Runners renew their entries about once a second, so a watch without events for longer
 * indicates that its connection is dead although it looks open. A watch of the configuration alone would have no events
 * for minutes, and a dead connection would go unnoticed.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import { configurationVersionOf } from './configurationVersionOf.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { FleetStore, StorePage } from './FleetStore.js';
import { HistoryLost } from './FleetStore.js';
import { epochOf, revisionFields } from './orderedRevision.js';
import { syncLogEvents } from './syncFeature.js';
import { ToldVersions } from './ToldVersions.js';

/** Exponential backoff after failed calls to the store. */
export interface StoreBackoff {
  /** Pause after the first failure, in ms; doubled with each further one. */
  readonly firstMilliseconds: number;
  /** Longest pause, in ms: the return of the store is noticed within this time. */
  readonly longestMilliseconds: number;
}

/** Options of a {@link StoreFollower}. */
export interface StoreFollowerOptions {
  store: FleetStore;
  knowledge: FleetKnowledge;
  clock: Clock;
  log: Log;
  /** Pause between two reads, in ms, in which changes accumulate. */
  gatherMilliseconds: number;
  /** Whether other daemons relay the changes of the store, so that this one need not read it. */
  isRelayed?: () => boolean;
  /** Backoff after failures; it may change over time. */
  pauses?: () => StoreBackoff;
  /** Whether this daemon relays what it reads to other daemons. */
  isReadingForOthers?: () => boolean;
  /** Fetches from other daemons what is not on the first page; resolves to whether that succeeded. */
  learnFromFleet?: (first: StorePage) => Promise<boolean>;
  /** Called after each read. */
  onRead?: () => void;
  /**
   * Called for a call that was answered quickly, which shows that this daemon's network link works; gets the time of the
   * call, monotonic ms.
   */
  onQuickAnswer?: (calledAt: number) => void;
  /** Resolves after a delay; replaced by tests. */
  sleep?: (milliseconds: number) => Promise<unknown>;
  /** Returns random numbers in [0, 1); replaced by tests. */
  random?: () => number;
}

/** A revision that another daemon has announced and this one has not reached. */
export interface AnnouncedRevision {
  readonly revision: number;
  /** Name of the daemon that announced it first. */
  readonly daemon: string;
  /** When, monotonic ms. */
  readonly at: number;
}

/**
 * How long the store waits for a change in one read, in ms. It also limits how long a call that was sent to a silent store
 * is waited for after the store answers again.
 */
const WATCH_WAIT_MILLISECONDS = 500;

/** The same wait after a failed call, in ms: until one is answered, changes since the last read are more than likely. */
const RETRY_WAIT_MILLISECONDS = 100;

/**
 * The same wait for a daemon that relays its reads, as a share of the pause between reads. It is shorter because the
 * daemons that depend on its reads must also learn in time that there was no change.
 */
const RELAY_WATCH_SHARE = 0.3;

/** Backoff of a daemon that reads the store for itself: after a single connection reset it loses a tenth of a second. */
export const READER_BACKOFF: StoreBackoff = { firstMilliseconds: 100, longestMilliseconds: 500 };

/**
 * Random reduction of the pause between reads of a daemon that relays them, as a share of the pause. If all daemons start
 * at once, they would otherwise keep reading at the same moments, and four of them would find a change no sooner than one.
 */
const RELAY_JITTER_SHARE = 0.4;

/** How often a daemon that gets relayed changes checks whether it still does, in ms. */
const RELAY_CHECK_MILLISECONDS = 150;

/**
 * Time that an answer may take, in addition to the wait for a change, before the store counts as unresponsive and other
 * daemons are asked, in ms. The slowest answer of a healthy store takes 240 ms.
 */
const ANSWER_MILLISECONDS = 250;

/** The same for a page of a full read, in ms: many daemons may start at once, and a page is up to a megabyte. */
const PAGE_MILLISECONDS = 2_600;

/**
 * Time after which the store counts as unresponsive if it has not shown a change that another daemon has announced, in
 * ms: it may answer the others and not this one.
 */
export const ANNOUNCEMENT_GRACE_MILLISECONDS = ANSWER_MILLISECONDS;

/** Random reduction of the backoff, as a share of it, so that daemons do not all call a store at once that is back. */
const BACKOFF_JITTER_SHARE = 0.5;

/** Duration below which an answer counts as quick, in ms: another daemon answers a request within this time. */
const QUICK_MILLISECONDS = 300;

/** Keeps the knowledge of this daemon up to date with the store, and reports whether the store answers. */
export class StoreFollower {
  private readonly options: Required<StoreFollowerOptions>;

  private revision: number | undefined;

  private lastAnswerAt: number;

  /** When this daemon's own read last showed the list, monotonic ms. */
  private confirmedAt = Number.NEGATIVE_INFINITY;

  private failures = 0;

  /** When the call in progress counts as unanswered, monotonic ms. */
  private answerDueAt = Number.POSITIVE_INFINITY;

  /** The newest revision that another daemon has announced. */
  private announced: AnnouncedRevision | undefined;

  private readonly toldVersions = new ToldVersions();

  /** The pages of a full read in progress, merged. */
  private pages: StorePage | undefined;

  private wake: (() => void) | undefined;

  /** Whether the next step reads the store although changes are relayed. */
  private mustRead = false;

  private stopped = false;

  /**
   * @param options - the store, the knowledge to update, and the intervals.
   */
  constructor(options: StoreFollowerOptions) {
    this.options = {
      sleep: wait,
      random: Math.random,
      isRelayed: () => false,
      pauses: () => READER_BACKOFF,
      isReadingForOthers: () => false,
      learnFromFleet: () => Promise.resolve(false),
      onRead: () => undefined,
      onQuickAnswer: () => undefined,
      ...options,
    };
    this.lastAnswerAt = options.clock.monotonicMilliseconds();
  }

  /** @returns Whether the store does not answer this daemon, or is behind a revision that another daemon has announced. */
  get isStoreUnresponsive(): boolean {
    const now = this.options.clock.monotonicMilliseconds();
    const announced = this.unreachedAnnouncement;
    const isBehind = announced && now - announced.at > ANNOUNCEMENT_GRACE_MILLISECONDS;
    return this.failures > 0 || isBehind === true || now > this.answerDueAt;
  }

  /** @returns Time since the store last answered this daemon, or a daemon that relays the store to it, in ms. */
  get readMilliseconds(): number {
    return this.options.clock.monotonicMilliseconds() - this.lastAnswerAt;
  }

  /**
   * @returns When the list of this daemon was last known to be current by its own read, monotonic ms: before the oldest change
   *   that it has been told of and has not seen.
   */
  get listConfirmedAt(): number {
    const { at = Number.POSITIVE_INFINITY } = this.unreachedAnnouncement ?? {};
    return Math.min(at, this.confirmedAt);
  }

  /** @returns The newest revision that another daemon has announced and this one has not reached, if there is one. */
  get unreachedAnnouncement(): AnnouncedRevision | undefined {
    const { announced } = this;
    return announced && announced.revision > this.options.knowledge.revision
      ? announced
      : undefined;
  }

  /** @returns Whether another daemon has told lately that it has a newer configuration than this one. */
  get isConfigurationBehind(): boolean {
    const now = this.options.clock.monotonicMilliseconds();
    return this.toldVersions.isBehind(this.configurationVersion, now);
  }

  /** Follows the store until {@link stop}. */
  async run(): Promise<void> {
    while (!this.stopped) await this.step();
  }

  /** Ends after the call in progress. */
  stop(): void {
    this.stopped = true;
    this.wake?.();
  }

  /**
   * Handles a revision that another daemon has announced: reads changes at once if it is newer than what is known.
   *
   * @param revision - store revision of the change.
   * @param daemon - name of the daemon that announced it.
   */
  handleAnnouncedRevision(revision: number, daemon: string): void {
    const { knowledge, clock } = this.options;
    if (revision <= Math.max(knowledge.revision, this.announced?.revision ?? 0)) return;
    this.announced = { revision, daemon, at: clock.monotonicMilliseconds() };
    this.wake?.();
  }

  /**
   * Handles the version of the configuration that another daemon has.
   *
   * @param version - the version.
   */
  handleToldVersion(version: number): void {
    const now = this.options.clock.monotonicMilliseconds();
    this.toldVersions.record(version, this.configurationVersion, now);
  }

  /**
   * Reads the store at once, also while changes are relayed.
   *
   * @param what - whether to read only changes or everything.
   */
  readNow(what: 'changes' | 'everything'): void {
    this.mustRead = true;
    if (what === 'everything') this.resetToFullRead();
    this.wake?.();
  }

  private get configurationVersion(): number {
    return configurationVersionOf(this.options.knowledge);
  }

  private resetToFullRead(): void {
    this.revision = undefined;
    this.pages = undefined;
  }

  private async step(): Promise<void> {
    if (this.revision !== undefined && !this.mustRead && this.options.isRelayed()) {
      await this.waitWhileRelayed();
      return;
    }
    this.mustRead = false;
    const { knowledge, clock } = this.options;
    const isFullReadDue = knowledge.isFullReadDue(clock.monotonicMilliseconds());
    if (this.revision !== undefined && isFullReadDue) this.resetToFullRead();
    try {
      if (this.revision === undefined || this.hasMissedRestore(this.revision)) await this.readAll();
      else await this.readChanges(this.revision);
      await this.pauseBetweenReads();
    } catch (error) {
      await this.handleFailure(error as Error);
    }
  }

  /**
   * Whether the store has been restored since this daemon last read it. Other daemons relay which runners, daemons and
   * evacuations a restored store has, but not the rest.
   */
  private hasMissedRestore(revision: number): boolean {
    return epochOf(revision) < epochOf(this.options.knowledge.revision);
  }

  /**
   * Waits while changes are relayed. The relaying daemons get answers from the store, so the failures and timeouts that
   * this daemon has recorded are reset and do not count when it reads for itself again.
   */
  private async waitWhileRelayed(): Promise<void> {
    const { clock } = this.options;
    this.lastAnswerAt = clock.monotonicMilliseconds();
    this.failures = 0;
    this.announced = undefined;
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
    knowledge.applyFullRead(read, clock.monotonicMilliseconds());
    this.revision = read.revision;
    this.confirmedAt = clock.monotonicMilliseconds();
    onRead();
  }

  /** Reads the next page. Earlier pages are kept if it fails, so that a store that refuses calls gets fewer of them. */
  private async readNextPage(): Promise<StorePage> {
    const { store, clock } = this.options;
    const before = this.pages;
    const calledAt = clock.monotonicMilliseconds();
    this.answerDueAt = calledAt + PAGE_MILLISECONDS;
    const { revision, facts, next } = await store.readPage(before?.next);
    this.answered(calledAt);
    if (before && epochOf(before.revision) !== epochOf(revision))
      throw new HistoryLost('the store has been restored between two pages of a full read');
    const all = [...(before?.facts ?? []), ...facts];
    this.pages = { revision: before?.revision ?? revision, facts: all, next };
    return this.pages;
  }

  private async readChanges(revision: number): Promise<void> {
    const { store, knowledge, clock, onRead, gatherMilliseconds, isReadingForOthers } =
      this.options;
    const longestWait = isReadingForOthers()
      ? Math.round(gatherMilliseconds * RELAY_WATCH_SHARE)
      : WATCH_WAIT_MILLISECONDS;
    const waitMilliseconds =
      this.failures > 0 ? Math.min(longestWait, RETRY_WAIT_MILLISECONDS) : longestWait;
    // Changes that other daemons have relayed since the last read are known already.
    const after = Math.max(revision, knowledge.revision);
    const calledAt = clock.monotonicMilliseconds();
    this.answerDueAt = calledAt + waitMilliseconds + ANSWER_MILLISECONDS;
    const read = await store.readChanges(after, waitMilliseconds);
    this.answered(calledAt);
    knowledge.applyChanges(read, clock.monotonicMilliseconds());
    this.revision = read.revision;
    this.confirmedAt = clock.monotonicMilliseconds();
    onRead();
  }

  /** Pauses between two reads, but only until another daemon announces a revision that is not known here. */
  private async pauseBetweenReads(): Promise<void> {
    const { gatherMilliseconds, isReadingForOthers, random } = this.options;
    if (!this.unreachedAnnouncement) this.announced = undefined;
    const jitter = isReadingForOthers() ? RELAY_JITTER_SHARE * random() : 0;
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
    const unansweredMilliseconds = now - this.lastAnswerAt;
    this.lastAnswerAt = now;
    this.answerDueAt = Number.POSITIVE_INFINITY;
    knowledge.recordStoreAnswer(now);
    if (this.failures === 0) return;
    log.write(syncLogEvents.storeRegained, {
      milliseconds: Math.round(unansweredMilliseconds),
      failures: this.failures,
    });
    this.failures = 0;
  }

  private get positionFields(): { revision?: number; epoch?: number } {
    return this.revision === undefined ? {} : revisionFields(this.revision);
  }

  private async handleFailure(error: Error): Promise<void> {
    const { log, sleep, knowledge, pauses, random } = this.options;
    this.answerDueAt = Number.POSITIVE_INFINITY;
    if (error instanceof HistoryLost) {
      const reason = error.message;
      log.write(syncLogEvents.historyLost, { ...this.positionFields, reason });
      this.resetToFullRead();
      return;
    }
    knowledge.recordStoreFailure();
    if (this.failures === 0) {
      log.write(syncLogEvents.storeLost, { error: error.message, ...this.positionFields });
    }
    const { firstMilliseconds, longestMilliseconds } = pauses();
    const pause = Math.min(longestMilliseconds, firstMilliseconds * 2 ** this.failures);
    this.failures += 1;
    await sleep(Math.round(pause * (1 - BACKOFF_JITTER_SHARE * random())));
  }
}
