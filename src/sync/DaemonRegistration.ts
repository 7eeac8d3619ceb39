/**
 * Keeps this daemon registered in the store as long as it takes requests.
 */
import type { Log } from '../logging/Log.js';
import type { DaemonEntry, FleetStore } from './FleetStore.js';
import { syncLogEvents } from './syncFeature.js';

/** Options of a {@link DaemonRegistration}. */
export interface DaemonRegistrationOptions {
  store: FleetStore;
  log: Log;
  daemon: DaemonEntry;
  /** What others believe of this daemon; a missing entry is written again. */
  isListed: () => boolean;
}

/**
 * A daemon that dies stays listed this long, in ms, and longer while the store is away. The list is not the list of those
 * that live: the failure detector knows these within three seconds. A shorter lease would drop live daemons while the
 * store is slow.
 */
const LIFE_MILLISECONDS = 9_000;

/** Three renewals may fail before the lease ends; in ms. */
const RENEWAL_MILLISECONDS = 2_500;

/** Pause after a renewal that failed, in ms: the lease is still there, and a renewal costs the store little. */
const RETRY_MILLISECONDS = 500;

/**
 * Longest pause after a registration that failed, in ms; the first one is that of a renewal, doubled with each failure.
 * Callers keep the addresses that they know for seconds, and a store that refuses all daemons of a large fleet is not
 * helped by two writes a second from each of them.
 */
const LONGEST_RETRY_MILLISECONDS = 3_000;

/** Owns the lease. */
export class DaemonRegistration {
  private readonly options: DaemonRegistrationOptions;

  private registration: string | undefined;

  private unlistedRenewals = 0;

  /** Registrations in a row that failed. */
  private failures = 0;

  private timer: NodeJS.Timeout | undefined;

  private stopped = false;

  /**
   * @param options - store and entry.
   */
  constructor(options: DaemonRegistrationOptions) {
    this.options = options;
  }

  /** Registers, and renews from then on. */
  async start(): Promise<void> {
    if (this.stopped) return;
    const wait = await this.step();
    if (this.stopped) return;
    this.timer = setTimeout(() => {
      void this.start();
    }, wait);
  }

  /** Takes the daemon out of the list at once; a store that does not answer lets the lease run out. */
  async stop(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.timer);
    if (this.registration === undefined) return;
    try {
      await this.options.store.withdraw(this.registration);
    } catch (error) {
      this.reportFailure(error as Error, 'withdraw');
    }
  }

  private async step(): Promise<number> {
    const { store, daemon, log } = this.options;
    try {
      if (this.registration === undefined) {
        this.registration = await store.register(daemon, LIFE_MILLISECONDS);
        this.failures = 0;
        log.write(syncLogEvents.registered, { registration: this.registration });
      } else {
        await store.renew(this.registration);
        this.checkListed();
      }
      return RENEWAL_MILLISECONDS;
    } catch (error) {
      this.reportFailure(error as Error, this.registration ? 'renew' : 'register');
      if ((error as Error).name === 'RegistrationLost') this.registration = undefined;
      return this.retryMilliseconds();
    }
  }

  private retryMilliseconds(): number {
    if (this.registration !== undefined) return RETRY_MILLISECONDS;
    const pause = RETRY_MILLISECONDS * 2 ** this.failures;
    this.failures += 1;
    return Math.min(LONGEST_RETRY_MILLISECONDS, pause);
  }

  /** An entry can be missing under a live lease when a late write of an earlier life went over it. */
  private checkListed(): void {
    this.unlistedRenewals = this.options.isListed() ? 0 : this.unlistedRenewals + 1;
    if (this.unlistedRenewals < 2) return;
    this.unlistedRenewals = 0;
    this.registration = undefined;
  }

  private reportFailure(error: Error, during: string): void {
    this.options.log.write(syncLogEvents.registrationFailed, { during, error: error.message });
  }
}
