/**
 * Rejections of runners that crash when they reject too many requests. A crash beside a rejection is one of overload: the
 * requests that were running there have not caused it.
 *
 * What fails without it: the most frequent requests are at each runner that crashes of overload, are quarantined, and are
 * refused by the whole fleet from then on.
 */
import { setLatest } from '../collections/setLatest.js';
import type { RunnerCrash } from './quarantineTypes.js';

/**
 * Maximum time between a rejection and the crash that it explains, in ms. Runners count rejections of a second; a busy
 * daemon sees both late, and not equally so.
 */
const EXPLAINED_MILLISECONDS = 2_000;

/** Maximum number of incarnations; the oldest are dropped. */
const MAXIMUM_LIVES = 1_024;

/** The latest rejection of each incarnation. */
export class RecentRejections {
  /** Monotonic ms by hash of the name, the oldest first. */
  private readonly rejectedAt = new Map<number, number>();

  /**
   * @param life - hash of the name of the incarnation.
   * @param now - monotonic ms.
   */
  record(life: number, now: number): void {
    setLatest(this.rejectedAt, life, now, MAXIMUM_LIVES);
  }

  /**
   * @param crash - crash of a runner.
   * @returns Whether the runner had to reject requests at about that time.
   */
  explain({ life, at }: RunnerCrash): boolean {
    const rejectedAt = this.rejectedAt.get(life);
    return rejectedAt !== undefined && Math.abs(at - rejectedAt) <= EXPLAINED_MILLISECONDS;
  }
}
