/**
 * Tells a dark runner from a full or cut link of this daemon's own, by asking other runners and then the first one again.
 *
 * What goes wrong without it: a large configuration, or a squeeze, fills the daemon's link for a second. Whatever
 * runners say waits behind it, and so does their acceptance of new connections. Each runner then looks dark; the daemon
 * gives up streams that are well served, finds nobody to go on with, and cuts them. One would see connections given up
 * at one daemon for all runners alike.
 */
import type { Log } from '../logging/Log.js';
import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';
import { forwardingLogEvents } from './forwardingFeature.js';
import type { ForwardingMetrics } from './ForwardingMetrics.js';
import { probeRunner } from './probeRunner.js';

/** Options of a {@link LinkCheck}. */
export interface LinkCheckOptions {
  /** All runners that are listed. */
  runners: () => readonly Runner[];
  clock: Clock;
  log: Log;
  metrics: Pick<ForwardingMetrics, 'linkChecks'>;
}

/** Told whether the runner alone accepts no connection; `false` also where nothing is known. */
export type DarkListener = (isDark: boolean) => void;

/** How many runners are asked at once: one that is dark too must not speak for the link. */
const WITNESSES = 3;

interface Check {
  readonly asked: { readonly suspect: Runner; readonly done: DarkListener }[];
  /** Witnesses that have not told anything yet. */
  readonly pending: Set<Runner>;
}

/** Owns the check under way; those who ask meanwhile share it. */
export class LinkCheck {
  private readonly options: LinkCheckOptions;

  private underWay: Check | undefined;

  /** When runners last did not accept a connection, monotonic ms. */
  private readonly missedAt = new WeakMap<Runner, number>();

  /** Since when no runner accepts connections, monotonic ms. */
  private suspectSince: number | undefined;

  /**
   * @param options - whom to ask.
   */
  constructor(options: LinkCheckOptions) {
    this.options = options;
  }

  /** @returns Whether the last runners that were asked, several of them, accepted no connection. */
  get isSuspect(): boolean {
    return this.suspectSince !== undefined;
  }

  /**
   * Asks runners that were heard from last, those that have missed a connection since only after all others: where
   * the near runners are dark, a far one has to be asked in the end, or nobody would ever be found dark.
   *
   * @param suspect - a runner that did not accept a connection.
   * @param done - called once, later.
   */
  ask(suspect: Runner, done: DarkListener): void {
    this.missed(suspect);
    if (this.underWay) {
      this.underWay.asked.push({ suspect, done });
      return;
    }
    const witnesses = this.witnessesBeside(suspect);
    const check: Check = { asked: [{ suspect, done }], pending: new Set(witnesses) };
    if (witnesses.length === 0) {
      done(false);
      return;
    }
    this.underWay = check;
    for (const witness of witnesses) {
      probeRunner(witness, (result) => this.heard(check, witness, result !== 'no_answer'));
    }
  }

  /**
   * Notes that a runner accepted a connection.
   *
   * @param runner - that did.
   */
  accepted(runner: Runner): void {
    this.missedAt.delete(runner);
    if (this.suspectSince === undefined) return;
    const { clock, log } = this.options;
    const milliseconds = Math.round(clock.monotonicMilliseconds() - this.suspectSince);
    this.suspectSince = undefined;
    log.write(forwardingLogEvents.linkSound, { witness: runner.entry.id, milliseconds });
  }

  private missed(runner: Runner): void {
    this.missedAt.set(runner, this.options.clock.monotonicMilliseconds());
  }

  private hasMissed(runner: Runner): boolean {
    const missedAt = this.missedAt.get(runner);
    return missedAt !== undefined && missedAt >= runner.lastHeardAt;
  }

  private witnessesBeside({ entry }: Runner): Runner[] {
    return this.options
      .runners()
      .filter((runner) => runner.entry.life !== entry.life)
      .sort(
        (one, other) =>
          Number(this.hasMissed(one)) - Number(this.hasMissed(other)) ||
          other.lastHeardAt - one.lastHeardAt ||
          0,
      )
      .slice(0, WITNESSES);
  }

  private heard(check: Check, witness: Runner, isThere: boolean): void {
    check.pending.delete(witness);
    if (isThere) this.accepted(witness);
    else this.missed(witness);
    // The first witness that is there ends the check; what others say later only counts for themselves.
    if (this.underWay !== check || (!isThere && check.pending.size > 0)) return;
    this.underWay = undefined;
    this.options.metrics.linkChecks.increment({ result: isThere ? 'sound' : 'suspect' });
    if (isThere) this.askAgain(check);
    else this.suspectLink(check);
  }

  /**
   * The link may have become free after the runner was asked and before the witness was; or a single packet was lost.
   * Only a runner that is still not there, when others are, is dark.
   */
  private askAgain({ asked }: Check): void {
    for (const { suspect, done } of asked) {
      probeRunner(suspect, (result) => {
        if (result === 'accepted') this.accepted(suspect);
        done(result === 'no_answer');
      });
    }
  }

  private suspectLink({ asked }: Check): void {
    const { clock, log } = this.options;
    if (this.suspectSince === undefined) {
      this.suspectSince = clock.monotonicMilliseconds();
      const suspects = asked.map(({ suspect }) => suspect.entry.id).join();
      log.write(forwardingLogEvents.linkSuspected, { suspects });
    }
    for (const { done } of asked) done(false);
  }
}
