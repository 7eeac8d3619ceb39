/**
 * Validity and due times of a lease that this daemon was granted, by its own monotonic clock.
 *
 * All times are counted from before a call was sent. The platform counts from when it received the call, so
 * that the lease always ends here before it ends there.
 */
import type { LeaseTimings } from './leaseTimings.js';
import { KEY_READS_PER_TIME_TO_LIVE, RENEWALS_PER_TIME_TO_LIVE } from './leaseTimings.js';

/** Options of a {@link HeldLease}. */
export interface HeldLeaseOptions {
  leaseId: string;
  nonce: string;
  timings: LeaseTimings;
  /** Monotonic time in milliseconds before the grant was requested. */
  askedAt: number;
  /** Time to live as granted. */
  timeToLiveMilliseconds: number;
}

/** A lease granted by the platform. Its key may not have been written yet. */
export class HeldLease {
  readonly leaseId: string;

  /** The nonce in the key's value if this daemon wrote the key. */
  readonly nonce: string;

  /** Fencing token: the modified revision of the key; 0 until this daemon has written it. */
  token = 0;

  /** Monotonic time at which this daemon learned that it holds the key. */
  acquiredAt = 0;

  /** Monotonic time at which the next renewal is due. */
  renewAt = 0;

  /** Monotonic time at which the next read of the key is due. */
  readAt = 0;

  private readonly timings: LeaseTimings;

  /** Monotonic time until which the store lease is certain to exist. */
  private leaseUntil = 0;

  /** Monotonic time until which the key counts as held by this daemon since it was last seen. */
  private keyUntil = Infinity;

  /**
   * @param options - the grant and the timings.
   */
  constructor({ leaseId, nonce, timings, askedAt, timeToLiveMilliseconds }: HeldLeaseOptions) {
    this.leaseId = leaseId;
    this.nonce = nonce;
    this.timings = timings;
    this.extend(askedAt, timeToLiveMilliseconds);
  }

  /** @returns Monotonic time in milliseconds from which nothing may be done under this lease. */
  get validUntil(): number {
    return Math.min(this.leaseUntil, this.keyUntil);
  }

  /**
   * Extends the validity after the platform granted or renewed the lease.
   *
   * @param askedAt - monotonic time before the call was sent.
   * @param timeToLiveMilliseconds - time to live as granted.
   */
  extend(askedAt: number, timeToLiveMilliseconds: number): void {
    this.leaseUntil = askedAt + this.shortenByDrift(timeToLiveMilliseconds);
    this.renewAt = askedAt + timeToLiveMilliseconds / RENEWALS_PER_TIME_TO_LIVE;
  }

  /**
   * Extends the validity after a read or write showed that this daemon holds the key.
   *
   * @param askedAt - monotonic time before the call was sent.
   * @param token - modified revision of the key.
   */
  confirm(askedAt: number, token: number): void {
    const { timeToLiveMilliseconds } = this.timings;
    this.token = token;
    this.keyUntil = askedAt + this.shortenByDrift(timeToLiveMilliseconds);
    this.readAt = askedAt + timeToLiveMilliseconds / KEY_READS_PER_TIME_TO_LIVE;
  }

  /** Subtracts the drift that the clocks of this daemon and the platform may have. */
  private shortenByDrift(milliseconds: number): number {
    return milliseconds * (1 - this.timings.clockDriftShare);
  }
}
