/**
 * Records which bindings were used, and for which request, until they expire, so that a binding
 * runs one request once.
 *
 * A ledger belongs to one incarnation of the process. It removes an entry only when its binding
 * expires, by the same clock that decides whether a binding is accepted. A binding that were
 * removed while still valid could run its request a second time. For the same reason a full
 * ledger accepts no new binding rather than remove one.
 */

/** A use of a binding: the binding and the request that it is used for. */
export interface BindingUse {
  readonly bindingId: string;
  readonly clientAccount: string;
  /**
   * Digest of the request; using the binding with a different request is an error of the caller.
   */
  readonly digest: string;
  /** When the binding expires, in milliseconds on the ledger's clock. */
  readonly expiresAt: number;
}

/** Result of using a binding. */
export type LedgerResult<Run> =
  /** The first use: the request runs now, and never again. */
  | { readonly kind: 'first'; readonly run: Run }
  /** A repeat: the single run is in progress or has ended. */
  | { readonly kind: 'repeat'; readonly run: Run }
  /** The binding was used for another request. */
  | { readonly kind: 'other_request' }
  /** The binding has expired, so it is no longer known whether it was used. */
  | { readonly kind: 'expired' }
  /** The ledger is full; the binding remains unused and valid. */
  | { readonly kind: 'full'; readonly retryAfterMilliseconds: number };

/** Options of a {@link BindingLedger}. */
export interface BindingLedgerOptions<Run> {
  maximumBindings?: number;
  /** Limit for each client account, so that one account cannot fill the ledger for all others. */
  maximumBindingsPerAccount?: number;
  /** Called with the run of an entry that is removed because its binding expired. */
  onExpire?: (run: Run) => void;
}

/** Default of {@link BindingLedgerOptions.maximumBindings}. */
export const DEFAULT_MAXIMUM_BINDINGS = 20_000;

/** Default of {@link BindingLedgerOptions.maximumBindingsPerAccount}. */
export const DEFAULT_MAXIMUM_BINDINGS_PER_ACCOUNT = 5_000;

interface Entry<Run> extends BindingUse {
  readonly run: Run;
}

/**
 * Holds the used bindings of this incarnation. All times are milliseconds of one clock that never
 * goes back.
 */
export class BindingLedger<Run> {
  private readonly maximumBindings: number;

  private readonly maximumBindingsPerAccount: number;

  private readonly onExpire: (run: Run) => void;

  private readonly entries = new Map<string, Entry<Run>>();

  /** Entries ordered by expiry, earliest first. */
  private byExpiry: Entry<Run>[] = [];

  private readonly countByAccount = new Map<string, number>();

  /**
   * @param options - the limits, and what to call when an entry is removed.
   */
  constructor({
    maximumBindings = DEFAULT_MAXIMUM_BINDINGS,
    maximumBindingsPerAccount = DEFAULT_MAXIMUM_BINDINGS_PER_ACCOUNT,
    onExpire = () => {},
  }: BindingLedgerOptions<Run> = {}) {
    this.maximumBindings = maximumBindings;
    this.maximumBindingsPerAccount = maximumBindingsPerAccount;
    this.onExpire = onExpire;
  }

  /**
   * Uses a binding for a request.
   *
   * @param now - the time on the ledger's clock, in milliseconds.
   * @param use - the binding and its request.
   * @param start - starts the run; called for the first use only.
   * @returns Whether this is the first use, a repeat or a refusal, with the run if there is one.
   */
  use(now: number, use: BindingUse, start: () => Run): LedgerResult<Run> {
    this.removeExpired(now);
    if (now >= use.expiresAt) return { kind: 'expired' };
    const existing = this.entries.get(use.bindingId);
    if (existing) {
      if (existing.digest !== use.digest) return { kind: 'other_request' };
      return { kind: 'repeat', run: existing.run };
    }
    if (!this.hasCapacityFor(use.clientAccount)) return this.fullResult(now, use.clientAccount);
    const entry = { ...use, run: start() };
    this.insert(entry);
    return { kind: 'first', run: entry.run };
  }

  /**
   * @param now - the time on the ledger's clock, in milliseconds.
   * @param clientAccount - a client account.
   * @returns Whether a new binding of the account could be used now.
   */
  canAccept(now: number, clientAccount: string): boolean {
    this.removeExpired(now);
    return this.hasCapacityFor(clientAccount);
  }

  /**
   * @param now - the time on the ledger's clock, in milliseconds.
   * @param clientAccount - a client account that has no capacity left.
   * @returns Milliseconds until the first entry that blocks the account expires.
   */
  retryAfter(now: number, clientAccount: string): number {
    const isAccountFull = this.countOf(clientAccount) >= this.maximumBindingsPerAccount;
    const firstToExpire = this.byExpiry.find(
      (entry) => !isAccountFull || entry.clientAccount === clientAccount,
    );
    return firstToExpire ? Math.ceil(firstToExpire.expiresAt - now) : 0;
  }

  /** @returns Number of bindings in the ledger. */
  size(): number {
    return this.entries.size;
  }

  private fullResult(now: number, clientAccount: string): LedgerResult<Run> {
    return { kind: 'full', retryAfterMilliseconds: this.retryAfter(now, clientAccount) };
  }

  private hasCapacityFor(clientAccount: string): boolean {
    const hasTotalCapacity = this.entries.size < this.maximumBindings;
    return hasTotalCapacity && this.countOf(clientAccount) < this.maximumBindingsPerAccount;
  }

  private countOf(clientAccount: string): number {
    return this.countByAccount.get(clientAccount) ?? 0;
  }

  private insert(entry: Entry<Run>): void {
    this.entries.set(entry.bindingId, entry);
    this.countByAccount.set(entry.clientAccount, this.countOf(entry.clientAccount) + 1);
    // All bindings have the same lifetime and are used soon after they are issued, so the new
    // entry nearly always belongs at the end.
    const index = this.byExpiry.findLastIndex((other) => other.expiresAt <= entry.expiresAt);
    this.byExpiry.splice(index + 1, 0, entry);
  }

  private removeExpired(now: number): void {
    const firstKept = this.byExpiry.findIndex((entry) => entry.expiresAt > now);
    const expired = this.byExpiry.splice(0, firstKept === -1 ? this.byExpiry.length : firstKept);
    for (const entry of expired) {
      this.entries.delete(entry.bindingId);
      const count = this.countOf(entry.clientAccount) - 1;
      if (count > 0) this.countByAccount.set(entry.clientAccount, count);
      else this.countByAccount.delete(entry.clientAccount);
      this.onExpire(entry.run);
    }
  }
}
