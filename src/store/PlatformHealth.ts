/**
 * Logs when the store stops answering and when it answers again, instead of each failed call.
 */
import type { Log } from '../logging/Log.js';
import { platformLogEvents } from './platformFeature.js';
import type { StoreFailure } from './PlatformStore.js';

/** Options of a {@link PlatformHealth}. */
export interface PlatformHealthOptions {
  log: Log;
}

/** Tracks whether the store answers this daemon. */
export class PlatformHealth {
  private readonly log: Log;

  private isAnswering = true;

  /**
   * @param options - where changes are logged.
   */
  constructor({ log }: PlatformHealthOptions) {
    this.log = log;
  }

  /** @returns Whether the last call was answered. */
  get available(): boolean {
    return this.isAnswering;
  }

  /** Records a call that was answered. */
  succeeded(): void {
    if (this.isAnswering) return;
    this.isAnswering = true;
    this.log.write(platformLogEvents.available);
  }

  /**
   * Records a call that failed.
   *
   * @param operation - name of the call.
   * @param failure - kind of the failure.
   * @param message - details for the log.
   */
  failed(operation: string, failure: StoreFailure, message: string): void {
    if (failure === 'unsure') this.log.write(platformLogEvents.unsure, { operation, message });
    if (failure === 'lease_lost' || failure === 'too_large') return;
    if (!this.isAnswering) return;
    this.isAnswering = false;
    this.log.write(platformLogEvents.unavailable, { operation, failure, message });
  }
}
