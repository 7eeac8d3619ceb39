/**
 * The part of the platform's store that keeps what outlives all daemons, for tests in virtual time.
 */
import type { FleetStore } from '../sync/FleetStore.js';
import type { SavedHistory, StreamRecordBatch } from './streamVersionTypes.js';

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
  history: SavedHistory | undefined;

  /** Whether it answers no call. */
  isSilent = false;

  /** Whether it refuses writes, and answers all other calls. */
  refusesWrites = false;

  /** Number of writes of records so far. */
  recordWrites = 0;

  /** Number of writes of the history so far. */
  historyWrites = 0;

  private calls = 0;

  private batches: { readonly batch: StreamRecordBatch; readonly until: number }[] = [];

  private readonly listeners: ((history: SavedHistory) => void)[] = [];

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
  onHistory(listener: (history: SavedHistory) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Comes back from a copy of its present state: what is written from now on is lost.
   *
   * @returns Call that restores the copy. The history in it is not known to be complete any more.
   */
  copy(): () => void {
    const { history } = this;
    const batches = [...this.batches];
    return () => {
      this.history = { versions: history?.versions ?? new Map(), completeAt: 0 };
      this.batches = batches;
    };
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
    const write = (change: () => void) =>
      call(() => {
        if (this.refusesWrites) throw new Error('the store takes no writes');
        change();
      });
    return {
      saveVersionHistory: (history) =>
        write(() => {
          this.historyWrites += 1;
          this.history = history;
          for (const listener of this.listeners) listener(history);
        }),
      appendStreamRecords: (batches, lifeMilliseconds) =>
        write(() => {
          this.recordWrites += 1;
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
