/**
 * Lets quarantined requests run where they may be sound: at a software version that answers them, and, one at a time, to
 * see whether runners still crash.
 */
import { setLatest } from '../collections/setLatest.js';
import type { Log } from '../logging/Log.js';
import { boundedId } from '../prompts/promptSegments.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { Clock } from '../time/Clock.js';
import type { CrashVerdict } from './explainCrashes.js';
import type { QuarantineDecisions } from './QuarantineDecisions.js';
import { quarantineLogEvents } from './quarantineFeature.js';
import { nextTrialAt, TRIAL_GAP_MILLISECONDS } from './nextTrialAt.js';
import { hashOfVersion, namesOfParts } from './requestSubjects.js';

/** Where a quarantined request may run. */
export interface QuarantineExemption {
  /** Software version of the runners that may get it; any if `undefined`. */
  readonly softwareVersion?: string | undefined;
  /** Whether it is a trial. */
  readonly isTrial: boolean;
}

/** Options of {@link QuarantineTrials}. */
export interface QuarantineTrialsOptions {
  decisions: QuarantineDecisions;
  runners: Pick<RunnerTable, 'readyOf'>;
  clock: Clock;
  log: Log;
  /** Whether this daemon is the one that tries a quarantined subject again. */
  isOwner: (digest: string) => boolean;
}

/** Maximum number of parts in one log line. */
const MAXIMUM_LOGGED = 12;

/** Maximum number of verdicts of which the last trial is remembered. */
const MAXIMUM_TRIALS = 256;

/** Remembers the trials of this daemon. */
export class QuarantineTrials {
  private readonly options: QuarantineTrialsOptions;

  /** When a trial of each verdict last began, in monotonic ms, the oldest first. */
  private readonly begunAt = new Map<string, number>();

  /**
   * @param options - the decisions and the runners.
   */
  constructor(options: QuarantineTrialsOptions) {
    this.options = options;
  }

  /**
   * @param verdict - why a request must not run.
   * @param service - service of the request.
   * @param isBusy - whether a request like it is in flight.
   * @returns Where it may run all the same; `undefined` if nowhere.
   */
  exemptionFrom(
    verdict: CrashVerdict,
    service: string,
    isBusy: boolean,
  ): QuarantineExemption | undefined {
    const versions = this.versionsOf(service).filter(
      (version) => !this.hasCrashedAt(verdict, version),
    );
    const answering = versions.find((version) => this.isAnsweredAt(verdict, version));
    if (answering !== undefined) return { softwareVersion: answering, isTrial: false };
    const [untried] = versions;
    const isDue = untried !== undefined || this.now >= nextTrialAt(verdict.crashes);
    if (!isDue || isBusy || !this.take(verdict)) return undefined;
    return { softwareVersion: untried, isTrial: true };
  }

  /**
   * @param verdict - why a request must not run.
   * @param softwareVersion - a software version.
   * @returns Whether runners of this version are among those that have crashed.
   */
  hasCrashedAt({ crashes }: CrashVerdict, softwareVersion: string): boolean {
    const hash = hashOfVersion(softwareVersion);
    return crashes.some(({ versionHash = 0 }) => versionHash === hash);
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private versionsOf(service: string): string[] {
    const runners = this.options.runners.readyOf(service);
    return [...new Set(runners.map(({ softwareVersion }) => softwareVersion))];
  }

  private isAnsweredAt({ digests }: CrashVerdict, softwareVersion: string): boolean {
    const hash = hashOfVersion(softwareVersion);
    return digests.every((digest) => this.options.decisions.isAnsweredAt(digest, hash));
  }

  /** Takes the trial of a verdict, which only one daemon may, and not before the result of the last one is known. */
  private take({ digests }: CrashVerdict): boolean {
    const { decisions, log, isOwner } = this.options;
    const { now, begunAt } = this;
    const key = boundedId(digests.join());
    const before = begunAt.get(key) ?? Number.NEGATIVE_INFINITY;
    if (!isOwner(key) || now - before < TRIAL_GAP_MILLISECONDS) return false;
    setLatest(begunAt, key, now, MAXIMUM_TRIALS);
    const known = digests.slice(0, MAXIMUM_LOGGED).map((digest) => decisions.summaryOf(digest));
    const parts = namesOfParts(known);
    log.write(quarantineLogEvents.trialBegun, { digests: key, parts });
    return true;
  }
}
