/**
 * Runner crashes that occurred while requests with a given subject were running there, and which of them still count
 * against it.
 */
import { setLatest } from '../collections/setLatest.js';
import type { CrashSubject, CrashSummary, RunnerCrash, VersionAnswer } from './quarantineTypes.js';

/**
 * Two reports of the same incarnation at most this far apart are the same crash, in ms. Reports hold ages, so that one
 * that is held up on the way makes the crash look later; a runner hardly starts again, under the same incarnation name,
 * and crashes again within this time.
 */
const SAME_CRASH_MILLISECONDS = 4_000;

/** Name of a part of which only the digest is known. */
export const UNNAMED_PART = '?';

/** Maximum number of crashes kept for a subject; the oldest are dropped. */
const MAXIMUM_CRASHES = 12;

/** Maximum number of software versions whose answers are kept; those that answered last. */
const MAXIMUM_VERSIONS = 4;

/** An answer excuses a crash up to this long after it; in ms. */
export const TRUST_MILLISECONDS = 5_000;

/**
 * Crashes within this time of the first one that an answer excuses are excused with it, in ms: many runners may end
 * for one reason. Later ones count unless there was another answer, or a popular subject that begins to crash runners
 * would be trusted for long.
 */
const COMMON_CAUSE_MILLISECONDS = 1_000;

/**
 * @param one - a crash.
 * @param other - another report of a crash.
 * @returns Whether both are the same crash.
 */
export function isSameCrash(one: RunnerCrash, other: RunnerCrash): boolean {
  return one.life === other.life && Math.abs(one.at - other.at) <= SAME_CRASH_MILLISECONDS;
}

/** Crashes of one subject; see the comment of the module. */
export class CrashRecord {
  readonly digest: string;

  private name: string | undefined;

  private readonly crashes: RunnerCrash[] = [];

  private releasedAt = Number.NEGATIVE_INFINITY;

  /** Up to when crashes are excused by answers, in monotonic ms, by the hash of the software version. */
  private excusedUntil: Map<number, number> | undefined;

  /**
   * @param subject - the subject.
   */
  constructor({ digest, part }: CrashSubject) {
    this.digest = digest;
    this.name = part;
  }

  /** @returns Service and id of a part; `undefined` for a whole request. */
  get part(): string | undefined {
    return this.name;
  }

  /**
   * Names a part of which only the digest was known.
   *
   * @param part - service and id of the part.
   */
  rename(part: string | undefined): void {
    if (this.name === UNNAMED_PART && part !== undefined) this.name = part;
  }

  /** @returns Crashes since the subject was last answered or released, without those of overload. */
  get countedCrashes(): readonly RunnerCrash[] {
    return this.crashes.filter(
      (crash) => !crash.isOverload && crash.at > this.clearedUntil(crash.versionHash),
    );
  }

  /**
   * @param life - hash of the name of an incarnation.
   * @returns Whether a crash of it is known, counted or not.
   */
  hasCrashOf(life: number): boolean {
    return this.crashes.some((crash) => crash.life === life);
  }

  /** @returns When the record last changed, in monotonic ms. */
  get updatedAt(): number {
    const crashedAt = this.crashes.map(({ at }) => at);
    return Math.max(this.releasedAt, ...(this.excusedUntil?.values() ?? []), ...crashedAt);
  }

  /**
   * @param versionHash - hash of a software version.
   * @returns Whether a crash of a runner of this version counts.
   */
  hasCrashedAt(versionHash: number): boolean {
    return this.countedCrashes.some((crash) => (crash.versionHash ?? 0) === versionHash);
  }

  /**
   * @param versionHash - hash of a software version.
   * @returns Whether an answer of a runner of this version is known.
   */
  isExcusedAt(versionHash: number): boolean {
    return this.excusedUntil?.has(versionHash) ?? false;
  }

  /**
   * Adds a crash, or moves a known one to the earlier of its two times. A crash that anybody knows to be one of overload
   * is one.
   *
   * @param crash - crash of a runner on which a request with the subject was running.
   * @returns Whether the crash, or that it is one of overload, was unknown.
   */
  add(crash: RunnerCrash): boolean {
    const known = this.crashes.findIndex((one) => isSameCrash(one, crash));
    const before = this.crashes[known];
    if (before) {
      const isOverload = before.isOverload === true || crash.isOverload === true;
      const at = Math.min(before.at, crash.at);
      this.crashes[known] = { ...before, at, ...(isOverload && { isOverload }) };
      return isOverload !== (before.isOverload === true);
    }
    const isCleared = crash.at <= this.clearedUntil(crash.versionHash);
    if (isCleared && this.crashes.length >= MAXIMUM_CRASHES) return false;
    this.crashes.push(crash);
    this.crashes.sort((one, other) => one.at - other.at);
    if (this.crashes.length > MAXIMUM_CRASHES) this.crashes.shift();
    return true;
  }

  /**
   * Stops counting crashes up to a point in time.
   *
   * @param at - when the subject was released, in monotonic ms.
   * @returns Whether this changes which crashes count.
   */
  clear(at: number): boolean {
    return this.changesCount(() => {
      this.releasedAt = Math.max(this.releasedAt, at);
    });
  }

  /**
   * Stops counting crashes of a software version up to a point in time.
   *
   * @param answer - the version, and the time that another daemon has for it.
   * @returns Whether this changes which crashes count.
   */
  excuse({ versionHash, at }: VersionAnswer): boolean {
    return this.changesCount(() => this.excuseUntil(versionHash, at));
  }

  /**
   * Stops counting crashes of a software version before an answer, and the first ones shortly after it.
   *
   * @param answer - the version, and when a runner of it last answered.
   * @returns Whether this changes which crashes count.
   */
  answered({ versionHash, at }: VersionAnswer): boolean {
    const excusedUntil = this.excusedUntil?.get(versionHash) ?? Number.NEGATIVE_INFINITY;
    // It has excused a crash already, and there was no answer since.
    if (at <= excusedUntil - COMMON_CAUSE_MILLISECONDS) return false;
    const later = this.countedCrashes
      .filter((crash) => (crash.versionHash ?? 0) === versionHash)
      .map((crash) => crash.at)
      .filter((crashedAt) => crashedAt > at && crashedAt <= at + TRUST_MILLISECONDS);
    const until = later.length > 0 ? Math.min(...later) + COMMON_CAUSE_MILLISECONDS : at;
    return this.excuse({ versionHash, at: until });
  }

  /** @returns The form in which the record is sent to other daemons. */
  toSummary(): CrashSummary {
    const { digest, part, crashes, releasedAt, excusedUntil } = this;
    const answers = [...(excusedUntil ?? [])].map(([versionHash, at]) => ({ versionHash, at }));
    return {
      digest,
      ...(part !== undefined && { part }),
      crashes: [...crashes],
      clearedAt: Number.isFinite(releasedAt) ? releasedAt : undefined,
      ...(answers.length > 0 && { answers }),
    };
  }

  private clearedUntil(versionHash = 0): number {
    const excusedUntil = this.excusedUntil?.get(versionHash) ?? Number.NEGATIVE_INFINITY;
    return Math.max(this.releasedAt, excusedUntil);
  }

  private excuseUntil(versionHash: number, at: number): void {
    this.excusedUntil ??= new Map();
    const latest = Math.max(at, this.excusedUntil.get(versionHash) ?? at);
    setLatest(this.excusedUntil, versionHash, latest, MAXIMUM_VERSIONS);
  }

  private changesCount(change: () => void): boolean {
    const before = this.countedCrashes.length;
    change();
    return this.countedCrashes.length < before;
  }
}
