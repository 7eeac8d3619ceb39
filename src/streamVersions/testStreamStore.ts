/**
 * The part of the platform's store that keeps what outlives all daemons, for tests in virtual time.
 */
import type { FleetStore } from '../sync/FleetStore.js';
import type { StreamRecordBatch, VersionHistory } from './streamVersionTypes.js';

/** The calls of the store that streams need. */
export type StreamStore = Pick<
  FleetStore,
  'saveVersionHistory' | 'appendStreamRecords' | 'readStreamRecords'
>;

/** Options of a {@link TestStreamStore}. */
export interface TestStreamStoreOptions {
  /** Returns the virtual time, ms. */
  now: () => number;
}

/** Holds the records and the history, whichever daemons end. */
export class TestStreamStore {
  /** The history that was saved last. */
  history: VersionHistory | undefined;

  /** Whether it answers no call. */
  isSilent = false;

  /** Number of writes so far. */
  writes = 0;

  private calls = 0;

  private readonly batches: { readonly batch: StreamRecordBatch; readonly until: number }[] = [];

  private readonly listeners: ((history: VersionHistory) => void)[] = [];

  private readonly now: () => number;

  /**
   * @param options - the clock.
   */
  constructor({ now }: TestStreamStoreOptions) {
    this.now = now;
  }

  /**
   * @param listener - called with each history that is saved.
   */
  onHistory(listener: (history: VersionHistory) => void): void {
    this.listeners.push(listener);
  }

  /** @returns Number of calls since this was last asked, which are answered once virtual time stands still. */
  takeCalls(): number {
    const { calls } = this;
    this.calls = 0;
    return calls;
  }

  /**
   * @param isReached - whether the daemon reaches the store.
   * @returns The store as that daemon sees it.
   */
  seenBy(isReached: () => boolean): StreamStore {
    const call = async <T>(answer: () => T): Promise<T> => {
      this.calls += 1;
      await Promise.resolve();
      if (this.isSilent || !isReached()) throw new Error('the store does not answer');
      return answer();
    };
    return {
      saveVersionHistory: (history) =>
        call(() => {
          this.writes += 1;
          this.history = history;
          for (const listener of this.listeners) listener(history);
        }),
      appendStreamRecords: (batches, lifeMilliseconds) =>
        call(() => {
          this.writes += 1;
          const until = this.now() + lifeMilliseconds;
          for (const batch of batches) this.batches.push({ batch, until });
        }),
      readStreamRecords: (bucket) =>
        call(() => ({
          batches: this.batches
            .filter(
              ({ batch, until }) => until > this.now() && batch.bucket === (bucket ?? batch.bucket),
            )
            .map(({ batch }) => batch),
          skipped: 0,
        })),
    };
  }
}
