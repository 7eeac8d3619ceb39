/**
 * Runner crashes that occurred while a given request was running there, and which of them still count against it.
 */
import type { CrashSummary, RequestState, RunnerCrash } from './quarantineTypes.js';

/** Number of distinct crashes after which a request is sent to no more runners. */
const QUARANTINE_CRASHES = 3;

/**
 * Two reports of the same incarnation at most this far apart are the same crash, in ms. Daemons notice one crash
 * within this time; a runner needs longer to start again under the same incarnation name.
 */
const SAME_CRASH_MILLISECONDS = 1_000;

/** Maximum number of crashes kept for a request; the oldest are dropped. */
const MAXIMUM_CRASHES = 8;

/**
 * An answer up to this long before a crash clears the request as an answer after the crash does; in ms.
 */
const TRUST_MILLISECONDS = 5_000;

/** Crashes of one request; see the comment of the module. */
export class CrashRecord {
  readonly digest: string;

  private readonly crashes: RunnerCrash[] = [];

  private clearedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param digest - digest of the request.
   */
  constructor(digest: string) {
    this.digest = digest;
  }

  /** @returns Crashes since the request was last cleared, without those of overload. */
  get countedCrashes(): readonly RunnerCrash[] {
    return this.crashes.filter(({ at, isOverload }) => at > this.clearedAt && !isOverload);
  }

  /** @returns The request's state, from the number of crashes that count. */
  get state(): RequestState {
    const { length } = this.countedCrashes;
    if (length >= QUARANTINE_CRASHES) return 'quarantined';
    return length > 0 ? 'suspect' : 'sound';
  }

  /** @returns When the record last changed, in monotonic ms. */
  get updatedAt(): number {
    return Math.max(this.clearedAt, ...this.crashes.map(({ at }) => at));
  }

  /**
   * Adds a crash, or moves a known one to the earlier of its two times. A crash that anybody knows to be one of overload
   * is one.
   *
   * @param crash - crash of a runner on which the request was running.
   * @returns Whether the crash, or that it is one of overload, was unknown.
   */
  add(crash: RunnerCrash): boolean {
    const known = this.crashes.findIndex(
      ({ life, at }) => life === crash.life && Math.abs(at - crash.at) <= SAME_CRASH_MILLISECONDS,
    );
    const before = this.crashes[known];
    if (before) {
      const isOverload = before.isOverload === true || crash.isOverload === true;
      const at = Math.min(before.at, crash.at);
      this.crashes[known] = { life: crash.life, at, ...(isOverload && { isOverload }) };
      return isOverload !== (before.isOverload === true);
    }
    if (crash.at <= this.clearedAt && this.crashes.length >= MAXIMUM_CRASHES) return false;
    this.crashes.push(crash);
    this.crashes.sort((one, other) => one.at - other.at);
    if (this.crashes.length > MAXIMUM_CRASHES) this.crashes.shift();
    return true;
  }

  /**
   * Stops counting crashes up to a point in time.
   *
   * @param at - when the request was answered or released, in monotonic ms.
   * @returns Whether this changes which crashes count.
   */
  clear(at: number): boolean {
    const before = this.countedCrashes.length;
    this.clearedAt = Math.max(this.clearedAt, at);
    return this.countedCrashes.length < before;
  }

  /**
   * Stops counting crashes before an answer, and those shortly after it.
   *
   * @param answeredAt - when a runner last answered the request, in monotonic ms.
   * @returns Whether this changes which crashes count.
   */
  answered(answeredAt: number): boolean {
    const excused = this.countedCrashes.filter(({ at }) => at <= answeredAt + TRUST_MILLISECONDS);
    return this.clear(Math.max(answeredAt, ...excused.map(({ at }) => at)));
  }

  /** @returns The form in which the record is sent to other daemons. */
  toSummary(): CrashSummary {
    const { digest, crashes, clearedAt } = this;
    const isCleared = Number.isFinite(clearedAt);
    return { digest, crashes: [...crashes], clearedAt: isCleared ? clearedAt : undefined };
  }
}
