/**
 * The platform's calls of one lease, with every failure turned into a message.
 */
import type { PlatformStore } from '../store/PlatformStore.js';
import { PlatformStoreError } from '../store/PlatformStore.js';
import type { LeaseClaim, LeaseReading, LeaseTerm, LeaseWriting } from './leaseTypes.js';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Options of a {@link LeaseStore}. */
export interface LeaseStoreOptions {
  store: PlatformStore;
  /** The lease's key. */
  key: string;
}

/** What somebody wrote by hand is a claim of nobody; it is waited for like any other. */
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

/** Never throws. */
export class LeaseStore {
  private readonly store: PlatformStore;

  private readonly key: string;

  /**
   * @param options - the platform and the key.
   */
  constructor({ store, key }: LeaseStoreOptions) {
    this.store = store;
    this.key = key;
  }

  /** @returns What the key holds. */
  async read(): Promise<LeaseReading> {
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
   * @param timeToLiveMilliseconds - as wanted.
   * @returns A lease of the platform.
   */
  async grant(timeToLiveMilliseconds: number): Promise<LeaseTerm> {
    try {
      return { kind: 'granted', ...(await this.store.grantLease(timeToLiveMilliseconds)) };
    } catch (error) {
      return { kind: 'failed', reason: reasonOf(error) };
    }
  }

  /**
   * @param leaseId - the lease.
   * @returns Its new time to live, or that it is lost.
   */
  async renew(leaseId: string): Promise<LeaseTerm> {
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
   * Writes the key under a lease, if nobody has written it.
   *
   * @param leaseId - the lease.
   * @param claim - who we are.
   * @returns How it ended.
   */
  async write(leaseId: string, claim: LeaseClaim): Promise<LeaseWriting> {
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

  /** @param leaseId - the lease; one that cannot be revoked lapses by itself. */
  async revoke(leaseId: string): Promise<void> {
    await this.store.revokeLease(leaseId).catch(() => {});
  }
}
