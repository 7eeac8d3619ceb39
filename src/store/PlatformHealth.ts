/**
 * Logs when the platform stops answering and when it answers again, not each failed call.
 */
import type { Log } from '../logging/Log.js';
import { platformLogEvents } from './platformFeature.js';
import type { StoreFailure } from './PlatformStore.js';

/** Options of a {@link PlatformHealth}. */
export interface PlatformHealthOptions {
  log: Log;
}

/** Whether the platform answers, as this daemon sees it. */
export class PlatformHealth {
  private readonly log: Log;

  private answers = true;

  /**
   * @param options - where changes are logged.
   */
  constructor({ log }: PlatformHealthOptions) {
    this.log = log;
  }

  /** @returns Whether the last call was answered. */
  get available(): boolean {
    return this.answers;
  }

  /** Notes a call that was answered. */
  succeeded(): void {
    if (this.answers) return;
    this.answers = true;
    this.log.write(platformLogEvents.available);
  }

  /**
   * Notes a call that failed.
   *
   * @param operation - the call.
   * @param failure - how.
   * @param message - details.
   */
  failed(operation: string, failure: StoreFailure, message: string): void {
    if (failure === 'unsure') this.log.write(platformLogEvents.unsure, { operation, message });
    if (failure === 'lease_lost' || failure === 'too_large') return;
    if (!this.answers) return;
    this.answers = false;
    this.log.write(platformLogEvents.unavailable, { operation, failure, message });
  }
}
