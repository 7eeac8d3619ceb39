/**
 * In-flight requests of other daemons, by runner.
 *
 * Each daemon of a small site has only about one request at a runner, so a bound on its own count has no effect.
 * Without these counts, a runner could have three times the mean load while each daemon is within its bound.
 */
import type { ForeignWork } from '../capacity/ObservedCapacity.js';
import type { DaemonNews, RunnerLoad } from '../generated/baobabdock/v1/news_pb.js';

/**
 * The counts of a daemon are dropped if no message has arrived from it for this long, in ms; it has died or is cut
 * off.
 */
const EXPIRY_MILLISECONDS = 2_500;

type RunnerTotals = Pick<RunnerLoad, 'requests' | 'promptTokens' | 'memoryTokens'>;

const NO_LOAD: RunnerTotals = { requests: 0, promptTokens: 0, memoryTokens: 0 };

interface DaemonLoads {
  readonly life: number;
  readonly number: number;
  readonly at: number;
  readonly loads: readonly RunnerLoad[];
}

/** Sums the counts by runner; each message replaces those of the same daemon. */
export class PeerLoads {
  private readonly byDaemon = new Map<string, DaemonLoads>();

  private readonly totals = new Map<string, RunnerTotals>();

  /**
   * Takes the counts of another daemon.
   *
   * @param news - message of the daemon.
   * @param now - monotonic milliseconds.
   * @returns Whether the message is newer than the last one of that daemon; an older one is ignored.
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
   * @param runnerLife - incarnation of a runner.
   * @returns Number of requests that other daemons have there.
   */
  of(runnerLife: string): number {
    return this.workOf(runnerLife).requests;
  }

  /**
   * @param runnerLife - incarnation of a runner.
   * @returns What the requests of other daemons use there.
   */
  workOf(runnerLife: string): ForeignWork {
    return this.totals.get(runnerLife) ?? NO_LOAD;
  }

  /**
   * Drops the counts of daemons that have sent nothing for too long.
   *
   * @param now - monotonic milliseconds.
   */
  expire(now: number): void {
    for (const [daemon, { at, loads }] of this.byDaemon) {
      if (now - at <= EXPIRY_MILLISECONDS) continue;
      this.byDaemon.delete(daemon);
      this.add(loads, -1);
    }
  }

  private add(loads: readonly RunnerLoad[], sign: 1 | -1): void {
    for (const { runner, requests, promptTokens, memoryTokens } of loads) {
      const before = this.totals.get(runner) ?? NO_LOAD;
      const total: RunnerTotals = {
        requests: before.requests + sign * requests,
        promptTokens: before.promptTokens + sign * promptTokens,
        memoryTokens: before.memoryTokens + sign * memoryTokens,
      };
      if (total.requests === 0) this.totals.delete(runner);
      else this.totals.set(runner, total);
    }
  }
}
