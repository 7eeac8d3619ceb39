/**
 * Connects one request to the quarantine: checks whether the request may run, and reports the results of its attempts,
 * from which the quarantine recognises requests that crash runners.
 */
import type { QuarantineListener, RequestQuarantine } from '../quarantine/RequestQuarantine.js';
import type { DaemonAnswer } from './AnswerRelay.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';

/** `Retry-After` while the same suspect request is in progress, in seconds; it is answered, or crashes its runner, within
 * about this time. */
const SUSPECT_RETRY_SECONDS = 0.5;

/** A runner's answer after the deadline has passed; the request may not have reached the point that crashes the runner. */
const GATEWAY_TIMEOUT = 504;

/** Options of a {@link QuarantineSession}. */
export interface QuarantineSessionOptions {
  quarantine: RequestQuarantine;
  /** Digest of the request. */
  digest: string;
  /** Called when the request has been put into quarantine and must not reach another runner. */
  onQuarantined: QuarantineListener;
}

/** Quarantine state of one request. */
export class QuarantineSession {
  /** Digest of the request; the same each time the caller sends it. */
  readonly digest: string;

  private readonly quarantine: RequestQuarantine;

  private readonly onQuarantined: QuarantineListener;

  /**
   * @param options - the quarantine and the digest of the request.
   */
  constructor({ quarantine, digest, onQuarantined }: QuarantineSessionOptions) {
    this.quarantine = quarantine;
    this.digest = digest;
    this.onQuarantined = onQuarantined;
  }

  /** @returns Whether more than one runner has crashed while it was running the request. */
  get isRepeatedSuspect(): boolean {
    return this.quarantine.hasRepeatedCrashes(this.digest);
  }

  /** @returns Whether the request may be hedged, which only requests that are not suspects may. */
  get mayHedge(): boolean {
    return this.quarantine.stateOf(this.digest) === 'sound';
  }

  /**
   * Begins the request, unless it is in quarantine or the same suspect request is in progress. Suspects run one at a
   * time, so that a request that crashes runners does not reach several of them at once.
   *
   * @returns The refusal of a request that may not run now, or `undefined` if it has begun.
   */
  begin(): DaemonAnswer | undefined {
    const { quarantine, digest } = this;
    const standing = quarantine.stateOf(digest);
    if (standing === 'quarantined') return this.refusal;
    if (standing === 'suspect' && quarantine.isInFlight(digest)) {
      const retryAfterSeconds = SUSPECT_RETRY_SECONDS;
      return { status: 503, reason: 'suspect_under_way', retryAfterSeconds };
    }
    quarantine.begin(digest, this.onQuarantined);
    return undefined;
  }

  /** @returns The refusal of a request in quarantine that no runner has received. */
  get refusal(): DaemonAnswer {
    const retryAfterSeconds = this.quarantine.retryAfterSeconds(this.digest);
    return { status: 503, reason: 'quarantined', retryAfterSeconds };
  }

  /** Records the end of the request. */
  end(): void {
    this.quarantine.end(this.digest, this.onQuarantined);
  }

  /**
   * Records a complete answer, which shows that the request did not crash the runner.
   *
   * @param status - status code of the answer.
   */
  answered(status: number): void {
    if (status !== GATEWAY_TIMEOUT) this.quarantine.answered(this.digest);
  }

  /**
   * Records an attempt that this daemon cancelled.
   *
   * @param attempt - cancelled attempt.
   */
  abandoned({ runner, startedAt }: RunnerAttempt): void {
    this.quarantine.abandoned(runner, { digest: this.digest, startedAt });
  }

  /**
   * Records a failed attempt; a broken connection may be due to a crash of the runner.
   *
   * @param attempt - attempt that failed.
   * @param failure - kind of failure.
   */
  failed({ runner, startedAt }: RunnerAttempt, failure: AttemptFailure): void {
    const { quarantine, digest } = this;
    if (failure === 'broken') quarantine.broke(runner, { digest, startedAt });
    if (failure === 'not_connected') quarantine.refused(runner);
  }
}
