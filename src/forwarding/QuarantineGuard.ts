/**
 * One request's dealings with the quarantine: whether it may run, and what its attempts tell of runners that crashed.
 */
import type { QuarantineListener, RequestQuarantine } from '../quarantine/RequestQuarantine.js';
import type { OwnAnswer } from './AnswerRelay.js';
import type { AttemptFailure, RunnerAttempt } from './RunnerAttempt.js';

/** A suspect that is under way is answered, or has crashed its runner, within about this time; in seconds. */
const SUSPECT_RETRY_SECONDS = 0.5;

/** A runner's answer to a deadline that has passed: the request may not have come to what crashes the runner. */
const GATEWAY_TIMEOUT = 504;

/** Options of a {@link QuarantineGuard}. */
export interface QuarantineGuardOptions {
  quarantine: RequestQuarantine;
  /** Of the request. */
  digest: string;
  /** Told when the request must reach no more runners. */
  onQuarantined: QuarantineListener;
}

/** Kept by one request. */
export class QuarantineGuard {
  /** The same for each arrival of the request. */
  readonly digest: string;

  private readonly quarantine: RequestQuarantine;

  private readonly onQuarantined: QuarantineListener;

  /**
   * @param options - the request.
   */
  constructor({ quarantine, digest, onQuarantined }: QuarantineGuardOptions) {
    this.quarantine = quarantine;
    this.digest = digest;
    this.onQuarantined = onQuarantined;
  }

  /** @returns Whether more than one runner has crashed under the request. */
  get isRepeatedSuspect(): boolean {
    return this.quarantine.isRepeatedSuspect(this.digest);
  }

  /** @returns Whether it may be sent to a second runner beside the first. */
  get mayHedge(): boolean {
    return this.quarantine.standingOf(this.digest) === 'sound';
  }

  /**
   * Suspects run one at a time, so that a request that crashes runners does not reach several at once.
   *
   * @returns The answer to a request that may not run now, or `undefined` where it has begun.
   */
  begin(): OwnAnswer | undefined {
    const { quarantine, digest } = this;
    const standing = quarantine.standingOf(digest);
    if (standing === 'quarantined') return this.refusal;
    if (standing === 'suspect' && quarantine.isUnderWay(digest)) {
      const retryAfterSeconds = SUSPECT_RETRY_SECONDS;
      return { status: 503, reason: 'suspect_under_way', retryAfterSeconds };
    }
    quarantine.begin(digest, this.onQuarantined);
    return undefined;
  }

  /** @returns The answer to a request in quarantine that no runner has. */
  get refusal(): OwnAnswer {
    const retryAfterSeconds = this.quarantine.retryAfterSeconds(this.digest);
    return { status: 503, reason: 'quarantined', retryAfterSeconds };
  }

  /** The request is over. */
  end(): void {
    this.quarantine.end(this.digest, this.onQuarantined);
  }

  /**
   * @param status - of a runner's whole answer.
   */
  answered(status: number): void {
    if (status !== GATEWAY_TIMEOUT) this.quarantine.answered(this.digest);
  }

  /**
   * @param attempt - that is broken off here.
   */
  abandoned({ runner, startedAt }: RunnerAttempt): void {
    this.quarantine.abandoned(runner, { digest: this.digest, startedAt });
  }

  /**
   * @param attempt - that got no answer.
   * @param failure - how it failed.
   */
  failed({ runner, startedAt }: RunnerAttempt, failure: AttemptFailure): void {
    const { quarantine, digest } = this;
    if (failure === 'broken') quarantine.broke(runner, { digest, startedAt });
    if (failure === 'not_connected') quarantine.refused(runner);
  }
}
