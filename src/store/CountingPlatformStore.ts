/**
 * Decorator that counts the calls to a store which does not count them itself.
 */
import type { PlatformCallMeter } from './PlatformCallMeter.js';
import { PlatformStore } from './PlatformStore.js';
import type {
  StoreEntry,
  StoreRange,
  StoreTransaction,
  TransactionResult,
  WatchEvent,
} from './PlatformStore.js';

/** Options of a {@link CountingPlatformStore}. */
export interface CountingPlatformStoreOptions {
  store: PlatformStore;
  meter: PlatformCallMeter;
}

/** Counts every call and forwards it to the wrapped store. */
export class CountingPlatformStore extends PlatformStore {
  private readonly store: PlatformStore;

  private readonly meter: PlatformCallMeter;

  /**
   * @param options - the wrapped store, and the meter.
   */
  constructor({ store, meter }: CountingPlatformStoreOptions) {
    super();
    this.store = store;
    this.meter = meter;
  }

  override get(key: string): Promise<{ entry: StoreEntry | undefined; revision: number }> {
    this.meter.count('get');
    return this.store.get(key);
  }

  override range(prefix: string, options?: { keysOnly?: boolean }): Promise<StoreRange> {
    this.meter.count('range');
    return this.store.range(prefix, options);
  }

  override transact(transaction: StoreTransaction): Promise<TransactionResult> {
    this.meter.count('transact');
    return this.store.transact(transaction);
  }

  override grantLease(
    timeToLiveMilliseconds: number,
  ): Promise<{ leaseId: string; timeToLiveMilliseconds: number }> {
    this.meter.count('grantLease');
    return this.store.grantLease(timeToLiveMilliseconds);
  }

  override renewLease(leaseId: string): Promise<{ timeToLiveMilliseconds: number }> {
    this.meter.count('renewLease');
    return this.store.renewLease(leaseId);
  }

  override revokeLease(leaseId: string): Promise<void> {
    this.meter.count('revokeLease');
    return this.store.revokeLease(leaseId);
  }

  override async *watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchEvent> {
    const ended = this.meter.openWatch();
    try {
      yield* this.store.watch(prefix, fromRevision, signal);
    } finally {
      ended();
    }
  }

  override close(): Promise<void> {
    return this.store.close();
  }
}
