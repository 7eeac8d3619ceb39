/**
 * The platform's store within the process, with the semantics and faults of the stand-in: for tests and
 * measurements that need no connection.
 */
import {
  MAXIMUM_VALUE_BYTES,
  PlatformStore,
  PlatformStoreError,
} from '../../src/store/PlatformStore.js';
import type {
  StoreEntry,
  StoreRange,
  StoreTransaction,
  TransactionResult,
  WatchEvent,
} from '../../src/store/PlatformStore.js';
import type { Clock } from '../../src/time/Clock.js';
import { ManualClock } from '../../src/time/ManualClock.js';
import { ChangeQueue } from './ChangeQueue.js';
import { CompactedError, KeyValueState, LeaseNotFoundError, prefixEnd } from './KeyValueState.js';
import type { KeyChange } from './KeyValueState.js';
import { PlatformFaults } from './PlatformFaults.js';
import type { PlatformOperation } from './PlatformFaults.js';

/** Options of a {@link MemoryPlatformStore}. */
export interface MemoryPlatformStoreOptions {
  /** Shared by the stores of several daemons of one test. */
  state?: KeyValueState;
  faults?: PlatformFaults;
  clock?: Clock;
  /** Awaited before a call takes effect and again before it answers: lets a test order calls. */
  step?: () => Promise<void>;
}

function toWatchEvent({ key, value, revision }: KeyChange): WatchEvent {
  if (!value) return { kind: 'delete', key, revision };
  return { kind: 'put', entry: { key, value, modifiedRevision: revision } };
}

/** A store without a network. */
export class MemoryPlatformStore extends PlatformStore {
  readonly state: KeyValueState;

  readonly faults: PlatformFaults;

  private readonly clock: Clock;

  private readonly step: () => Promise<void>;

  /**
   * @param options - shared state, faults, clock.
   */
  constructor({
    state = new KeyValueState(),
    faults = new PlatformFaults(),
    clock = new ManualClock(),
    step = async () => {},
  }: MemoryPlatformStoreOptions = {}) {
    super();
    this.state = state;
    this.faults = faults;
    this.clock = clock;
    this.step = step;
  }

  override async get(key: string): Promise<{ entry: StoreEntry | undefined; revision: number }> {
    return this.call('get', () => {
      const entries = this.state.range(key, undefined, this.faults.lasting.oldDataRevision);
      return { entry: entries[0], revision: this.readRevision() };
    });
  }

  override async range(
    prefix: string,
    { keysOnly = false }: { keysOnly?: boolean } = {},
  ): Promise<StoreRange> {
    return this.call('range', () => {
      const found = this.state.range(
        prefix,
        prefixEnd(prefix),
        this.faults.lasting.oldDataRevision,
      );
      const entries = keysOnly
        ? found.map((entry) => ({ ...entry, value: new Uint8Array() }))
        : found;
      return { entries, revision: this.readRevision() };
    });
  }

  override async transact(transaction: StoreTransaction): Promise<TransactionResult> {
    for (const write of transaction.writes) {
      if (write.kind === 'put' && write.value.length > MAXIMUM_VALUE_BYTES)
        throw new PlatformStoreError('too_large', `${write.key}: ${write.value.length} bytes`);
    }
    return this.call('transact', () => this.state.transact(transaction));
  }

  override async grantLease(
    timeToLiveMilliseconds: number,
  ): Promise<{ leaseId: string; timeToLiveMilliseconds: number }> {
    const rounded = Math.ceil(timeToLiveMilliseconds / 1000) * 1000;
    return this.call('grantLease', () => ({
      leaseId: this.state.grantLease(rounded, this.clock.monotonicMilliseconds()),
      timeToLiveMilliseconds: rounded,
    }));
  }

  override async renewLease(leaseId: string): Promise<{ timeToLiveMilliseconds: number }> {
    return this.call('renewLease', () => ({
      timeToLiveMilliseconds: this.state.renewLease(leaseId, this.clock.monotonicMilliseconds()),
    }));
  }

  override async revokeLease(leaseId: string): Promise<void> {
    return this.call('revokeLease', () => this.state.revokeLease(leaseId));
  }

  override async *watch(
    prefix: string,
    fromRevision: number,
    signal: AbortSignal,
  ): AsyncIterable<WatchEvent> {
    if (this.faults.take('watch') !== undefined)
      throw new PlatformStoreError('unavailable', 'watch refused');
    const queue = new ChangeQueue();
    const stopBreaking = this.faults.onBreak(() =>
      queue.fail(new PlatformStoreError('unavailable', 'watch broken')),
    );
    const abort = (): void => queue.end();
    signal.addEventListener('abort', abort);
    let stopWatching = (): void => {};
    try {
      stopWatching = this.state.watch(prefix, prefixEnd(prefix), fromRevision, (changes) => {
        if (!this.faults.lasting.muteWatches) queue.push(changes);
      });
      if (signal.aborted) queue.end();
      for await (const changes of queue) yield* changes.map(toWatchEvent);
    } catch (error) {
      if (!(error instanceof CompactedError)) throw error;
      yield { kind: 'compacted', revision: error.compactedRevision + 1 };
    } finally {
      stopWatching();
      stopBreaking();
      signal.removeEventListener('abort', abort);
    }
  }

  override async close(): Promise<void> {
    this.faults.breakWatches();
  }

  private readRevision(): number {
    return this.faults.lasting.oldDataRevision ?? this.state.revision;
  }

  private async call<Result>(operation: PlatformOperation, effect: () => Result): Promise<Result> {
    await this.step();
    this.state.expireLeases(this.clock.monotonicMilliseconds());
    const fault = this.faults.take(operation);
    const lost = operation === 'transact' ? 'unsure' : 'timeout';
    if (fault === 'refuse') throw new PlatformStoreError('unavailable', `${operation} refused`);
    if (fault === 'lose_request') throw new PlatformStoreError(lost, `${operation} lost`);
    if (fault === 'late_effect') {
      this.faults.delayEffect(effect);
      throw new PlatformStoreError(lost, `${operation} late`);
    }
    const result = this.attempt(effect);
    await this.step();
    if (fault === 'lose_answer') throw new PlatformStoreError(lost, `${operation}: answer lost`);
    return result;
  }

  private attempt<Result>(effect: () => Result): Result {
    try {
      return effect();
    } catch (error) {
      if (!(error instanceof LeaseNotFoundError)) throw error;
      throw new PlatformStoreError('lease_lost', error.message, { cause: error });
    }
  }
}
