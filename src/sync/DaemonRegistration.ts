/**
 * Keeps this daemon registered in the store, under a lease, for as long as it accepts requests.
 */
import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import type { DaemonEntry, FleetStore } from './FleetStore.js';
import { syncLogEvents } from './syncFeature.js';

/** Options of a {@link DaemonRegistration}. */
export interface DaemonRegistrationOptions {
  store: FleetStore;
  log: Log;
  daemon: DaemonEntry;
  /** Whether the store lists this daemon; if its entry is missing, it is registered again. */
  isListed: () => boolean;
  clock: Clock;
  /** Returns random numbers in [0, 1); replaced by tests. */
  random?: () => number;
}

/**
 * Time to live of the lease, in ms. A daemon that has died stays listed this long, and longer while the store is
 * unavailable. That is acceptable because the failure detector, not this list, decides which daemons are alive, and does
 * so within three seconds. A shorter lease would drop live daemons while the store is slow.
 */
const LEASE_MILLISECONDS = 9_000;

/** Interval between renewals, in ms: three of them may fail before the lease expires. */
const RENEWAL_MILLISECONDS = 2_500;

/** Pause after a failed renewal, in ms. It is short because the lease is still held and a renewal costs the store little. */
const RETRY_MILLISECONDS = 500;

/**
 * Longest pause after a failed registration, in ms. The first pause is that of a renewal, and it doubles with each
 * failure. Waiting does little harm, since callers keep the addresses that they know for seconds, while two writes a
 * second from each daemon of a large fleet would add load to a store that already refuses calls.
 */
const LONGEST_RETRY_MILLISECONDS = 3_000;

/** Age of a lease from which on any copy of the store holds it, in ms; a copy is some seconds old. */
const SAFE_LEASE_AGE_MILLISECONDS = 60_000;

/** Time over which daemons spread their registrations after a restore of the store, in ms. */
const REGISTRATION_SPREAD_MILLISECONDS = 1_000;

/** Registers the daemon, renews its lease, and registers again when the lease or the entry is lost. */
export class DaemonRegistration {
  private readonly options: DaemonRegistrationOptions;

  private registration: string | undefined;

  /** When it was made, monotonic ms. */
  private registeredAt = Number.NEGATIVE_INFINITY;

  private unlistedRenewals = 0;

  /** Consecutive registrations that failed. */
  private failures = 0;

  private timer: NodeJS.Timeout | undefined;

  private stopped = false;

  /**
   * @param options - the store and this daemon's entry.
   */
  constructor(options: DaemonRegistrationOptions) {
    this.options = options;
  }

  /** Registers the daemon, and renews the lease until {@link stop}. */
  async start(): Promise<void> {
    if (this.stopped) return;
    this.timer = undefined;
    const wait = await this.step();
    if (!this.stopped) this.schedule(wait);
  }

  /**
   * Registers the daemon again if the restored store may lack its registration. Its lease cannot be renewed to find out:
   * the store may have given the same lease to another daemon.
   */
  handleRestore(): void {
    const age = this.options.clock.monotonicMilliseconds() - this.registeredAt;
    if (this.registration === undefined || age >= SAFE_LEASE_AGE_MILLISECONDS) return;
    this.registration = undefined;
    if (this.timer) this.schedule(this.spreadMilliseconds);
  }

  /** Removes the daemon's entry at once. If the store does not answer, the entry goes when the lease expires. */
  async stop(): Promise<void> {
    this.stopped = true;
    clearTimeout(this.timer);
    if (this.registration === undefined) return;
    try {
      await this.options.store.withdraw(this.registration);
    } catch (error) {
      this.logFailure(error as Error, 'withdraw');
    }
  }

  private get spreadMilliseconds(): number {
    const { random = Math.random } = this.options;
    return REGISTRATION_SPREAD_MILLISECONDS * random();
  }

  private schedule(milliseconds: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      void this.start();
    }, milliseconds);
  }

  private async step(): Promise<number> {
    const { store, daemon, log, clock } = this.options;
    try {
      if (this.registration === undefined) {
        this.registration = await store.register(daemon, LEASE_MILLISECONDS);
        this.registeredAt = clock.monotonicMilliseconds();
        this.failures = 0;
        log.write(syncLogEvents.registered, { registration: this.registration });
      } else {
        await store.renew(this.registration);
        this.checkListed();
      }
      return this.registration === undefined ? this.spreadMilliseconds : RENEWAL_MILLISECONDS;
    } catch (error) {
      this.logFailure(error as Error, this.registration ? 'renew' : 'register');
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

  /** The entry can be missing although the lease is held: a late write of an earlier incarnation may have replaced it. */
  private checkListed(): void {
    this.unlistedRenewals = this.options.isListed() ? 0 : this.unlistedRenewals + 1;
    if (this.unlistedRenewals < 2) return;
    this.unlistedRenewals = 0;
    this.registration = undefined;
  }

  private logFailure(error: Error, during: string): void {
    this.options.log.write(syncLogEvents.registrationFailed, { during, error: error.message });
  }
}
