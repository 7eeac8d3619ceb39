/**
 * The crashes of runners under one request, and whether they still count.
 */
import type { CrashNews, RequestStanding, RunnerCrash } from './quarantineTypes.js';

/** Distinct crashes after which a request is sent to no more runners. */
const QUARANTINE_CRASHES = 3;

/** Daemons see one crash this far apart at most; a runner needs longer to start again under the same life; in ms. */
const SAME_CRASH_MILLISECONDS = 1_000;

/** Of more than these the oldest are forgotten. */
const MAXIMUM_CRASHES = 8;

/** An answer just before a crash speaks for a request as one after it does; in ms. */
const TRUST_MILLISECONDS = 5_000;

/** See the module's comment. */
export class CrashRecord {
  readonly digest: string;

  private readonly crashes: RunnerCrash[] = [];

  private clearedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param digest - of the request.
   */
  constructor(digest: string) {
    this.digest = digest;
  }

  /** @returns Crashes since it was last cleared. */
  get counted(): readonly RunnerCrash[] {
    return this.crashes.filter(({ at }) => at > this.clearedAt);
  }

  /** @returns What may be done with the request. */
  get standing(): RequestStanding {
    const { length } = this.counted;
    if (length >= QUARANTINE_CRASHES) return 'quarantined';
    return length > 0 ? 'suspect' : 'sound';
  }

  /** @returns When the last thing was learnt of it, monotonic ms. */
  get touchedAt(): number {
    return Math.max(this.clearedAt, ...this.crashes.map(({ at }) => at));
  }

  /**
   * @param crash - of a runner that had the request.
   * @returns Whether it was not known.
   */
  add(crash: RunnerCrash): boolean {
    const known = this.crashes.findIndex(
      ({ life, at }) => life === crash.life && Math.abs(at - crash.at) <= SAME_CRASH_MILLISECONDS,
    );
    if (known >= 0) {
      if (crash.at < (this.crashes[known]?.at ?? 0)) this.crashes[known] = crash;
      return false;
    }
    if (crash.at <= this.clearedAt && this.crashes.length >= MAXIMUM_CRASHES) return false;
    this.crashes.push(crash);
    this.crashes.sort((one, other) => one.at - other.at);
    if (this.crashes.length > MAXIMUM_CRASHES) this.crashes.shift();
    return true;
  }

  /**
   * @param at - when the request was answered or released, monotonic ms.
   * @returns Whether that changes which crashes count.
   */
  clear(at: number): boolean {
    const before = this.counted.length;
    this.clearedAt = Math.max(this.clearedAt, at);
    return this.counted.length < before;
  }

  /**
   * @param answeredAt - when a runner last answered the request, monotonic ms.
   * @returns Whether that changes which crashes count.
   */
  answered(answeredAt: number): boolean {
    const excused = this.counted.filter(({ at }) => at <= answeredAt + TRUST_MILLISECONDS);
    return this.clear(Math.max(answeredAt, ...excused.map(({ at }) => at)));
  }

  /** @returns What other daemons are told. */
  toNews(): CrashNews {
    const { digest, crashes, clearedAt } = this;
    const isCleared = Number.isFinite(clearedAt);
    return { digest, crashes: [...crashes], clearedAt: isCleared ? clearedAt : undefined };
  }
}
