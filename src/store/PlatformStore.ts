/**
 * The interface of the store: the platform's key-value service, as far as the project uses it.
 */

/** One key with its value. */
export interface StoreEntry {
  readonly key: string;
  readonly value: Uint8Array;
  /** The store's revision at which the key last changed; for the key of a lease it serves as fencing token. */
  readonly modifiedRevision: number;
}

/** Result of a range read. */
export interface StoreRange {
  readonly entries: readonly StoreEntry[];
  /** The store's revision of this read; a lower revision than in an earlier read means that the data are outdated. */
  readonly revision: number;
}

/** One write of a transaction. */
export type StoreWrite =
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly value: Uint8Array;
      readonly leaseId?: string;
    }
  | { readonly kind: 'delete'; readonly key: string };

/** A transaction: all writes are applied if every expected key still has the given revision (0: does not exist). */
export interface StoreTransaction {
  readonly expected: readonly { readonly key: string; readonly modifiedRevision: number }[];
  readonly writes: readonly StoreWrite[];
}

/** Outcome of a transaction, if it is known; on a conflict with the current entries of the expected keys. */
export type TransactionResult =
  | { readonly kind: 'committed'; readonly revision: number }
  | {
      readonly kind: 'conflict';
      readonly revision: number;
      readonly current: readonly StoreEntry[];
    };

/** An event of a watch. */
export type WatchEvent =
  | { readonly kind: 'put'; readonly entry: StoreEntry }
  | { readonly kind: 'delete'; readonly key: string; readonly revision: number }
  /** The store has compacted events after the requested revision; `revision` is the oldest kept. Read the range again. */
  | { readonly kind: 'compacted'; readonly revision: number };

/** Why a call failed. With `unsure`, a write may have taken effect: read the entry before trying again. */
export type StoreFailure = 'unavailable' | 'timeout' | 'unsure' | 'too_large' | 'lease_lost';

/** Thrown by every method of a {@link PlatformStore}. */
export class PlatformStoreError extends Error {
  /**
   * @param failure - kind of the failure.
   * @param message - details for the log.
   * @param options - the underlying error.
   */
  constructor(
    readonly failure: StoreFailure,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.name = 'PlatformStoreError';
  }
}

/** Largest value that the store accepts, in bytes. */
export const MAXIMUM_VALUE_BYTES = 1_000_000;

/**
 * Key-value store with compare-and-swap transactions, leases and watches. The store limits the rate of calls; an open
 * watch counts as one call.
 */
export abstract class PlatformStore {
  /**
   * Reads one key.
   *
   * @param key - the key.
   * @returns The entry, or `undefined` if the key does not exist, with the store's revision.
   */
  abstract get(key: string): Promise<{ entry: StoreEntry | undefined; revision: number }>;

  /**
   * Reads all keys with a prefix.
   *
   * @param prefix - prefix of the keys; not empty.
   * @param options - `keysOnly` leaves the values empty, for large values that are only counted or removed.
   * @returns All entries, ordered by key.
   */
  abstract range(prefix: string, options?: { keysOnly?: boolean }): Promise<StoreRange>;

  /**
   * Applies all writes atomically if all conditions hold.
   *
   * @param transaction - conditions and writes.
   * @returns Whether it was committed or met a conflict; throws `unsure` if the answer was lost.
   */
  abstract transact(transaction: StoreTransaction): Promise<TransactionResult>;

  /**
   * Creates a lease.
   *
   * @param timeToLiveMilliseconds - time until the lease expires without a renewal; the store may round up to seconds.
   * @returns The lease's id and its granted time to live.
   */
  abstract grantLease(
    timeToLiveMilliseconds: number,
  ): Promise<{ leaseId: string; timeToLiveMilliseconds: number }>;

  /**
   * Renews a lease.
   *
   * @param leaseId - the lease.
   * @returns Its new time to live, to be counted from before the call was sent; throws `lease_lost` if the lease has
   *   expired or was revoked.
   */
  abstract renewLease(leaseId: string): Promise<{ timeToLiveMilliseconds: number }>;

  /**
   * Ends a lease and deletes its keys; idempotent.
   *
   * @param leaseId - the lease.
   */
  abstract revokeLease(leaseId: string): Promise<void>;

  /**
   * Watches all keys with a prefix.
   *
   * @param prefix - prefix of the keys.
   * @param fromRevision - first revision whose events are reported.
   * @param signal - ends the watch.
   * @returns Events in the order of their revisions; ends or throws when the connection is lost.
   */
  abstract watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchEvent>;

  /** Closes all connections. */
  abstract close(): Promise<void>;
}
