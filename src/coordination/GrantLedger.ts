/**
 * Requests that this coordinator has assigned to runners and that the asking daemons have not reported yet.
 *
 * What goes wrong without it: between a coordinator's answer and the asking daemon's next load report, a request is
 * counted nowhere. A burst of requests for one prompt within that time all goes to the same runner, which then has
 * several times the mean load just when a prompt becomes popular.
 */

import type { ForeignWork } from '../capacity/ObservedCapacity.js';

/**
 * Lifetime of a grant, in ms. It covers a grant that its daemon never reports because the answer came too late or the
 * daemon has died.
 */
const GRANT_LIFETIME_MILLISECONDS = 1_000;

interface Grant {
  readonly number: number;
  readonly life: string;
  readonly at: number;
  readonly work: GrantedWork;
}

/** What a granted request uses at its runner. */
export type GrantedWork = Omit<ForeignWork, 'requests'>;

const NO_WORK: GrantedWork = { promptTokens: 0, memoryTokens: 0 };

const NOTHING_OUTSTANDING: ForeignWork = { requests: 0, ...NO_WORK };

/** Keeps the outstanding grants of each daemon, the oldest first, and their number per runner. */
export class GrantLedger {
  private readonly byDaemon = new Map<string, Grant[]>();

  private readonly outstanding = new Map<string, ForeignWork>();

  private lastNumber = 0;

  /**
   * Records that a daemon was given a runner.
   *
   * @param daemon - name of the asking daemon.
   * @param life - incarnation of the chosen runner.
   * @param now - current time, monotonic ms.
   * @param work - what the request uses at the runner, if it is known.
   * @returns The grant's number, which the daemon's load reports refer to.
   */
  grant(daemon: string, life: string, now: number, work: GrantedWork = NO_WORK): number {
    this.lastNumber += 1;
    const grants = this.byDaemon.get(daemon) ?? [];
    grants.push({ number: this.lastNumber, life, at: now, work });
    this.byDaemon.set(daemon, grants);
    this.add(life, work, 1);
    return this.lastNumber;
  }

  /**
   * Drops the grants that a daemon's load reports include from now on.
   *
   * @param daemon - name of the reporting daemon.
   * @param number - its latest grant that the load report includes.
   */
  acknowledge(daemon: string, number: number): void {
    this.drop(daemon, (grant) => grant.number <= number);
  }

  /**
   * Drops grants that their daemons never reported.
   *
   * @param now - current time, monotonic ms.
   */
  expire(now: number): void {
    for (const daemon of this.byDaemon.keys()) {
      this.drop(daemon, ({ at }) => now - at > GRANT_LIFETIME_MILLISECONDS);
    }
  }

  /**
   * Counts the outstanding grants of a runner.
   *
   * @param life - the runner's incarnation.
   * @returns Requests assigned to the runner that no load report includes yet.
   */
  outstandingOf(life: string): number {
    return this.outstandingWorkOf(life).requests;
  }

  /**
   * @param life - the runner's incarnation.
   * @returns What the outstanding grants use there.
   */
  outstandingWorkOf(life: string): ForeignWork {
    return this.outstanding.get(life) ?? NOTHING_OUTSTANDING;
  }

  private drop(daemon: string, isEnded: (grant: Grant) => boolean): void {
    const grants = this.byDaemon.get(daemon);
    if (!grants) return;
    const kept = grants.filter((grant) => !isEnded(grant));
    for (const grant of grants) if (isEnded(grant)) this.add(grant.life, grant.work, -1);
    if (kept.length > 0) this.byDaemon.set(daemon, kept);
    else this.byDaemon.delete(daemon);
  }

  private add(life: string, work: GrantedWork, sign: 1 | -1): void {
    const before = this.outstandingWorkOf(life);
    const total = {
      requests: before.requests + sign,
      promptTokens: before.promptTokens + sign * work.promptTokens,
      memoryTokens: before.memoryTokens + sign * work.memoryTokens,
    };
    if (total.requests === 0) this.outstanding.delete(life);
    else this.outstanding.set(life, total);
  }
}
