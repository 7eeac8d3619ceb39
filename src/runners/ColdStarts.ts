/**
 * How many requests cold runners get: one that has just started, or has become cold again, bears a few requests a second of
 * the whole fleet and crashes well above that.
 *
 * For each cold runner a few daemons decide, its owners, with a part of the rate each. All others leave it alone, but for a
 * small part where nothing else is left: they may hear of no owner.
 */
import type { Runner } from './Runner.js';

/** Whether this daemon decides about a runner. */
export interface ColdOwnership {
  /** This daemon's part of the rate, up to 1; 0 where others decide. */
  readonly share: number;
  /** For how long nobody else has decided, in ms. */
  readonly settledMilliseconds: number;
}

/** Options of a {@link ColdStarts}. */
export interface ColdStartsOptions {
  /** Requests a second that a cold runner of a service bears; `undefined` where its runners need no care. */
  rateOf: (service: string) => number | undefined;
  /** Who decides about a runner. */
  ownershipOf: (life: string) => ColdOwnership;
  /** Daemons that may send requests, this one too. */
  daemons: () => number;
  /** Gives numbers from 0 up to 1. */
  random?: () => number;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** The owners before may have sent as much as the rate allows within this time; in ms. */
const HANDOVER_MILLISECONDS = 1_000;

/** What all daemons that are no owners may send together, as a share of the rate. */
const OTHERS_SHARE = 0.5;

/** When this daemon may send to a runner again, in one of its cold spans; all in monotonic ms. */
interface ColdSpan {
  /** When the runner is warm, as far as is known. */
  until: number;
  ownerAt: number;
  otherAt: number;
}

/** Spaces out what this daemon, and those that it decides for, send to cold runners. */
export class ColdStarts {
  private readonly options: Required<ColdStartsOptions>;

  private readonly spans = new WeakMap<Runner, ColdSpan>();

  /**
   * @param options - rates, and who decides.
   */
  constructor(options: ColdStartsOptions) {
    this.options = { random: Math.random, ...options };
  }

  /**
   * @param runner - that may be cold.
   * @param now - monotonic milliseconds.
   * @returns Whether it needs care.
   */
  isCold({ coldUntil, entry }: Runner, now: number): boolean {
    return coldUntil > now && this.options.rateOf(entry.service) !== undefined;
  }

  /**
   * @param runner - that a request may go to.
   * @param now - monotonic milliseconds.
   * @returns Whether it is warm, or this daemon is one of its owners and its part of the rate has room.
   */
  hasRoom(runner: Runner, now: number): boolean {
    if (!this.isCold(runner, now)) return true;
    const { share, settledMilliseconds } = this.options.ownershipOf(runner.entry.life);
    if (share === 0 || settledMilliseconds < HANDOVER_MILLISECONDS) return false;
    return now >= this.spanOf(runner, now).ownerAt;
  }

  /**
   * @param runner - that a request may go to, for want of another one.
   * @param now - monotonic milliseconds.
   * @returns Whether this daemon's part of what daemons that are no owners may send has room.
   */
  hasRoomForOthers(runner: Runner, now: number): boolean {
    if (!this.isCold(runner, now)) return true;
    // A daemon that has just started lists too few others to know its part.
    const { settledMilliseconds } = this.options.ownershipOf(runner.entry.life);
    if (settledMilliseconds < HANDOVER_MILLISECONDS) return false;
    return now >= this.spanOf(runner, now).otherAt;
  }

  /**
   * @param runner - that a request goes to.
   * @param now - monotonic milliseconds.
   */
  sent(runner: Runner, now: number): void {
    if (!this.isCold(runner, now)) return;
    const span = this.spanOf(runner, now);
    const { share } = this.options.ownershipOf(runner.entry.life);
    if (share > 0) span.ownerAt = Math.max(span.ownerAt, now) + this.pauseAt(runner, share);
    span.otherAt = Math.max(span.otherAt, now) + this.otherPause(runner);
  }

  private otherPause(runner: Runner): number {
    return this.pauseAt(runner, OTHERS_SHARE / this.options.daemons());
  }

  /** @returns The time between two requests, in ms. */
  private pauseAt({ entry }: Runner, share: number): number {
    const rate = this.options.rateOf(entry.service) ?? Number.POSITIVE_INFINITY;
    return MILLISECONDS_PER_SECOND / (rate * share);
  }

  /** Daemons that are no owners begin at random moments: all of them may learn of a cold runner at once. */
  private spanOf(runner: Runner, now: number): ColdSpan {
    const until = runner.coldUntil;
    const known = this.spans.get(runner);
    if (known && now < known.until) {
      known.until = until;
      return known;
    }
    const otherAt = now + this.options.random() * this.otherPause(runner);
    const made = { until, ownerAt: now, otherAt };
    this.spans.set(runner, made);
    return made;
  }
}
