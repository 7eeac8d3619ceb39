/**
 * The platform's small key-value service, as the project uses it.
 */

/** One key with its value. */
export interface StoreEntry {
  readonly key: string;
  readonly value: Uint8Array;
  /** The store's revision at which the key changed last: also the fencing token of a lease's key. */
  readonly modifiedRevision: number;
}

/** What a range read saw. */
export interface StoreRange {
  readonly entries: readonly StoreEntry[];
  /** The store's revision of this read; an older one than seen before means old data. */
  readonly revision: number;
}

/** One change of a transaction. */
export type StoreWrite =
  | {
      readonly kind: 'put';
      readonly key: string;
      readonly value: Uint8Array;
      readonly leaseId?: string;
    }
  | { readonly kind: 'delete'; readonly key: string };

/** A transaction: all writes, if every key still has the revision named (0: does not exist). */
export interface StoreTransaction {
  readonly expected: readonly { readonly key: string; readonly modifiedRevision: number }[];
  readonly writes: readonly StoreWrite[];
}

/** How a transaction ended, when that is known. */
export type TransactionResult =
  | { readonly kind: 'committed'; readonly revision: number }
  | {
      readonly kind: 'conflict';
      readonly revision: number;
      readonly current: readonly StoreEntry[];
    };

/** What a watch reports. */
export type WatchEvent =
  | { readonly kind: 'put'; readonly entry: StoreEntry }
  | { readonly kind: 'delete'; readonly key: string; readonly revision: number }
  /** Events since the asked revision are gone, `revision` is the oldest kept: read the range again. */
  | { readonly kind: 'compacted'; readonly revision: number };

/** Why a call failed. With `unsure` a write may have taken effect: read before trying again. */
export type StoreFailure = 'unavailable' | 'timeout' | 'unsure' | 'too_large' | 'lease_lost';

/** Thrown by every method of a {@link PlatformStore}. */
export class PlatformStoreError extends Error {
  /**
   * @param failure - what kind of failure.
   * @param message - details.
   * @param options - the cause.
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

/** Largest value that the platform holds, in bytes. */
export const MAXIMUM_VALUE_BYTES = 1_000_000;

/** Compare-and-swap, leases and watches. Every call is counted, a waiting watch as one. */
export abstract class PlatformStore {
  /**
   * @param key - the key.
   * @returns The entry, or `undefined`, with the store's revision.
   */
  abstract get(key: string): Promise<{ entry: StoreEntry | undefined; revision: number }>;

  /**
   * @param prefix - start of the keys wanted; not empty.
   * @param options - `keysOnly` leaves the values empty, for large values that are only counted or removed.
   * @returns All entries, ordered by key.
   */
  abstract range(prefix: string, options?: { keysOnly?: boolean }): Promise<StoreRange>;

  /**
   * @param transaction - conditions and writes.
   * @returns Committed or conflict; throws `unsure` when the answer was lost.
   */
  abstract transact(transaction: StoreTransaction): Promise<TransactionResult>;

  /**
   * @param timeToLiveMilliseconds - how long the lease lives without renewal; the platform may round up to seconds.
   * @returns The lease's id and its granted time to live.
   */
  abstract grantLease(
    timeToLiveMilliseconds: number,
  ): Promise<{ leaseId: string; timeToLiveMilliseconds: number }>;

  /**
   * @param leaseId - the lease.
   * @returns Its new time to live, counted from before the call was sent; throws `lease_lost`.
   */
  abstract renewLease(leaseId: string): Promise<{ timeToLiveMilliseconds: number }>;

  /**
   * Ends a lease and deletes its keys; idempotent.
   *
   * @param leaseId - the lease.
   */
  abstract revokeLease(leaseId: string): Promise<void>;

  /**
   * @param prefix - start of the keys watched.
   * @param fromRevision - first revision wanted.
   * @param signal - ends the watch.
   * @returns Events in order; ends or throws when the connection is lost.
   */
  abstract watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchEvent>;

  /** Releases connections. */
  abstract close(): Promise<void>;
}
