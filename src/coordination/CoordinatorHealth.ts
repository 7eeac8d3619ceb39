/**
 * Leaves a coordinator alone that does not answer.
 *
 * What goes wrong without it: a coordinator dies or freezes, and each request waits for it in vain until the
 * failure detector has dropped it, some two seconds later; one would see first answers later by the same time in a
 * quarter of the requests. The next one in order takes its place meanwhile.
 */

/** One lost datagram or one pause of the other process is chance. */
const MISSES = 2;

/** First time that it is left alone, in ms; doubled with each further miss. */
const FIRST_PAUSE_MILLISECONDS = 500;

/** Longest time, in ms: a dead one is no coordinator any more by then, and one that is back is asked soon. */
const LONGEST_PAUSE_MILLISECONDS = 3_000;

interface Silence {
  readonly misses: number;
  /** When the last miss was noticed, monotonic ms. */
  readonly missedAt: number;
  readonly until: number;
}

/** What questions that were not answered say of coordinators. */
export class CoordinatorHealth {
  private readonly silences = new Map<string, Silence>();

  /**
   * @param name - of a coordinator.
   * @param now - monotonic milliseconds.
   * @returns Whether it is worth asking.
   */
  isUsable(name: string, now: number): boolean {
    return now >= (this.silences.get(name)?.until ?? 0);
  }

  /**
   * @param name - of a coordinator that has answered, in time or not.
   */
  answered(name: string): void {
    this.silences.delete(name);
  }

  /**
   * Questions of the same moment count as one: a pause of this process, or a link that is full for a moment, holds up the
   * answers to all of them, and would have it leave every coordinator alone one after the other.
   *
   * @param name - of a coordinator that has not answered in time.
   * @param askedAt - when it was asked, monotonic ms.
   * @param now - monotonic milliseconds.
   * @returns Whether it is left alone from now on.
   */
  missed(name: string, askedAt: number, now: number): boolean {
    const before = this.silences.get(name);
    if (before && askedAt < before.missedAt) return false;
    const misses = (before?.misses ?? 0) + 1;
    const pause = FIRST_PAUSE_MILLISECONDS * 2 ** (misses - MISSES);
    const isSilent = misses >= MISSES;
    const until = isSilent ? now + Math.min(LONGEST_PAUSE_MILLISECONDS, pause) : 0;
    this.silences.set(name, { misses, missedAt: now, until });
    return isSilent;
  }
}
