/**
 * The requests that other daemons have at runners.
 *
 * What goes wrong without it: each daemon of a small site has about one request at a runner, so that a bound
 * on its own count means nothing. One would see a runner with three times the mean while each daemon is
 * within its bound.
 */
import type { DaemonNews, RunnerLoad } from '../generated/baobabdock/v1/news_pb.js';

/** A daemon that says nothing for this long has died or is cut off; in ms. */
const LIFE_MILLISECONDS = 2_500;

interface Told {
  readonly life: number;
  readonly number: number;
  readonly at: number;
  readonly loads: readonly RunnerLoad[];
}

/** Sums what is told by runner; a message changes only what its daemon had told before. */
export class ForeignLoads {
  private readonly byDaemon = new Map<string, Told>();

  private readonly totals = new Map<string, number>();

  /**
   * @param news - from another daemon.
   * @param now - monotonic milliseconds.
   * @returns Whether it is newer than what that daemon told before.
   */
  take({ daemon, life, number, loads }: DaemonNews, now: number): boolean {
    const before = this.byDaemon.get(daemon);
    if (before?.life === life && number <= before.number) return false;
    if (before) this.add(before.loads, -1);
    this.byDaemon.set(daemon, { life, number, at: now, loads });
    this.add(loads, 1);
    return true;
  }

  /**
   * @param runnerLife - one start of a runner.
   * @returns Requests that other daemons have there.
   */
  of(runnerLife: string): number {
    return this.totals.get(runnerLife) ?? 0;
  }

  /**
   * Forgets daemons that have fallen silent.
   *
   * @param now - monotonic milliseconds.
   */
  expire(now: number): void {
    for (const [daemon, { at, loads }] of this.byDaemon) {
      if (now - at <= LIFE_MILLISECONDS) continue;
      this.byDaemon.delete(daemon);
      this.add(loads, -1);
    }
  }

  private add(loads: readonly RunnerLoad[], sign: 1 | -1): void {
    for (const { runner, requests } of loads) {
      const total = (this.totals.get(runner) ?? 0) + sign * requests;
      if (total === 0) this.totals.delete(runner);
      else this.totals.set(runner, total);
    }
  }
}
