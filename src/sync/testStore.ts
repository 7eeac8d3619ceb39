/**
 * A store for tests; the test answers each read itself.
 */
import type { StorePage, StoreRead, StreamRecordsRead } from './FleetStore.js';
import { FleetStore } from './FleetStore.js';

/** A read that waits for its answer. */
export interface PendingRead {
  /** The revision after which changes are requested; `undefined` for a full read. */
  readonly after: number | undefined;
  /** Where the requested page of a full read begins. */
  readonly from?: string | undefined;
  answer(read: StorePage): void;
  fail(error: Error): void;
}

/** Holds reads until the test answers them; all writes succeed at once. */
export class TestStore extends FleetStore {
  readonly pendingReads: PendingRead[] = [];

  override readPage(from?: string): Promise<StorePage> {
    return this.holdRead(undefined, from);
  }

  override readChanges(after: number, _waitMilliseconds?: number): Promise<StoreRead> {
    return this.holdRead(after);
  }

  override readConfiguration(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  override register(): Promise<string> {
    return Promise.resolve('registration');
  }

  override renew(): Promise<void> {
    return Promise.resolve();
  }

  override proposeSecret(): Promise<void> {
    return Promise.resolve();
  }

  override saveWarmPlaces(): Promise<void> {
    return Promise.resolve();
  }

  override saveQuarantine(): Promise<void> {
    return Promise.resolve();
  }

  override saveVersionHistory(): Promise<void> {
    return Promise.resolve();
  }

  override appendStreamRecords(): Promise<void> {
    return Promise.resolve();
  }

  override readStreamRecords(): Promise<StreamRecordsRead> {
    return Promise.resolve({ batches: [], skipped: 0 });
  }

  override withdraw(): Promise<void> {
    return Promise.resolve();
  }

  private holdRead(after: number | undefined, from?: string): Promise<StorePage> {
    return new Promise((answer, fail) => {
      this.pendingReads.push({ after, from, answer, fail });
    });
  }
}
