/**
 * Distinguishes an unresponsive runner from a saturated or failed network link of this daemon, by probing other runners
 * and then the first one again.
 *
 * Without it, a large configuration or a bandwidth bottleneck may saturate the daemon's link for a second. The runners'
 * data is delayed, and so is their acceptance of new connections, so that each runner looks unresponsive. The daemon
 * would give up healthy streams, find no runner to resume them, and cut them. The symptom is that one daemon gives up
 * connections to all runners alike.
 */
import { RunnerPath } from '../handover/RunnerPath.js';
import type { Log } from '../logging/Log.js';
import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';
import { forwardingLogEvents } from './forwardingFeature.js';
import type { ForwardingMetrics } from './ForwardingMetrics.js';
import { probeRunner } from './probeRunner.js';
import type { ProbeResult } from './probeRunner.js';

/** Options of a {@link LinkCheck}. */
export interface LinkCheckOptions {
  /** Returns all listed runners. */
  runners: () => readonly Runner[];
  clock: Clock;
  log: Log;
  metrics: Pick<ForwardingMetrics, 'linkChecks'>;
  /** Told of each runner that did or did not accept a connection. */
  path?: RunnerPath;
}

/** Called with whether the runner is unresponsive while others are not; `false` also if that could not be determined. */
export type LinkCheckListener = (isDark: boolean) => void;

/** Number of reference runners that are probed at once; with a single one, its own failure would look like a failed link. */
const REFERENCE_RUNNERS = 3;

interface Check {
  /** Runners whose state the check has to determine. */
  readonly asked: { readonly suspect: Runner; readonly done: LinkCheckListener }[];
  /** Reference runners whose probe has no result yet. */
  readonly pending: Set<Runner>;
}

/** Checks the daemon's network link; questions that arrive during a check share its result. */
export class LinkCheck {
  private readonly options: LinkCheckOptions;

  private readonly path: RunnerPath;

  /** The check in progress. */
  private underWay: Check | undefined;

  /** When each runner last failed to accept a connection, monotonic ms. */
  private readonly missedAt = new WeakMap<Runner, number>();

  /** Since when the link has been suspected, monotonic ms; `undefined` while it is not. */
  private suspectSince: number | undefined;

  /**
   * @param options - the runners, clock, log and metrics.
   */
  constructor(options: LinkCheckOptions) {
    this.options = options;
    this.path = options.path ?? new RunnerPath({ runnerCount: () => options.runners().length });
  }

  /** @returns Whether this daemon reaches no runner at all. */
  get isPathLost(): boolean {
    return this.path.isLost;
  }

  /** @returns Whether the link is suspected, because all runners that were probed last accepted no connection. */
  get isSuspect(): boolean {
    return this.suspectSince !== undefined;
  }

  /**
   * Determines whether a runner is unresponsive or the link is saturated.
   *
   * Probes the runners that sent data most recently. Those that have failed to accept a connection since then come after
   * all others: if all near runners are unresponsive, a distant one has to be probed eventually, or no runner would ever
   * be found unresponsive.
   *
   * @param suspect - runner that did not accept a connection.
   * @param done - called once with the result, possibly at once.
   */
  ask(suspect: Runner, done: LinkCheckListener): void {
    this.recordMissed(suspect);
    if (this.underWay) {
      this.underWay.asked.push({ suspect, done });
      return;
    }
    const references = this.referenceRunnersFor(suspect);
    const check: Check = { asked: [{ suspect, done }], pending: new Set(references) };
    if (references.length === 0) {
      done(false);
      return;
    }
    this.underWay = check;
    for (const reference of references) {
      probeRunner(reference, (result) => this.handleReferenceResult(check, reference, result));
    }
  }

  /**
   * Records that a runner accepted a connection, which shows that the link works.
   *
   * @param runner - runner that accepted it.
   */
  accepted(runner: Runner): void {
    this.path.recordAccepted(this.now);
    this.recordResponse(runner);
  }

  /**
   * Records that a connection to a runner was refused.
   *
   * @param runner - runner whose host refused it.
   */
  refused({ entry }: Runner): void {
    this.path.recordFailure(entry.life, this.now);
  }

  /** Records that a request was sent to a runner. */
  sent(): void {
    this.path.recordSent(this.now);
  }

  /** Records that data arrived from a runner. */
  heard(): void {
    this.path.recordHeard();
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private recordResponse(runner: Runner): void {
    this.missedAt.delete(runner);
    if (this.suspectSince === undefined) return;
    const { clock, log } = this.options;
    const milliseconds = Math.round(clock.monotonicMilliseconds() - this.suspectSince);
    this.suspectSince = undefined;
    log.write(forwardingLogEvents.linkSound, { witness: runner.entry.id, milliseconds });
  }

  private recordMissed(runner: Runner): void {
    this.missedAt.set(runner, this.now);
    this.path.recordFailure(runner.entry.life, this.now);
  }

  private hasMissed(runner: Runner): boolean {
    const missedAt = this.missedAt.get(runner);
    return missedAt !== undefined && missedAt >= runner.lastHeardAt;
  }

  private referenceRunnersFor({ entry }: Runner): Runner[] {
    return this.options
      .runners()
      .filter((runner) => runner.entry.life !== entry.life)
      .sort(
        (one, other) =>
          Number(this.hasMissed(one)) - Number(this.hasMissed(other)) ||
          other.lastHeardAt - one.lastHeardAt ||
          0,
      )
      .slice(0, REFERENCE_RUNNERS);
  }

  private handleReferenceResult(check: Check, reference: Runner, result: ProbeResult): void {
    check.pending.delete(reference);
    this.recordProbe(reference, result);
    const isAccepting = result !== 'no_answer';
    // The first reference runner that accepts ends the check; later results only concern the runners themselves.
    if (this.underWay !== check || (!isAccepting && check.pending.size > 0)) return;
    this.underWay = undefined;
    this.options.metrics.linkChecks.increment({ result: isAccepting ? 'sound' : 'suspect' });
    if (isAccepting) this.probeSuspectsAgain(check);
    else this.reportLinkSuspected(check);
  }

  /** A refusal shows that the link carries packets, but the path to the runner may still be lost. */
  private recordProbe(runner: Runner, result: ProbeResult): void {
    if (result === 'accepted') {
      this.accepted(runner);
      return;
    }
    if (result === 'no_answer') {
      this.recordMissed(runner);
      return;
    }
    this.refused(runner);
    this.recordResponse(runner);
  }

  /**
   * Probes the suspects again. The link may have recovered after the suspect was probed and before the reference runner
   * was, or a single packet was lost. Only a runner that still accepts no connection while others do is unresponsive.
   */
  private probeSuspectsAgain({ asked }: Check): void {
    for (const { suspect, done } of asked) {
      probeRunner(suspect, (result) => {
        if (result === 'accepted') this.accepted(suspect);
        done(result === 'no_answer');
      });
    }
  }

  private reportLinkSuspected({ asked }: Check): void {
    const { clock, log } = this.options;
    if (this.suspectSince === undefined) {
      this.suspectSince = clock.monotonicMilliseconds();
      const suspects = asked.map(({ suspect }) => suspect.entry.id).join();
      log.write(forwardingLogEvents.linkSuspected, { suspects });
    }
    for (const { done } of asked) done(false);
  }
}
