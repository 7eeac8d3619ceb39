/**
 * The attempts of one request that are in progress.
 */
import type { QuarantineSession } from './QuarantineSession.js';
import type { RunnerAttempt } from './RunnerAttempt.js';

/** Set of attempts that can be cancelled together. */
export class ActiveAttempts extends Set<RunnerAttempt> {
  /**
   * Cancels all attempts.
   *
   * @param quarantine - told of each, since the work that it began may still crash its runner.
   */
  cancelAll(quarantine: Pick<QuarantineSession, 'abandoned'>): void {
    for (const attempt of this) {
      attempt.cancel();
      quarantine.abandoned(attempt);
    }
    this.clear();
  }
}
