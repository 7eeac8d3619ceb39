/**
 * Decides which requests are sent to no more runners because those that ran them have crashed.
 *
 * A crash speaks against all that ran there. A request is told from its neighbours by the number of runners that ended
 * under it without any that has answered it: neighbours are answered by the next runner.
 */
import murmurhash from 'murmurhash';

import { CrashRecord } from './CrashRecord.js';
import type { CrashNews, RequestStanding, RunnerCrash } from './quarantineTypes.js';
import { RecentAnswers } from './RecentAnswers.js';

/** A request in quarantine may try again after this time, in ms. */
export const QUARANTINE_MILLISECONDS = 86_400_000;

/** A crash that no other one follows is forgotten after this time, in ms. */
const SUSPICION_MILLISECONDS = 3_600_000;

/** Requests that something is known of; those with the fewest crashes go first. */
const MAXIMUM_RECORDS = 1_024;

/** Requests that one crash makes suspect: of those with as many crashes the ones that began last. */
const MAXIMUM_SUSPECTS = 32;

/** From this many crashes on a request is worth telling to daemons that have not seen any of them. */
const TOLD_CRASHES = 2;

/**
 * @param news - of a request.
 * @returns Whether daemons that have seen none of the crashes should know it.
 */
export function isNotable({ crashes }: CrashNews): boolean {
  return crashes.length >= TOLD_CRASHES;
}

/**
 * @param news - of requests.
 * @returns The same for the same requests.
 */
export function hashOfRequests(news: readonly CrashNews[]): number {
  const digests = news.map(({ digest }) => digest).sort();
  return murmurhash.v3(digests.join());
}

/** Hears of requests whose standing changes. */
export type StandingListener = (digest: string, before: RequestStanding) => void;

/** Options of a {@link QuarantineDecisions}. */
export interface QuarantineDecisionsOptions {
  onStanding?: StandingListener;
}

/** Holds the records. */
export class QuarantineDecisions {
  private readonly records = new Map<string, CrashRecord>();

  private readonly answers = new RecentAnswers();

  private readonly onStanding: StandingListener;

  private keptHash: number | undefined;

  /** Digests of records that have changed since they were last taken, by whether this daemon saw the cause itself. */
  private changed = new Map<string, 'seen' | 'told'>();

  /**
   * @param options - who hears of changes.
   */
  constructor({ onStanding = () => undefined }: QuarantineDecisionsOptions = {}) {
    this.onStanding = onStanding;
  }

  /** @returns How many requests are in quarantine. */
  get quarantinedCount(): number {
    return this.quarantined().length;
  }

  /** @returns The same for two daemons that have the same requests in quarantine. */
  get quarantinedHash(): number {
    this.keptHash ??= hashOfRequests(this.quarantined());
    return this.keptHash;
  }

  /**
   * @param digest - of a request.
   * @returns What may be done with it.
   */
  standingOf(digest: string): RequestStanding {
    return this.records.get(digest)?.standing ?? 'sound';
  }

  /**
   * @param digest - of a request.
   * @returns Crashes of runners that count against it.
   */
  crashesOf(digest: string): number {
    return this.records.get(digest)?.counted.length ?? 0;
  }

  /**
   * @param digest - of a request in quarantine.
   * @param now - monotonic ms.
   * @returns Until it may try again, in ms.
   */
  remainingMilliseconds(digest: string, now: number): number {
    const touchedAt = this.records.get(digest)?.touchedAt ?? now;
    return Math.max(0, touchedAt + QUARANTINE_MILLISECONDS - now);
  }

  /**
   * A runner of which this daemon had requests has crashed.
   *
   * @param digests - of these requests, the one that began last first.
   * @param crash - of the runner.
   * @param now - monotonic ms.
   */
  crashed(digests: readonly string[], crash: RunnerCrash, now: number): void {
    const suspects = [...new Set(digests)]
      .sort((one, other) => this.crashesOf(other) - this.crashesOf(one))
      .slice(0, MAXIMUM_SUSPECTS);
    for (const digest of suspects) {
      this.update({ digest, crashes: [crash], clearedAt: undefined }, 'seen', now);
    }
    this.limit(now);
  }

  /**
   * @param digest - of a request that a runner has answered.
   * @param now - monotonic ms.
   */
  answered(digest: string, now: number): void {
    this.answers.record(digest, now);
    const record = this.records.get(digest);
    if (!record) return;
    const before = record.standing;
    if (record.answered(now)) this.note(record, before, 'seen');
  }

  /**
   * Lets a request be sent to runners again.
   *
   * @param digest - of the request.
   * @param now - monotonic ms.
   * @returns Whether it was kept from any.
   */
  release(digest: string, now: number): boolean {
    const record = this.records.get(digest);
    if (!record) return false;
    const before = record.standing;
    if (record.clear(now)) this.note(record, before, 'seen');
    return before === 'quarantined';
  }

  /**
   * @param news - of another daemon.
   * @param now - monotonic ms.
   */
  merge(news: readonly CrashNews[], now: number): void {
    for (const one of news) this.update(one, 'told', now);
    this.limit(now);
  }

  /** @returns What all daemons should know, the gravest first. */
  notable(): CrashNews[] {
    return [...this.records.values()]
      .sort((one, other) => other.counted.length - one.counted.length)
      .map((record) => record.toNews())
      .filter(isNotable);
  }

  /** @returns What is kept from runners. */
  quarantined(): CrashNews[] {
    return [...this.records.values()]
      .filter(({ standing }) => standing === 'quarantined')
      .map((record) => record.toNews());
  }

  /**
   * @param digest - of a request.
   * @returns What is known of it.
   */
  newsOf(digest: string): CrashNews | undefined {
    return this.records.get(digest)?.toNews();
  }

  /** @returns Digests that have changed since the last call, by whether this daemon saw the cause itself. */
  takeChanged(): ReadonlyMap<string, 'seen' | 'told'> {
    const { changed } = this;
    if (changed.size > 0) this.changed = new Map();
    return changed;
  }

  /**
   * Forgets what is too old.
   *
   * @param now - monotonic ms.
   */
  expire(now: number): void {
    for (const record of this.records.values()) this.forgetOld(record, now);
  }

  private update({ digest, crashes, clearedAt }: CrashNews, source: 'seen' | 'told', now: number) {
    const record = this.records.get(digest) ?? new CrashRecord(digest);
    const before = record.standing;
    const added = crashes.filter((crash) => record.add(crash)).length > 0;
    const cleared = clearedAt !== undefined && record.clear(clearedAt);
    if (added || cleared) {
      this.records.set(digest, record);
      // Told of a crash, this daemon may know better: it has answers that the teller does not know of.
      const answeredAt = this.answers.of(digest);
      const knowsBetter = answeredAt !== undefined && record.answered(answeredAt);
      this.note(record, before, knowsBetter ? 'seen' : source);
    }
    this.forgetOld(record, now);
  }

  private note(record: CrashRecord, before: RequestStanding, source: 'seen' | 'told'): void {
    const { digest, standing } = record;
    this.keptHash = undefined;
    if (this.changed.get(digest) !== 'seen') this.changed.set(digest, source);
    if (standing !== before) this.onStanding(digest, before);
  }

  private forgetOld(record: CrashRecord, now: number): void {
    const isQuarantined = record.standing === 'quarantined';
    const life = isQuarantined ? QUARANTINE_MILLISECONDS : SUSPICION_MILLISECONDS;
    if (now - record.touchedAt < life) return;
    this.records.delete(record.digest);
    this.keptHash = undefined;
    if (isQuarantined) this.onStanding(record.digest, 'quarantined');
  }

  private limit(now: number): void {
    this.expire(now);
    if (this.records.size <= MAXIMUM_RECORDS) return;
    const byWorth = [...this.records.values()].sort(
      (one, other) => one.counted.length - other.counted.length || one.touchedAt - other.touchedAt,
    );
    const superfluous = byWorth.slice(0, this.records.size - MAXIMUM_RECORDS);
    for (const { digest } of superfluous) this.records.delete(digest);
    this.keptHash = undefined;
  }
}
