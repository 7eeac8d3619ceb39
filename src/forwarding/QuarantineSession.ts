/**
 * Connects one request to the quarantine: checks whether the request may run, and reports the results of its attempts,
 * from which the quarantine recognises what crashes runners.
 */
import { match } from 'ts-pattern';

import type { QuarantineListener } from '../quarantine/InFlightSubjects.js';
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.js';
import type { RequestSubjects } from '../quarantine/requestSubjects.js';
import type { DaemonAnswer } from './AnswerRelay.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';

/** `Retry-After` while a suspect like this one is in progress, in seconds; it is answered, or crashes its runner, within
 * about this time. */
const SUSPECT_RETRY_SECONDS = 0.5;

/** A runner's answer after the deadline has passed; the request may not have reached the point that crashes the runner. */
const GATEWAY_TIMEOUT = 504;

/** A stream that has gone on for this long after its first event shows that the parts of its prompt are sound; in ms. */
const SOUND_STREAM_MILLISECONDS = 1_000;

/** Options of a {@link QuarantineSession}. */
export interface QuarantineSessionOptions {
  quarantine: RequestQuarantine;
  subjects: RequestSubjects;
  service: string;
  /** Attempts in progress. */
  active: ReadonlySet<RunnerAttempt>;
  /** Called when the request has been put into quarantine and must not reach another runner. */
  onQuarantined: QuarantineListener;
}

/** Quarantine state of one request. */
export class QuarantineSession {
  /** Software version at which alone the request may run; any if `undefined`. */
  softwareVersion: string | undefined;

  private readonly options: QuarantineSessionOptions;

  /** Whether the request was let through to see whether runners still crash. */
  private isTrial = false;

  /** The attempt that streams, and when its first event arrived, in monotonic ms. */
  private streaming: { readonly attempt: RunnerAttempt; readonly since: number } | undefined;

  /** Whether the stream has shown that the parts are sound. */
  private isStreamSound = false;

  /**
   * @param options - the quarantine and the request.
   */
  constructor(options: QuarantineSessionOptions) {
    this.options = options;
  }

  /** @returns Whether more than one runner has crashed while it was running the request, or a part of its prompt. */
  get isRepeatedSuspect(): boolean {
    return this.options.quarantine.hasRepeatedCrashes(this.options.subjects);
  }

  /** @returns Whether the request may run again after a runner has crashed while running it. */
  get mayRunAgain(): boolean {
    return this.options.quarantine.mayRunAgain(this.options.subjects);
  }

  /** @returns Whether the request may be hedged, which only requests that are not suspects may. */
  get mayHedge(): boolean {
    return !this.options.quarantine.isSuspect(this.options.subjects);
  }

  /** @returns Names of the parts of its prompt that are quarantined. */
  get quarantinedParts(): string | undefined {
    return this.options.quarantine.quarantinedPartsOf(this.options.subjects);
  }

  /**
   * @param softwareVersion - version that the request is about to be sent to; `undefined` for any.
   * @returns Whether the quarantine lets it run at another version only.
   */
  isExcludedFrom(softwareVersion: string | undefined): boolean {
    return this.softwareVersion !== undefined && this.softwareVersion !== softwareVersion;
  }

  /**
   * Begins the request, unless it is in quarantine or a suspect like it is in progress.
   *
   * @returns The refusal of a request that may not run now, or `undefined` if it has begun.
   */
  begin(): DaemonAnswer | undefined {
    const { quarantine, subjects, service } = this.options;
    return match(quarantine.admit({ subjects, service }))
      .with({ kind: 'admitted' }, ({ softwareVersion, isTrial = false }) => {
        this.softwareVersion = softwareVersion;
        this.isTrial = isTrial;
        quarantine.begin(subjects, this.onVerdict);
        return undefined;
      })
      .with({ kind: 'refused' }, () => this.refusal)
      .with({ kind: 'busy' }, () => ({
        status: 503,
        reason: 'suspect_under_way',
        retryAfterSeconds: SUSPECT_RETRY_SECONDS,
      }))
      .exhaustive();
  }

  /** @returns The refusal of a request in quarantine that no runner has received. */
  get refusal(): DaemonAnswer {
    const { quarantine, subjects } = this.options;
    const retryAfterSeconds = quarantine.retryAfterSeconds(subjects);
    return { status: 503, reason: 'quarantined', retryAfterSeconds };
  }

  /** Records the end of the request. */
  end(): void {
    this.options.quarantine.end(this.onVerdict);
  }

  /**
   * Records a complete answer, which shows that the request did not crash the runner.
   *
   * @param attempt - attempt that was answered.
   * @param status - status code of the answer.
   */
  answered({ runner }: RunnerAttempt, status: number): void {
    if (status === GATEWAY_TIMEOUT) return;
    this.options.quarantine.answered(this.options.subjects, runner.answeringVersion);
  }

  /**
   * Records data of a stream.
   *
   * @param attempt - attempt that received it.
   * @param now - monotonic ms.
   */
  streamed(attempt: RunnerAttempt, now: number): void {
    if (this.streaming?.attempt !== attempt) this.streaming = { attempt, since: now };
    this.recordSoundStream(now);
  }

  /**
   * Records an attempt that this daemon cancelled.
   *
   * @param attempt - cancelled attempt.
   */
  abandoned({ runner, startedAt }: RunnerAttempt): void {
    const { quarantine, subjects } = this.options;
    quarantine.abandoned(runner, { subjects, startedAt });
  }

  /**
   * Records a failed attempt; a broken connection may be due to a crash of the runner.
   *
   * @param attempt - attempt that failed.
   * @param failure - kind of failure.
   * @param now - monotonic ms.
   */
  failed(attempt: RunnerAttempt, failure: AttemptFailure, now: number): void {
    const { quarantine, subjects } = this.options;
    const { runner, startedAt } = attempt;
    if (this.streaming?.attempt === attempt) this.recordSoundStream(now);
    if (failure === 'broken') quarantine.broke(runner, { subjects, startedAt });
    if (failure === 'not_connected') quarantine.refused(runner);
  }

  private readonly onVerdict = (): void => {
    const { quarantine, subjects, active, onQuarantined } = this.options;
    const versions = [...active].map(({ runner }) => runner.softwareVersion);
    if (this.isTrial || this.hasPassedParts || !quarantine.isBlocked(subjects, versions)) return;
    onQuarantined();
  };

  /** Whether the runner already answers on the parts of the prompt, so that only the request as a whole may crash it. */
  private get hasPassedParts(): boolean {
    const { quarantine, active, subjects } = this.options;
    if (!this.streaming || !active.has(this.streaming.attempt)) return false;
    return quarantine.stateOf(subjects.whole.digest) !== 'quarantined';
  }

  /** The request as a whole may still crash the runner later on. */
  private recordSoundStream(now: number): void {
    const { streaming } = this;
    const { quarantine, subjects } = this.options;
    if (!streaming || this.isStreamSound || subjects.partKeys.length === 0) return;
    if (now - streaming.since < SOUND_STREAM_MILLISECONDS) return;
    this.isStreamSound = true;
    quarantine.partsAnswered(subjects, streaming.attempt.runner.answeringVersion);
  }
}
