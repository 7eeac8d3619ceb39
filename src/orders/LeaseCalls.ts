/**
 * Calls to the platform that are in progress for a lease. Each has a number, so that a late answer to an
 * earlier call is recognized and dropped.
 */

/** Purpose of a call. */
export type CallPurpose = 'look' | 'grant' | 'write' | 'check' | 'renewal' | 'verification';

/** A call that has not been answered. */
export interface PendingCall {
  readonly purpose: CallPurpose;
  /** Monotonic time in milliseconds before the call was sent. */
  readonly askedAt: number;
}

/** Options of {@link LeaseCalls}. */
export interface LeaseCallsOptions {
  timeoutMilliseconds: number;
}

/** Tracks the pending calls of a lease: at most one of each purpose at a time. */
export class LeaseCalls {
  private readonly timeoutMilliseconds: number;

  private readonly pending = new Map<number, PendingCall>();

  private last = 0;

  /**
   * @param options - timeout of a call.
   */
  constructor({ timeoutMilliseconds }: LeaseCallsOptions) {
    this.timeoutMilliseconds = timeoutMilliseconds;
  }

  /**
   * Registers a call that is about to be sent.
   *
   * @param now - monotonic time in milliseconds.
   * @param purpose - purpose of the call.
   * @returns The number of the call.
   */
  start(now: number, purpose: CallPurpose): number {
    this.last += 1;
    this.pending.set(this.last, { purpose, askedAt: now });
    return this.last;
  }

  /**
   * Removes a call that was answered.
   *
   * @param call - number of the call.
   * @returns The call, or `undefined` if it has expired or was answered before.
   */
  complete(call: number): PendingCall | undefined {
    const found = this.pending.get(call);
    this.pending.delete(call);
    return found;
  }

  /**
   * @param purpose - purpose of a call.
   * @returns Whether a call of this purpose is pending.
   */
  isPending(purpose: CallPurpose): boolean {
    return [...this.pending.values()].some((call) => call.purpose === purpose);
  }

  /**
   * Removes the calls that have timed out.
   *
   * @param now - monotonic time in milliseconds.
   * @returns The removed calls.
   */
  expired(now: number): PendingCall[] {
    const late = [...this.pending].filter(([, call]) => now >= this.expiryOf(call));
    for (const [number] of late) this.pending.delete(number);
    return late.map(([, call]) => call);
  }

  /** @returns Monotonic time at which the next call expires; `Infinity` when none is pending. */
  nextExpiry(): number {
    return Math.min(Infinity, ...[...this.pending.values()].map((call) => this.expiryOf(call)));
  }

  /** Removes all pending calls; their answers will be dropped. */
  clear(): void {
    this.pending.clear();
  }

  private expiryOf({ askedAt }: PendingCall): number {
    return askedAt + this.timeoutMilliseconds;
  }
}
