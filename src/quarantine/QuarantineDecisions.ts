/**
 * Decides which requests are sent to no more runners because the runners that ran them have crashed.
 *
 * A crash counts against all requests that were running there, and against the parts of their prompts. What causes
 * crashes is told from the rest by the number of runners that crashed while running it before any runner answered it;
 * the rest is answered by the next runner.
 */
import murmurhash from 'murmurhash';

import { CrashRecord } from './CrashRecord.js';
import { CrashRecords } from './CrashRecords.js';
import { CrashVerdicts } from './CrashVerdicts.js';
import type { CrashVerdictsOptions } from './CrashVerdicts.js';
import type { CrashVerdict } from './explainCrashes.js';
import type {
  CrashSubject,
  CrashSummary,
  RunnerCrash,
  SubjectState,
  VersionAnswer,
} from './quarantineTypes.js';
import { RecentAnswers } from './RecentAnswers.js';
import { RecentRejections } from './RecentRejections.js';
import type { RequestSubjects } from './requestSubjects.js';
import { suspectsAmong } from './suspectsAmong.js';

/** Time after the last crash at which a quarantine ends, in ms. */
const QUARANTINE_MILLISECONDS = 86_400_000;

/** Time after which the crashes of a subject that is not quarantined are forgotten, in ms. */
const SUSPICION_MILLISECONDS = 3_600_000;

/**
 * Weight of its crashes from which on a subject is broadcast to daemons that have observed none of them.
 */
const MINIMUM_BROADCAST_CRASHES = 2;

/**
 * @param news - crashes of several subjects.
 * @returns A hash of the digests; equal for equal sets of subjects.
 */
export function hashOfSubjects(news: readonly CrashSummary[]): number {
  const digests = news.map(({ digest }) => digest).sort();
  return murmurhash.v3(digests.join());
}

/** Holds the crash records. */
export class QuarantineDecisions {
  private readonly records = new CrashRecords();

  private readonly answers = new RecentAnswers();

  private readonly rejections = new RecentRejections();

  private readonly verdicts: CrashVerdicts;

  private cachedHash: number | undefined;

  /**
   * Digests of records that have changed since they were last taken; `seen` if this daemon observed the cause itself,
   * `told` if another daemon reported it.
   */
  private changed = new Map<string, 'seen' | 'told'>();

  /**
   * @param options - the listeners for changes.
   */
  constructor(options: CrashVerdictsOptions = {}) {
    this.verdicts = new CrashVerdicts(options);
  }

  /** @returns Number of quarantined subjects. */
  get quarantinedCount(): number {
    return this.verdicts.quarantined.size;
  }

  /** @returns Number of quarantined parts of prompts. */
  get quarantinedPartCount(): number {
    return this.quarantined().filter(({ part }) => part !== undefined).length;
  }

  /**
   * @returns A hash of the quarantined subjects; equal for daemons that have quarantined the same ones.
   */
  get quarantinedHash(): number {
    this.cachedHash ??= hashOfSubjects(this.quarantined());
    return this.cachedHash;
  }

  /**
   * @param digest - digest of a subject.
   * @returns Its state.
   */
  stateOf(digest: string): SubjectState {
    if (this.verdicts.quarantined.has(digest)) return 'quarantined';
    return this.crashesOf(digest) > 0 ? 'suspect' : 'sound';
  }

  /**
   * @param digest - digest of a subject.
   * @returns Number of crashes, or moments with crashes, that count against it and that nothing else explains.
   */
  crashesOf(digest: string): number {
    const record = this.records.of(digest);
    return record ? this.verdicts.weightOf(record) : 0;
  }

  /**
   * @param subjects - subjects of a request: the whole, and the parts of its prompt.
   * @param now - monotonic ms.
   * @returns Whether a part of other prompts explains the crashes that count against the whole.
   */
  isExplainedElsewhere([whole, ...parts]: readonly CrashSubject[], now: number): boolean {
    const record = whole && this.records.of(whole.digest);
    if (!record) return false;
    const digests = new Set(parts.map(({ digest }) => digest));
    return this.verdicts.isExplainedElsewhere(record, digests, now);
  }

  /**
   * @param subjects - subjects of a request.
   * @returns Why the request must not run; `undefined` if it may.
   */
  verdictOn(subjects: readonly CrashSubject[]): CrashVerdict | undefined {
    return this.verdicts.against(subjects);
  }

  /**
   * @param digest - digest of a subject.
   * @param versionHash - hash of a software version.
   * @returns Whether runners of this version have answered the subject, and none has crashed since.
   */
  isAnsweredAt(digest: string, versionHash: number): boolean {
    const record = this.records.of(digest);
    if (record?.hasCrashedAt(versionHash)) return false;
    if (record?.isExcusedAt(versionHash)) return true;
    return this.answers.of(record ?? { digest }, versionHash) !== undefined;
  }

  /**
   * @param subjects - subjects of a request.
   * @returns The request as a whole, then the parts of its prompt that have a record; the others are sound.
   */
  recordedAmong(subjects: RequestSubjects): CrashSubject[] {
    return this.records.recordedAmong(subjects);
  }

  /**
   * Chooses what a crash may be due to.
   *
   * @param requests - the interrupted requests, the one that began last first.
   * @param crash - the crash.
   * @returns The requests, and a bounded number of the parts of their prompts.
   */
  suspectsAmong(requests: readonly RequestSubjects[], crash: RunnerCrash): CrashSubject[] {
    return suspectsAmong(requests, crash, { records: this.records, answers: this.answers });
  }

  /**
   * Records the crash of a runner on which requests of this daemon were running.
   *
   * @param subjects - subjects of these requests, those of the one that began last first.
   * @param crash - the crash.
   * @param now - monotonic ms.
   */
  crashed(subjects: readonly CrashSubject[], crash: RunnerCrash, now: number): void {
    for (const subject of subjects) {
      this.update({ ...subject, crashes: [crash], clearedAt: undefined }, 'seen', now);
    }
    this.dropExcess(now);
    this.refresh(now);
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
    for (const record of this.records.all) {
      const isConcerned = record.hasCrashOf(life);
      if (isConcerned && this.excuseOverload(record)) this.recordChange(record, 'seen');
    }
    this.refresh(now);
  }

  /**
   * Records that a runner has answered requests, which clears earlier crashes.
   *
   * @param digests - digests of their subjects.
   * @param now - monotonic ms.
   * @param versionHash - hash of the version of the runner's software.
   */
  answered(digests: readonly string[], now: number, versionHash = 0): void {
    const answer = { versionHash, at: now };
    this.answers.record(digests, answer);
    for (const digest of digests) this.clearAnswered(this.records.of(digest), answer);
    this.refresh(now);
  }

  /**
   * Records that a runner has answered requests with parts of prompts.
   *
   * @param keys - keys of the parts.
   * @param now - monotonic ms.
   * @param versionHash - hash of the version of the runner's software.
   */
  partsAnswered(keys: Iterable<number>, now: number, versionHash = 0): void {
    const answer = { versionHash, at: now };
    this.answers.record(keys, answer);
    if (!this.records.hasParts) return;
    for (const key of keys) this.clearAnswered(this.records.ofPart(key), answer);
    this.refresh(now);
  }

  /**
   * Lets requests with a subject be sent to runners again, and with those that cannot be told apart from it.
   *
   * @param digest - digest of the subject.
   * @param now - monotonic ms.
   * @returns Whether it was quarantined.
   */
  release(digest: string, now: number): boolean {
    const group = this.verdicts.groupOf(digest);
    for (const one of group) {
      const record = this.records.of(one);
      if (record?.clear(now)) this.recordChange(record, 'seen');
    }
    this.refresh(now);
    return group.length > 0;
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
    this.refresh(now);
  }

  /** @returns The records that all daemons should know, those with the most crashes first. */
  broadcastable(): CrashSummary[] {
    return [...this.records.all]
      .filter((record) => this.isForAll(record))
      .sort((one, other) => other.countedCrashes.length - one.countedCrashes.length)
      .map((record) => record.toSummary());
  }

  /**
   * @param digest - digest of a subject.
   * @returns Its record, if daemons that have observed none of its crashes should know of them.
   */
  broadcastSummaryOf(digest: string): CrashSummary | undefined {
    const record = this.records.of(digest);
    return record && this.isForAll(record) ? record.toSummary() : undefined;
  }

  /** @returns The records of quarantined subjects. */
  quarantined(): CrashSummary[] {
    return [...this.verdicts.quarantined]
      .map((digest) => this.summaryOf(digest))
      .filter((summary) => summary !== undefined);
  }

  /**
   * @param digest - digest of a subject.
   * @returns Its record; `undefined` if there is none.
   */
  summaryOf(digest: string): CrashSummary | undefined {
    return this.records.of(digest)?.toSummary();
  }

  /**
   * @param digest - digest of a subject.
   * @returns Service and id of a part; `undefined` for a whole request, or if there is no record.
   */
  partOf(digest: string): string | undefined {
    return this.records.of(digest)?.part;
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
    this.forgetAllOld(now);
    this.refresh(now);
  }

  /** Crashes of one moment alone are not, or each part that runs everywhere would be told when many runners end at once. */
  private isForAll(record: CrashRecord): boolean {
    return this.verdicts.weighAll(record) >= MINIMUM_BROADCAST_CRASHES;
  }

  private clearAnswered(record: CrashRecord | undefined, answer: VersionAnswer): void {
    if (record?.answered(answer)) this.recordChange(record, 'seen');
  }

  private update(summary: CrashSummary, source: 'seen' | 'told', now: number): void {
    const { digest, crashes, clearedAt, answers = [] } = summary;
    const record = this.records.of(digest) ?? new CrashRecord(summary);
    record.rename(summary.part);
    const hadCrashes = record.countedCrashes.length > 0;
    for (const crash of crashes) this.verdicts.noteCrash(crash);
    const isAdded = crashes.filter((crash) => record.add(crash)).length > 0;
    const isReleased = clearedAt !== undefined && record.clear(clearedAt);
    const isExcused = answers.filter((answer) => record.excuse(answer)).length > 0;
    if (isAdded || isReleased || isExcused) {
      this.records.add(record);
      // This daemon may have seen an answer or an overload that the sender of the report does not know of.
      const wasAnswered = this.applyAnswers(record);
      const isOverload = this.excuseOverload(record);
      // What this daemon has seen and excused at once is worth no message.
      const isNews = source === 'told' || hadCrashes || record.countedCrashes.length > 0;
      if (isNews) this.recordChange(record, wasAnswered || isOverload ? 'seen' : source);
    }
    this.forgetOld(record, now);
  }

  /** @returns Whether an answer that this daemon has seen excuses a crash of the record. */
  private applyAnswers(record: CrashRecord): boolean {
    const versions = new Set(record.countedCrashes.map(({ versionHash = 0 }) => versionHash));
    const changing = [...versions].filter((versionHash) => {
      const at = this.answers.of(record, versionHash);
      return at !== undefined && record.answered({ versionHash, at });
    });
    return changing.length > 0;
  }

  /** @returns Whether a crash of the record turned out to be one of overload. */
  private excuseOverload(record: CrashRecord): boolean {
    const excused = record.countedCrashes.filter((crash) => this.rejections.explain(crash));
    for (const crash of excused) record.add({ ...crash, isOverload: true });
    return excused.length > 0;
  }

  private recordChange(record: CrashRecord, source: 'seen' | 'told'): void {
    const { digest } = record;
    if (this.changed.get(digest) !== 'seen') this.changed.set(digest, source);
    this.verdicts.note(record);
  }

  private forgetAllOld(now: number): void {
    for (const record of this.records.all) this.forgetOld(record, now);
  }

  private forgetOld(record: CrashRecord, now: number): void {
    const isQuarantined = this.verdicts.quarantined.has(record.digest);
    const life = isQuarantined ? QUARANTINE_MILLISECONDS : SUSPICION_MILLISECONDS;
    if (now - record.updatedAt >= life) this.forget(record.digest);
  }

  private forget(digest: string): void {
    this.records.delete(digest);
    this.verdicts.forget(digest);
  }

  private dropExcess(now: number): void {
    if (!this.records.isFull) return;
    this.forgetAllOld(now);
    for (const { digest } of this.records.excess()) this.forget(digest);
  }

  private refresh(now: number): void {
    if (this.verdicts.refresh(now)) this.cachedHash = undefined;
  }
}
