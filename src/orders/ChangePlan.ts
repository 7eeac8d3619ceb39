/**
 * Plans the changes of the configuration that a roll-out needs: which runners to drain, which to return to
 * service, when to halt and when a data centre is finished. Changes are batched and made one at a time,
 * because each costs the platform a write and every daemon a pull.
 */
import type { PoolPicture, RolloutPicture } from './poolTypes.js';
import type { RolloutTimings } from './rolloutTimings.js';
import type { RolloutTurn } from './rolloutTurn.js';
import { afterDataCentre, unavailableAllowance } from './rolloutTurn.js';
import type { ChangeEnd, RolloutAction, RolloutLogEvent, RolloutStep } from './rolloutTypes.js';
import type { RunnerTracker } from './RunnerTracker.js';

/** Content of a change of the configuration. */
export type PlannedChange = Omit<Extract<RolloutAction, { kind: 'change' }>, 'kind' | 'call'>;

/** A log event that is written together with a change. */
export interface PlannedReport {
  readonly event: RolloutLogEvent;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** Options of a {@link ChangePlan}. */
export interface ChangePlanOptions {
  timings: RolloutTimings;
}

function rolloutStep(
  rollout: RolloutPicture,
  after: RolloutStep['after'],
  reason: string,
): RolloutStep {
  const { state, finishedDataCentres } = rollout;
  return { before: { state, finishedDataCentres }, after, reason };
}

/** Counts every runner that is not known to serve, so that only capacity that is certain counts as kept. */
function unavailableInDataCentre(picture: PoolPicture, trackers: readonly RunnerTracker[]): number {
  return picture.runners.length - trackers.filter((tracker) => tracker.available).length;
}

function unavailableInService(picture: PoolPicture, trackers: readonly RunnerTracker[]): number {
  return picture.elsewhere.unavailable + unavailableInDataCentre(picture, trackers);
}

/**
 * Number of runners that may still be drained. The share limits both the whole service and the data centre:
 * a share of the service alone could be all runners of one data centre, whose callers would then all be
 * routed elsewhere, or be refused where the policy forbids that.
 */
function remainingDrainAllowance(
  picture: PoolPicture,
  share: number,
  trackers: readonly RunnerTracker[],
): number {
  const { runners, elsewhere } = picture;
  const ofService = unavailableAllowance(runners.length + elsewhere.runners, share);
  // A data centre with a single runner may be empty for a while, if the service has runners elsewhere.
  const ofDataCentre = Math.max(1, Math.floor(share * runners.length));
  return Math.min(
    ofService - unavailableInService(picture, trackers),
    ofDataCentre - unavailableInDataCentre(picture, trackers),
  );
}

function runnersToDrain(
  picture: PoolPicture,
  turn: RolloutTurn,
  trackers: readonly RunnerTracker[],
): RunnerTracker[] {
  const { rollout } = picture;
  if (!turn.mayDrain || !rollout) return [];
  const remaining = remainingDrainAllowance(picture, rollout.maximumUnavailableShare, trackers);
  if (remaining <= 0) return [];
  return trackers
    .filter((tracker) => tracker.phase === 'outdated' && tracker.available)
    .sort((a, b) => (a.runner.id < b.runner.id ? -1 : 1))
    .slice(0, remaining);
}

/** Plans the next change of one pool. Keeps track of the change in progress and of the revision to wait for. */
export class ChangePlan {
  private readonly timings: RolloutTimings;

  private call: number | undefined;

  /** Revision that the picture must reach before the next change, which would otherwise use outdated data. */
  private awaitedRevision = 0;

  /** Monotonic time before which a failed change is not retried. */
  private retryAt = -Infinity;

  /** Monotonic time since which there have been changes to make; they are batched from then on. */
  private pendingSince: number | undefined;

  /**
   * @param options - the timings.
   */
  constructor({ timings }: ChangePlanOptions) {
    this.timings = timings;
  }

  /** Forgets everything, because another lease begins. */
  reset(): void {
    this.call = undefined;
    this.awaitedRevision = 0;
    this.retryAt = -Infinity;
    this.pendingSince = undefined;
  }

  /** @param call - call number of the change that is being made. */
  changeSent(call: number): void {
    this.call = call;
    this.pendingSince = undefined;
  }

  /**
   * Processes the result of a change.
   *
   * @param now - monotonic time in milliseconds.
   * @param call - call number of the change.
   * @param end - its result.
   * @returns Whether this change was the one in progress.
   */
  changeEnded(now: number, call: number, end: ChangeEnd): boolean {
    if (this.call !== call) return false;
    this.call = undefined;
    if (end.kind === 'accepted') this.awaitedRevision = end.revision;
    else this.retryAt = now + this.timings.changeRetryMilliseconds;
    return true;
  }

  /**
   * @param now - monotonic time in milliseconds.
   * @returns Monotonic time at which the next batch of changes is due, or `undefined` if there is none.
   */
  nextDueTime(now: number): number | undefined {
    if (this.pendingSince === undefined || this.call !== undefined) return undefined;
    return Math.max(now, this.retryAt, this.pendingSince + this.timings.gatherMilliseconds);
  }

  /**
   * Plans the next change.
   *
   * @param now - monotonic time in milliseconds.
   * @param picture - the pool.
   * @param turn - the pool's current part in the roll-out.
   * @param trackers - trackers of the runners that the roll-out manages.
   * @returns The change to make now with its log events, or `undefined` if there is none.
   */
  nextChange(
    now: number,
    picture: PoolPicture,
    turn: RolloutTurn,
    trackers: readonly RunnerTracker[],
  ): { change: PlannedChange; reports: readonly PlannedReport[] } | undefined {
    if (this.call !== undefined || picture.revision < this.awaitedRevision) return undefined;
    const halt = this.planHalt(now, picture, turn, trackers);
    if (halt) return now < this.retryAt ? undefined : halt;
    const returned = trackers.filter(({ phase, runner }) => {
      const back = phase === 'returning' || phase === 'settled';
      return back && runner.drain === 'rollout';
    });
    const drained = runnersToDrain(picture, turn, trackers);
    const finish = this.planFinish(picture, turn, trackers);
    if (returned.length + drained.length === 0 && !finish) {
      this.pendingSince = undefined;
      return undefined;
    }
    this.pendingSince ??= now;
    const due = this.nextDueTime(now) ?? now;
    if (now < due) return undefined;
    if (finish) return finish;
    const drains = drained.map(({ runner: { id, incarnation } }) => ({
      runnerId: id,
      incarnation,
    }));
    const change = { drains, lifts: returned.map(({ runner }) => runner.id) };
    const fields = {
      taken: drains.map(({ runnerId }) => runnerId).join(','),
      givenBack: change.lifts.join(','),
      unavailable: unavailableInService(picture, trackers),
    };
    return { change, reports: [{ event: 'runnersTaken', fields }] };
  }

  private planHalt(
    now: number,
    picture: PoolPicture,
    turn: RolloutTurn,
    trackers: readonly RunnerTracker[],
  ): { change: PlannedChange; reports: readonly PlannedReport[] } | undefined {
    const { rollout } = picture;
    if (!turn.active || !rollout) return undefined;
    const reasons = trackers.flatMap((tracker) => this.haltReason(now, tracker) ?? []);
    const stuck = trackers.some((tracker) => this.isStuck(now, tracker));
    if (reasons.length === 0) return undefined;
    if (!stuck && reasons.length < Math.max(1, rollout.maximumFailures)) return undefined;
    const reason = `${picture.dataCentre}: ${reasons.join('; ')}`;
    const { finishedDataCentres } = rollout;
    const step = rolloutStep(rollout, { state: 'halted', finishedDataCentres }, reason);
    return {
      change: { drains: [], lifts: [], rollout: step },
      reports: [{ event: 'rolloutHalted', fields: { rollout: rollout.name, reason } }],
    };
  }

  private haltReason(now: number, tracker: RunnerTracker): string | undefined {
    const { runner, phase, failure } = tracker;
    if (phase === 'failed') return `${runner.id}: ${failure}`;
    if (!this.isStuck(now, tracker)) return undefined;
    if (tracker.unresponsiveSince !== undefined) return `${runner.id}: does not answer`;
    return `${runner.id}: still has requests in progress`;
  }

  /** Whether a runner drained for the roll-out is up but makes no progress, so that an operator must check it. */
  private isStuck(
    now: number,
    { runner, phase, unresponsiveSince, drainedSince }: RunnerTracker,
  ): boolean {
    const { longestSilenceMilliseconds, longestDrainMilliseconds } = this.timings;
    if (runner.drain !== 'rollout') return false;
    if (unresponsiveSince !== undefined && now - unresponsiveSince >= longestSilenceMilliseconds)
      return true;
    const drained = drainedSince !== undefined && now - drainedSince >= longestDrainMilliseconds;
    return phase === 'draining' && drained;
  }

  private planFinish(
    picture: PoolPicture,
    turn: RolloutTurn,
    trackers: readonly RunnerTracker[],
  ): { change: PlannedChange; reports: readonly PlannedReport[] } | undefined {
    const { rollout, dataCentre } = picture;
    if (!turn.active || !rollout) return undefined;
    const done = trackers.every(
      ({ phase, runner, unresponsiveSince }) =>
        phase === 'settled' && runner.drain === 'none' && unresponsiveSince === undefined,
    );
    if (!done) return undefined;
    const { wantedVersion, ...after } = afterDataCentre(rollout, dataCentre);
    const step = rolloutStep(rollout, after, `${dataCentre} is done`);
    const fields = { rollout: rollout.name, state: after.state };
    return {
      change: {
        drains: [],
        lifts: [],
        rollout: wantedVersion === undefined ? step : { ...step, wantedVersion },
      },
      reports: [{ event: 'dataCentreFinished', fields }],
    };
  }
}
