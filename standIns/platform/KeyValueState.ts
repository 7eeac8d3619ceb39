/**
 * The state of the platform's stand-in: keys with revisions, transactions, leases, history and watchers.
 *
 * It has no clock: its owner passes the time. Keys are ordered as JavaScript strings, which for the
 * ASCII keys of this project is the order of their bytes.
 */
import type {
  StoreEntry,
  StoreTransaction,
  TransactionResult,
} from '../../src/store/PlatformStore.js';

/** One change of one key, as the history keeps it. */
export interface KeyChange {
  readonly revision: number;
  readonly key: string;
  /** Missing for a deletion. */
  readonly value?: Uint8Array;
  readonly leaseId?: string;
}

/** Called with the changes of one revision that a watcher covers. */
export type ChangeListener = (changes: readonly KeyChange[]) => void;

interface Watcher {
  readonly start: string;
  readonly end: string | undefined;
  readonly listener: ChangeListener;
}

interface LeaseState {
  readonly timeToLiveMilliseconds: number;
  expiresAt: number;
  readonly keys: Set<string>;
}

/** Snapshot of the store. */
export interface KeyValueCopy {
  readonly revision: number;
  readonly entries: ReadonlyMap<string, StoreEntry & { leaseId?: string }>;
  readonly history: readonly KeyChange[];
  readonly leases: ReadonlyMap<string, LeaseState>;
}

/** Thrown when the wanted revision is no longer kept. */
export class CompactedError extends Error {
  /**
   * @param compactedRevision - the newest revision whose history is gone.
   */
  constructor(readonly compactedRevision: number) {
    super(`revisions up to ${compactedRevision} have been compacted`);
    this.name = 'CompactedError';
  }
}

/** Thrown for a lease that does not exist or has expired. */
export class LeaseNotFoundError extends Error {
  /**
   * @param leaseId - the lease.
   */
  constructor(leaseId: string) {
    super(`lease ${leaseId} does not exist`);
    this.name = 'LeaseNotFoundError';
  }
}

/**
 * @param prefix - start of keys; not empty.
 * @returns The first key after all keys with that prefix.
 */
export function prefixEnd(prefix: string): string {
  return prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);
}

function inRange(key: string, start: string, end: string | undefined): boolean {
  return end === undefined ? key === start : key >= start && key < end;
}

/** Keys, leases and history; every change of several keys shares one revision. */
export class KeyValueState {
  private currentRevision = 1;

  private compactedRevision = 0;

  private readonly entries = new Map<string, StoreEntry & { leaseId?: string }>();

  private history: KeyChange[] = [];

  private readonly leases = new Map<string, LeaseState>();

  private readonly watchers = new Set<Watcher>();

  private leaseCounter = 0;

  /** @returns A copy for {@link restore}. */
  copy(): KeyValueCopy {
    const { currentRevision: revision, entries, history, leases } = this;
    const copies = [...leases].map(
      ([id, lease]) => [id, { ...lease, keys: new Set(lease.keys) }] as const,
    );
    return {
      revision,
      entries: new Map(entries),
      history: [...history],
      leases: new Map(copies),
    };
  }

  /**
   * Goes back to a copy. Watches have to be broken by the caller.
   *
   * @param copy - what is held from now on.
   * @param raisedBy - by how much revisions are raised above that of the copy, with all history before compacted, as
   *   the restore of etcd does with `--bump-revision` and `--mark-compacted`; 0 gives revisions out again.
   */
  restore(copy: KeyValueCopy, raisedBy: number): void {
    this.currentRevision = copy.revision + raisedBy;
    this.entries.clear();
    for (const [key, entry] of copy.entries) this.entries.set(key, entry);
    this.leases.clear();
    for (const [id, lease] of copy.leases) this.leases.set(id, lease);
    this.history = [...copy.history];
    if (raisedBy > 0) this.compact(this.currentRevision);
  }

  /** @returns The store's revision: grows by one with each transaction that writes. */
  get revision(): number {
    return this.currentRevision;
  }

  /**
   * @param start - first key.
   * @param end - first key after the range; `undefined` reads one key.
   * @param atRevision - reads the state of that revision; missing reads the newest.
   * @returns Entries ordered by key.
   * @throws {@link CompactedError} when that revision is no longer kept.
   */
  range(start: string, end: string | undefined, atRevision?: number): StoreEntry[] {
    const entries = this.entriesAt(atRevision ?? this.currentRevision);
    return [...entries.values()]
      .filter((entry) => inRange(entry.key, start, end))
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .map(({ key, value, modifiedRevision }) => ({ key, value, modifiedRevision }));
  }

  /**
   * Applies a transaction whole or not at all.
   *
   * @param transaction - conditions and writes.
   * @returns How it ended, with the current entries of the conditions after a conflict.
   * @throws {@link LeaseNotFoundError} when a write names an unknown lease; nothing is then written.
   */
  transact({ expected, writes }: StoreTransaction): TransactionResult {
    const holds = expected.every(
      ({ key, modifiedRevision }) =>
        (this.entries.get(key)?.modifiedRevision ?? 0) === modifiedRevision,
    );
    if (!holds) {
      const current = expected.flatMap(({ key }) => this.range(key, undefined));
      return { kind: 'conflict', revision: this.currentRevision, current };
    }
    const leaseIds = writes.flatMap((write) =>
      write.kind === 'put' && write.leaseId !== undefined ? [write.leaseId] : [],
    );
    leaseIds.forEach((leaseId) => this.lease(leaseId));
    const changes = writes.flatMap((write): Omit<KeyChange, 'revision'>[] => {
      if (write.kind === 'put')
        return [{ key: write.key, value: write.value, leaseId: write.leaseId }];
      return this.entries.has(write.key) ? [{ key: write.key }] : [];
    });
    this.commit(changes);
    return { kind: 'committed', revision: this.currentRevision };
  }

  /**
   * @param timeToLiveMilliseconds - lifetime without renewal.
   * @param now - monotonic milliseconds.
   * @returns The new lease's id.
   */
  grantLease(timeToLiveMilliseconds: number, now: number): string {
    this.leaseCounter += 1;
    const leaseId = String(this.leaseCounter);
    const expiresAt = now + timeToLiveMilliseconds;
    this.leases.set(leaseId, { timeToLiveMilliseconds, expiresAt, keys: new Set() });
    return leaseId;
  }

  /**
   * @param leaseId - the lease.
   * @param now - monotonic milliseconds.
   * @returns The lease's time to live, in milliseconds.
   * @throws {@link LeaseNotFoundError} when it does not exist or has expired.
   */
  renewLease(leaseId: string, now: number): number {
    this.expireLeases(now);
    const lease = this.lease(leaseId);
    lease.expiresAt = now + lease.timeToLiveMilliseconds;
    return lease.timeToLiveMilliseconds;
  }

  /**
   * Ends a lease and deletes its keys; an unknown lease changes nothing.
   *
   * @param leaseId - the lease.
   */
  revokeLease(leaseId: string): void {
    const lease = this.leases.get(leaseId);
    if (!lease) return;
    this.leases.delete(leaseId);
    this.commit([...lease.keys].map((key) => ({ key })));
  }

  /**
   * Ends every lease whose time is over.
   *
   * @param now - monotonic milliseconds.
   */
  expireLeases(now: number): void {
    const expired = [...this.leases].filter(([, lease]) => lease.expiresAt <= now);
    expired.forEach(([leaseId]) => this.revokeLease(leaseId));
  }

  /**
   * Reports the kept history from a revision, then every later change as it happens.
   *
   * @param start - first key.
   * @param end - first key after the range; `undefined` watches one key.
   * @param fromRevision - first revision wanted; 0 starts with the next change.
   * @param listener - called with the changes of one revision at a time.
   * @returns Ends the watch.
   * @throws {@link CompactedError} when the history no longer reaches back that far.
   */
  watch(
    start: string,
    end: string | undefined,
    fromRevision: number,
    listener: ChangeListener,
  ): () => void {
    if (fromRevision > 0 && fromRevision <= this.compactedRevision)
      throw new CompactedError(this.compactedRevision);
    const missed = this.history.filter(
      (change) =>
        fromRevision > 0 && change.revision >= fromRevision && inRange(change.key, start, end),
    );
    const revisions = [...new Set(missed.map((change) => change.revision))];
    revisions.forEach((revision) =>
      listener(missed.filter((change) => change.revision === revision)),
    );
    const watcher = { start, end, listener };
    this.watchers.add(watcher);
    return () => this.watchers.delete(watcher);
  }

  /**
   * Forgets the history up to a revision.
   *
   * @param revision - the newest revision to forget; at most the current one.
   */
  compact(revision: number): void {
    this.compactedRevision = Math.min(revision, this.currentRevision);
    const kept = this.history.filter((change) => change.revision > this.compactedRevision);
    // A compacted store still has the value of each key; only the earlier revisions are lost.
    const base = new Map<string, KeyChange>();
    this.history
      .filter((change) => change.revision <= this.compactedRevision)
      .forEach((change) => base.set(change.key, change));
    this.history = [...[...base.values()].filter((change) => change.value), ...kept];
  }

  private entriesAt(revision: number): ReadonlyMap<string, StoreEntry> {
    if (revision >= this.currentRevision) return this.entries;
    if (revision < this.compactedRevision) throw new CompactedError(this.compactedRevision);
    const entries = new Map<string, StoreEntry>();
    const past = this.history.filter((change) => change.revision <= revision);
    for (const { key, value, revision: modifiedRevision } of past) {
      if (value) entries.set(key, { key, value, modifiedRevision });
      else entries.delete(key);
    }
    return entries;
  }

  private lease(leaseId: string): LeaseState {
    const lease = this.leases.get(leaseId);
    if (!lease) throw new LeaseNotFoundError(leaseId);
    return lease;
  }

  private commit(changes: readonly Omit<KeyChange, 'revision'>[]): void {
    if (changes.length === 0) return;
    this.currentRevision += 1;
    const revision = this.currentRevision;
    const committed = changes.map((change) => ({ ...change, revision }));
    committed.forEach((change) => this.applyChange(change));
    this.history.push(...committed);
    for (const { start, end, listener } of [...this.watchers]) {
      const seen = committed.filter((change) => inRange(change.key, start, end));
      if (seen.length > 0) listener(seen);
    }
  }

  private applyChange({ key, value, leaseId, revision }: KeyChange): void {
    const before = this.entries.get(key);
    if (before?.leaseId !== undefined) this.leases.get(before.leaseId)?.keys.delete(key);
    if (!value) {
      this.entries.delete(key);
      return;
    }
    this.entries.set(key, { key, value, modifiedRevision: revision, leaseId });
    if (leaseId !== undefined) this.leases.get(leaseId)?.keys.add(key);
  }
}
