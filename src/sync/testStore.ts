/**
 * A store for tests, whose answers are given one by one.
 */
import type { StorePage, StoreRead } from './FleetStore.js';
import { FleetStore } from './FleetStore.js';

/** A question that waits for its answer. */
export interface StoreQuestion {
  /** The revision after which changes are asked for; `undefined` where everything is. */
  readonly after: number | undefined;
  /** Where the page begins that is asked for. */
  readonly from?: string | undefined;
  answer(read: StorePage): void;
  fail(error: Error): void;
}

/** Keeps questions until the test answers them. */
export class TestStore extends FleetStore {
  readonly questions: StoreQuestion[] = [];

  override readPage(from?: string): Promise<StorePage> {
    return this.ask(undefined, from);
  }

  override readChanges(after: number): Promise<StoreRead> {
    return this.ask(after);
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

  override withdraw(): Promise<void> {
    return Promise.resolve();
  }

  private ask(after: number | undefined, from?: string): Promise<StorePage> {
    return new Promise((answer, fail) => {
      this.questions.push({ after, from, answer, fail });
    });
  }
}
