/**
 * The part of the platform's store that keeps what outlives all daemons, for tests in virtual time.
 */
import type { CallScheduler } from '../news/MessageRepeater.js';
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
  /** Schedules a call. */
  later: CallScheduler;
}

/** After how long callers give up that get no answer, in ms. */
const GIVING_UP_MILLISECONDS = 900;

/** Holds the records and the history, whichever daemons end. */
export class TestStreamStore {
  /** The history that was saved last. */
  history: SavedHistory | undefined;

  /** Whether it answers no call. */
  isSilent = false;

  /** Whether it refuses writes, and answers all other calls. */
  refusesWrites = false;

  /** Whether it neither does nor answers writes, whose callers give up after a while, and answers all other calls. */
  losesWrites = false;

  /** Number of writes of records so far. */
  recordWrites = 0;

  /** Number of writes of the history so far. */
  historyWrites = 0;

  private calls = 0;

  private batches: { readonly batch: StreamRecordBatch; readonly until: number }[] = [];

  private readonly listeners: ((history: SavedHistory) => void)[] = [];

  private readonly now: () => number;

  private readonly later: CallScheduler;

  /**
   * @param options - the clock.
   */
  constructor({ now, later }: TestStreamStoreOptions) {
    this.now = now;
    this.later = later;
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
    const call = async <T>(answer: () => T | Promise<T>): Promise<T> => {
      this.calls += 1;
      await Promise.resolve();
      if (this.isSilent || !isReached()) throw new Error('the store does not answer');
      return answer();
    };
    const write = (change: () => void) =>
      call(async () => {
        if (this.losesWrites) await this.giveUp();
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

  private giveUp(): Promise<never> {
    return new Promise((_, fail) => {
      this.later(() => {
        this.calls += 1;
        fail(new Error('the store has not answered in time'));
      }, GIVING_UP_MILLISECONDS);
    });
  }
}
