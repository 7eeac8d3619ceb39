/**
 * Decides which requests are sent to no more runners because the runners that ran them have crashed.
 *
 * A crash counts against all requests that were running there. The one that causes crashes is told from the others by
 * the number of runners that crashed while running it before any runner answered it; the others are answered by the
 * next runner.
 */
import murmurhash from 'murmurhash';

import { CrashRecord } from './CrashRecord.js';
import type { CrashSummary, RequestState, RunnerCrash } from './quarantineTypes.js';
import { RecentAnswers } from './RecentAnswers.js';
import { RecentRejections } from './RecentRejections.js';

/** Time after the last crash at which a quarantined request may be tried again, in ms. */
export const QUARANTINE_MILLISECONDS = 86_400_000;

/** Time after which the crashes of a request that is not quarantined are forgotten, in ms. */
const SUSPICION_MILLISECONDS = 3_600_000;

/** Maximum number of records; those with the fewest crashes are dropped first. */
const MAXIMUM_RECORDS = 1_024;

/**
 * Maximum number of requests that one crash makes suspect; among those with equal numbers of crashes, the ones that
 * began last are chosen.
 */
const MAXIMUM_SUSPECTS = 32;

/**
 * Number of crashes from which on a request is broadcast to daemons that have observed none of them.
 */
const MINIMUM_BROADCAST_CRASHES = 2;

/**
 * @param news - crashes of a request.
 * @returns Whether daemons that have observed none of the crashes should know of them.
 */
export function shouldBroadcast({ crashes }: CrashSummary): boolean {
  return crashes.length >= MINIMUM_BROADCAST_CRASHES;
}

/**
 * @param news - crashes of several requests.
 * @returns A hash of the digests; equal for equal sets of requests.
 */
export function hashOfRequests(news: readonly CrashSummary[]): number {
  const digests = news.map(({ digest }) => digest).sort();
  return murmurhash.v3(digests.join());
}

/** Called when the state of a request changes. */
export type StateChangeListener = (digest: string, before: RequestState) => void;

/** Options of a {@link QuarantineDecisions}. */
export interface QuarantineDecisionsOptions {
  onStateChange?: StateChangeListener;
}

/** Holds the crash records. */
export class QuarantineDecisions {
  private readonly records = new Map<string, CrashRecord>();

  private readonly answers = new RecentAnswers();

  private readonly rejections = new RecentRejections();

  private readonly onStateChange: StateChangeListener;

  private cachedHash: number | undefined;

  /**
   * Digests of records that have changed since they were last taken; `seen` if this daemon observed the cause itself,
   * `told` if another daemon reported it.
   */
  private changed = new Map<string, 'seen' | 'told'>();

  /**
   * @param options - the listener for changes.
   */
  constructor({ onStateChange = () => undefined }: QuarantineDecisionsOptions = {}) {
    this.onStateChange = onStateChange;
  }

  /** @returns Number of quarantined requests. */
  get quarantinedCount(): number {
    return this.quarantined().length;
  }

  /**
   * @returns A hash of the quarantined requests; equal for daemons that have quarantined the same ones.
   */
  get quarantinedHash(): number {
    this.cachedHash ??= hashOfRequests(this.quarantined());
    return this.cachedHash;
  }

  /**
   * @param digest - digest of a request.
   * @returns Its state.
   */
  stateOf(digest: string): RequestState {
    return this.records.get(digest)?.state ?? 'sound';
  }

  /**
   * @param digest - digest of a request.
   * @returns Number of crashes that count against it.
   */
  crashesOf(digest: string): number {
    return this.records.get(digest)?.countedCrashes.length ?? 0;
  }

  /**
   * @param digest - digest of a quarantined request.
   * @param now - monotonic ms.
   * @returns Time until it may be tried again, in ms.
   */
  remainingMilliseconds(digest: string, now: number): number {
    const touchedAt = this.records.get(digest)?.updatedAt ?? now;
    return Math.max(0, touchedAt + QUARANTINE_MILLISECONDS - now);
  }

  /**
   * Records the crash of a runner on which requests of this daemon were running.
   *
   * @param digests - digests of these requests, the one that began last first.
   * @param crash - the crash.
   * @param now - monotonic ms.
   */
  crashed(digests: readonly string[], crash: RunnerCrash, now: number): void {
    const suspects = [...new Set(digests)]
      .sort((one, other) => this.crashesOf(other) - this.crashesOf(one))
      .slice(0, MAXIMUM_SUSPECTS);
    for (const digest of suspects) {
      this.update({ digest, crashes: [crash], clearedAt: undefined }, 'seen', now);
    }
    this.dropExcess(now);
  }

  /**
   * Records that a runner that crashes when it rejects too many requests has rejected one. Its crashes at about this time
   * count against no request.
   *
   * @param life - hash of the name of its incarnation.
   * @param now - monotonic ms.
   */
  rejected(life: number, now: number): void {
    this.rejections.record(life, now);
    for (const record of this.records.values()) {
      const before = record.state;
      if (this.excuse(record)) this.recordChange(record, before, 'seen');
    }
  }

  /**
   * Records that a runner has answered a request, which clears earlier crashes.
   *
   * @param digest - digest of the request.
   * @param now - monotonic ms.
   */
  answered(digest: string, now: number): void {
    this.answers.record(digest, now);
    const record = this.records.get(digest);
    if (!record) return;
    const before = record.state;
    if (record.answered(now)) this.recordChange(record, before, 'seen');
  }

  /**
   * Lets a request be sent to runners again.
   *
   * @param digest - digest of the request.
   * @param now - monotonic ms.
   * @returns Whether it was quarantined.
   */
  release(digest: string, now: number): boolean {
    const record = this.records.get(digest);
    if (!record) return false;
    const before = record.state;
    if (record.clear(now)) this.recordChange(record, before, 'seen');
    return before === 'quarantined';
  }

  /**
   * Merges the records of another daemon.
   *
   * @param news - its records.
   * @param now - monotonic ms.
   */
  merge(news: readonly CrashSummary[], now: number): void {
    for (const one of news) this.update(one, 'told', now);
    this.dropExcess(now);
  }

  /** @returns The records that all daemons should know, those with the most crashes first. */
  broadcastable(): CrashSummary[] {
    return [...this.records.values()]
      .sort((one, other) => other.countedCrashes.length - one.countedCrashes.length)
      .map((record) => record.toSummary())
      .filter(shouldBroadcast);
  }

  /** @returns The records of quarantined requests. */
  quarantined(): CrashSummary[] {
    return [...this.records.values()]
      .filter(({ state: standing }) => standing === 'quarantined')
      .map((record) => record.toSummary());
  }

  /**
   * @param digest - digest of a request.
   * @returns Its record; `undefined` if there is none.
   */
  summaryOf(digest: string): CrashSummary | undefined {
    return this.records.get(digest)?.toSummary();
  }

  /**
   * @returns Digests that have changed since the last call; `seen` if this daemon observed the cause itself, `told`
   * if another daemon reported it.
   */
  takeChanged(): ReadonlyMap<string, 'seen' | 'told'> {
    const { changed } = this;
    if (changed.size > 0) this.changed = new Map();
    return changed;
  }

  /**
   * Removes records that are too old.
   *
   * @param now - monotonic ms.
   */
  expire(now: number): void {
    for (const record of this.records.values()) this.forgetOld(record, now);
  }

  private update(
    { digest, crashes, clearedAt }: CrashSummary,
    source: 'seen' | 'told',
    now: number,
  ) {
    const record = this.records.get(digest) ?? new CrashRecord(digest);
    const before = record.state;
    const added = crashes.filter((crash) => record.add(crash)).length > 0;
    const cleared = clearedAt !== undefined && record.clear(clearedAt);
    if (added || cleared) {
      this.records.set(digest, record);
      // This daemon may have seen an answer that the sender of the report does not know of.
      const answeredAt = this.answers.of(digest);
      const wasAnswered = answeredAt !== undefined && record.answered(answeredAt);
      const isExcused = this.excuse(record);
      this.recordChange(record, before, wasAnswered || isExcused ? 'seen' : source);
    }
    this.forgetOld(record, now);
  }

  /** @returns Whether a crash of the record turned out to be one of overload. */
  private excuse(record: CrashRecord): boolean {
    const excused = record.countedCrashes.filter((crash) => this.rejections.explain(crash));
    for (const crash of excused) record.add({ ...crash, isOverload: true });
    return excused.length > 0;
  }

  private recordChange(record: CrashRecord, before: RequestState, source: 'seen' | 'told'): void {
    const { digest, state: standing } = record;
    this.cachedHash = undefined;
    if (this.changed.get(digest) !== 'seen') this.changed.set(digest, source);
    if (standing !== before) this.onStateChange(digest, before);
  }

  private forgetOld(record: CrashRecord, now: number): void {
    const isQuarantined = record.state === 'quarantined';
    const life = isQuarantined ? QUARANTINE_MILLISECONDS : SUSPICION_MILLISECONDS;
    if (now - record.updatedAt < life) return;
    this.records.delete(record.digest);
    this.cachedHash = undefined;
    if (isQuarantined) this.onStateChange(record.digest, 'quarantined');
  }

  private dropExcess(now: number): void {
    this.expire(now);
    if (this.records.size <= MAXIMUM_RECORDS) return;
    const fewestCrashesFirst = [...this.records.values()].sort(
      (one, other) =>
        one.countedCrashes.length - other.countedCrashes.length || one.updatedAt - other.updatedAt,
    );
    const excess = fewestCrashesFirst.slice(0, this.records.size - MAXIMUM_RECORDS);
    for (const { digest } of excess) this.records.delete(digest);
    this.cachedHash = undefined;
  }
}
