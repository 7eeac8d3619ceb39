/**
 * Calls to the platform's store for one lease. Every failure becomes a result, so that no call throws.
 */
import type { PlatformStore } from '../store/PlatformStore.js';
import { PlatformStoreError } from '../store/PlatformStore.js';
import type {
  LeaseClaim,
  LeaseReadResult,
  LeaseTermResult,
  LeaseWriteResult,
} from './leaseTypes.js';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Options of a {@link LeaseStore}. */
export interface LeaseStoreOptions {
  store: PlatformStore;
  /** Key of the lease in the store. */
  key: string;
}

/** Parses the key's value. A value written by hand counts as an unknown holder, which is waited for as well. */
function claimOf(value: Uint8Array): LeaseClaim {
  try {
    const { holder, nonce } = JSON.parse(decoder.decode(value)) as Partial<LeaseClaim>;
    return { holder: String(holder), nonce: String(nonce) };
  } catch {
    return { holder: 'unreadable', nonce: '' };
  }
}

function reasonOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/** Reads, grants, renews, writes and revokes one lease. Its methods never throw. */
export class LeaseStore {
  private readonly store: PlatformStore;

  private readonly key: string;

  /**
   * @param options - the store and the lease's key.
   */
  constructor({ store, key }: LeaseStoreOptions) {
    this.store = store;
    this.key = key;
  }

  /** @returns The value of the lease's key, or why it could not be read. */
  async read(): Promise<LeaseReadResult> {
    try {
      const { entry, revision: storeRevision } = await this.store.get(this.key);
      if (!entry) return { kind: 'absent', storeRevision };
      const { modifiedRevision } = entry;
      return { kind: 'found', claim: claimOf(entry.value), modifiedRevision, storeRevision };
    } catch (error) {
      return { kind: 'failed', reason: reasonOf(error) };
    }
  }

  /**
   * @param timeToLiveMilliseconds - requested time to live.
   * @returns A new store lease, or why there is none.
   */
  async grant(timeToLiveMilliseconds: number): Promise<LeaseTermResult> {
    try {
      return { kind: 'granted', ...(await this.store.grantLease(timeToLiveMilliseconds)) };
    } catch (error) {
      return { kind: 'failed', reason: reasonOf(error) };
    }
  }

  /**
   * @param leaseId - ID of the store lease.
   * @returns Its new time to live, or that the lease is lost.
   */
  async renew(leaseId: string): Promise<LeaseTermResult> {
    try {
      return { kind: 'granted', leaseId, ...(await this.store.renewLease(leaseId)) };
    } catch (error) {
      if (error instanceof PlatformStoreError && error.failure === 'lease_lost') {
        return { kind: 'lost' };
      }
      return { kind: 'failed', reason: reasonOf(error) };
    }
  }

  /**
   * Writes the key under a store lease, provided that the key does not exist.
   *
   * @param leaseId - ID of the store lease.
   * @param claim - the value, which names this daemon and attempt.
   * @returns Result of the write.
   */
  async write(leaseId: string, claim: LeaseClaim): Promise<LeaseWriteResult> {
    const { key } = this;
    const value = encoder.encode(JSON.stringify(claim));
    try {
      const result = await this.store.transact({
        expected: [{ key, modifiedRevision: 0 }],
        writes: [{ kind: 'put', key, value, leaseId }],
      });
      if (result.kind === 'committed') return result;
      const { revision: storeRevision, current } = result;
      const entry = current.find((each) => each.key === key);
      if (!entry) return { kind: 'absent', storeRevision };
      const { modifiedRevision } = entry;
      return { kind: 'found', claim: claimOf(entry.value), modifiedRevision, storeRevision };
    } catch (error) {
      const known = error instanceof PlatformStoreError && error.failure !== 'unsure';
      return { kind: known ? 'failed' : 'unsure', reason: reasonOf(error) };
    }
  }

  /** @param leaseId - ID of the store lease. One that cannot be revoked expires by itself. */
  async revoke(leaseId: string): Promise<void> {
    await this.store.revokeLease(leaseId).catch(() => {});
  }
}
