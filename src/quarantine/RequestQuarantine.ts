/**
 * Keeps requests that crash runners from reaching more of them.
 *
 * Without it, each arrival looks like a new request to each daemon: a single caller that repeats a request that
 * crashes runners, or many whose prompts share a part that does, take down all runners of a small site in turn, with
 * everything that runs there.
 */
import murmurhash from 'murmurhash';

import type { Log } from '../logging/Log.js';
import type { Counter } from '../metrics/Counter.js';
import type { Runner } from '../runners/Runner.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { Clock } from '../time/Clock.js';
import type { DetectedCrash, InterruptedRequest, CrashDetectorOptions } from './CrashDetector.js';
import { CrashDetector } from './CrashDetector.js';
import { InFlightSubjects } from './InFlightSubjects.js';
import type { QuarantineListener } from './InFlightSubjects.js';
import { QuarantineDecisions } from './QuarantineDecisions.js';
import { quarantineLogEvents } from './quarantineFeature.js';
import type { CrashVerdict } from './explainCrashes.js';
import { nextTrialAt } from './nextTrialAt.js';
import { QuarantineTrials } from './QuarantineTrials.js';
import type { CrashSubject, CrashSummary, SubjectState } from './quarantineTypes.js';
import type { RequestSubjects } from './requestSubjects.js';
import { hashOfVersion, namesOfParts } from './requestSubjects.js';

/** Maximum number of digests, and of parts, in one log line. */
const MAXIMUM_LOGGED = 12;

const MILLISECONDS_PER_SECOND = 1_000;

/** Minimum time until a caller of a quarantined request should come back, in seconds. */
const MINIMUM_RETRY_SECONDS = 1;

/** A request as the quarantine sees it. */
export interface QuarantineQuestion {
  readonly subjects: RequestSubjects;
  readonly service: string;
}

/**
 * Whether a request may run now. `admitted`: it may, at runners of the given software version if there is one;
 * `refused`: runners have crashed while running it; `busy`: it is a suspect, and one like it is in flight.
 */
export type QuarantineAdmission =
  | {
      readonly kind: 'admitted';
      readonly softwareVersion?: string | undefined;
      /** Whether it is a trial, which goes on whatever is known of its subjects. */
      readonly isTrial?: boolean;
    }
  | { readonly kind: 'refused' }
  | { readonly kind: 'busy' };

/** Options of a {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  runners: CrashDetectorOptions['runners'] & Pick<RunnerTable, 'readyOf'>;
  clock: Clock;
  log: Log;
  /** Counts the crashes that this daemon has detected. */
  crashes: Pick<Counter, 'increment'>;
  /** Called when a change has to be sent to other daemons. */
  onChange?: () => void;
  /** Whether this daemon is the one that tries a quarantined subject again. */
  isTrialOwner?: (digest: string) => boolean;
  probe?: CrashDetectorOptions['probe'];
  later?: CrashDetectorOptions['later'];
}

/** Holds the crash records and the in-flight requests. */
export class RequestQuarantine {
  readonly decisions: QuarantineDecisions;

  private readonly options: RequestQuarantineOptions;

  private readonly watch: CrashDetector;

  private readonly trials: QuarantineTrials;

  /** The daemon whose records are being merged at the moment; `undefined` outside a merge. */
  private mergeSource: string | undefined;

  private readonly inFlight = new InFlightSubjects();

  /**
   * @param options - the runners, and the listener for changes.
   */
  constructor(options: RequestQuarantineOptions) {
    const { runners, clock, log, probe, later, isTrialOwner = () => true } = options;
    this.options = options;
    this.decisions = new QuarantineDecisions({
      onQuarantined: (digest) => this.logQuarantined(digest),
      onReleased: (digest) => log.write(quarantineLogEvents.requestReleased, this.namesOf(digest)),
      onVerdict: ({ digests: [digest = ''] }) => this.inFlight.notify(this.subjectOf(digest)),
    });
    const { decisions } = this;
    this.trials = new QuarantineTrials({ decisions, runners, clock, log, isOwner: isTrialOwner });
    this.watch = new CrashDetector({
      runners,
      clock,
      ...(probe && { probe }),
      ...(later && { later }),
      onCrash: (seen) => this.handleCrash(seen),
    });
  }

  /**
   * @param digest - digest of a subject.
   * @returns Its state.
   */
  stateOf(digest: string): SubjectState {
    return this.decisions.stateOf(digest);
  }

  /**
   * @param subjects - subjects of a request.
   * @returns Whether runners have crashed while running it.
   */
  isSuspect(subjects: RequestSubjects): boolean {
    const { decisions } = this;
    return decisions
      .recordedAmong(subjects)
      .some(({ digest }) => decisions.stateOf(digest) !== 'sound');
  }

  /**
   * @param subjects - subjects of a request.
   * @returns Whether more than one runner has crashed while running it.
   */
  hasRepeatedCrashes(subjects: RequestSubjects): boolean {
    const { decisions } = this;
    return decisions.recordedAmong(subjects).some(({ digest }) => decisions.crashesOf(digest) > 1);
  }

  /**
   * @param subjects - subjects of a request.
   * @returns Whether it may run again after a runner has crashed while running it: none, or only one, has, or a part of
   * other prompts explains the crashes. A part of its own prompt, which many requests share, is no reason against that:
   * most of these are sound.
   */
  mayRunAgain(subjects: RequestSubjects): boolean {
    const { decisions } = this;
    if (decisions.crashesOf(subjects.whole.digest) <= 1) return true;
    return decisions.isExplainedElsewhere(decisions.recordedAmong(subjects), this.now);
  }

  /**
   * Decides whether a request may run. Suspects run one at a time, so that what crashes runners does not reach several of
   * them at once.
   *
   * @param question - the request.
   * @returns Whether it may run, and where.
   */
  admit({ subjects, service }: QuarantineQuestion): QuarantineAdmission {
    const recorded = this.decisions.recordedAmong(subjects);
    const verdict = this.decisions.verdictOn(recorded);
    if (!verdict) {
      const isBusy = this.inFlight.hasAny(recorded.filter((subject) => this.runsAlone(subject)));
      return { kind: isBusy ? 'busy' : 'admitted' };
    }
    const isBusy = this.inFlight.hasAny(verdict.digests.map((digest) => this.subjectOf(digest)));
    const exemption = this.trials.exemptionFrom(verdict, service, isBusy);
    return exemption ? { kind: 'admitted', ...exemption } : { kind: 'refused' };
  }

  /**
   * @param subjects - subjects of a request in flight.
   * @param softwareVersions - versions of the runners that are working on it.
   * @returns Whether it has to end.
   */
  isBlocked(subjects: RequestSubjects, softwareVersions: readonly string[]): boolean {
    const verdict = this.verdictOn(subjects);
    if (!verdict) return false;
    if (softwareVersions.length === 0) return true;
    return softwareVersions.some((version) => this.trials.hasCrashedAt(verdict, version));
  }

  /**
   * @param subjects - subjects of a quarantined request.
   * @returns Value of the `Retry-After` header, in whole seconds.
   */
  retryAfterSeconds(subjects: RequestSubjects): number | undefined {
    const verdict = this.verdictOn(subjects);
    const remaining = verdict ? nextTrialAt(verdict.crashes) - this.now : 0;
    if (!Number.isFinite(remaining)) return undefined;
    return Math.max(MINIMUM_RETRY_SECONDS, Math.ceil(remaining / MILLISECONDS_PER_SECOND));
  }

  /**
   * @param subjects - subjects of a quarantined request.
   * @returns Names of the parts of its prompt that are quarantined; `undefined` if the request is, as a whole.
   */
  quarantinedPartsOf(subjects: RequestSubjects): string | undefined {
    const { digests = [] } = this.verdictOn(subjects) ?? {};
    const quarantined = digests.map((digest) => this.subjectOf(digest));
    return namesOfParts(quarantined, MAXIMUM_LOGGED);
  }

  /**
   * Adds a request that is about to be sent to runners.
   *
   * @param subjects - its subjects.
   * @param listener - called when it may have to end.
   */
  begin(subjects: RequestSubjects, listener: QuarantineListener): void {
    this.inFlight.add(subjects, listener);
  }

  /**
   * Removes a request that has ended.
   *
   * @param listener - the one that was given to {@link begin}.
   */
  end(listener: QuarantineListener): void {
    this.inFlight.delete(listener);
  }

  /**
   * Records a request whose connection to the runner broke.
   *
   * @param runner - the runner on which it was running.
   * @param request - the interrupted request.
   */
  broke(runner: Runner, request: InterruptedRequest): void {
    this.watch.recordInterrupted(runner, request);
  }

  /**
   * Records a request that this daemon has aborted.
   *
   * @param runner - the runner on which it was running.
   * @param request - the aborted request.
   */
  abandoned(runner: Runner, request: InterruptedRequest): void {
    this.watch.recordAbandoned(runner, request);
  }

  /**
   * Records that a runner's host has refused a connection.
   *
   * @param runner - the runner.
   */
  refused(runner: Runner): void {
    this.watch.recordRefusal(runner);
  }

  /**
   * Records that a runner that crashes when it rejects too many requests has rejected one.
   *
   * @param runner - the runner.
   */
  rejected({ entry }: Runner): void {
    this.decisions.rejected(murmurhash.v3(entry.life), this.now);
    this.notifyChange();
  }

  /**
   * Records that a runner has answered a request.
   *
   * @param subjects - subjects of the request, which the answer shows to be sound.
   * @param softwareVersion - version of the runner's software.
   */
  answered(subjects: RequestSubjects, softwareVersion: string): void {
    this.decisions.answered([subjects.whole.digest], this.now, hashOfVersion(softwareVersion));
    this.partsAnswered(subjects, softwareVersion);
  }

  /**
   * Records that a runner answers on the parts of a prompt.
   *
   * @param subjects - subjects of the request; it may still crash the runner as a whole.
   * @param softwareVersion - version of the runner's software.
   */
  partsAnswered({ partKeys }: RequestSubjects, softwareVersion: string): void {
    this.decisions.partsAnswered(partKeys, this.now, hashOfVersion(softwareVersion));
    this.notifyChange();
  }

  /**
   * Merges the records of another daemon, or those from the store.
   *
   * @param news - the records.
   * @param source - name or address of the daemon, or `store`.
   */
  merge(news: readonly CrashSummary[], source: string): void {
    this.mergeSource = source;
    this.decisions.merge(news, this.now);
    this.mergeSource = undefined;
    this.notifyChange();
  }

  /**
   * Releases a subject for an operator.
   *
   * @param digest - digest of the subject.
   * @returns Whether it was quarantined.
   */
  release(digest: string): boolean {
    const wasQuarantined = this.decisions.release(digest, this.now);
    this.notifyChange();
    return wasQuarantined;
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private notifyChange(): void {
    this.options.onChange?.();
  }

  /**
   * Whether requests with the subject run one at a time. A part that many requests share is beside most crashes, so that
   * one crash says little about it.
   */
  private runsAlone({ digest, part }: CrashSubject): boolean {
    const state = this.decisions.stateOf(digest);
    if (state !== 'suspect' || part === undefined) return state !== 'sound';
    return this.decisions.crashesOf(digest) > 1;
  }

  private verdictOn(subjects: RequestSubjects): CrashVerdict | undefined {
    return this.decisions.verdictOn(this.decisions.recordedAmong(subjects));
  }

  private subjectOf(digest: string): CrashSubject {
    return { digest, part: this.decisions.partOf(digest) };
  }

  private handleCrash({ runner, crash, requests, isFirst }: DetectedCrash): void {
    const { crashes, log } = this.options;
    const { now } = this;
    const suspects = this.decisions.suspectsAmong(requests, crash);
    if (isFirst) crashes.increment();
    log.write(quarantineLogEvents.runnerCrashed, {
      runner: runner.entry.id,
      life: crash.life,
      milliseconds: Math.round(now - crash.at),
      requests: requests.length,
      digests: requests
        .slice(0, MAXIMUM_LOGGED)
        .map(({ whole }) => whole.digest)
        .join(),
      parts: namesOfParts(suspects, MAXIMUM_LOGGED),
    });
    this.decisions.crashed(suspects, crash, now);
    this.notifyChange();
  }

  private namesOf(digest: string): Record<string, string | undefined> {
    return { digest, part: this.decisions.partOf(digest) };
  }

  private logQuarantined(digest: string): void {
    const crashes = this.decisions.summaryOf(digest)?.crashes ?? [];
    this.options.log.write(quarantineLogEvents.requestQuarantined, {
      ...this.namesOf(digest),
      toldBy: this.mergeSource,
      lives: crashes.map(({ life }) => life).join(),
      ages: crashes.map(({ at }) => Math.round(this.now - at)).join(),
      underWay: this.inFlight.countOf(this.subjectOf(digest)),
    });
  }
}
