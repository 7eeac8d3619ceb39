/**
 * A store for tests, whose answers are given one by one.
 */
import type { StoreRead } from './FleetStore.js';
import { FleetStore } from './FleetStore.js';

/** A question that waits for its answer. */
export interface StoreQuestion {
  /** The revision after which changes are asked for; `undefined` where everything is. */
  readonly after: number | undefined;
  answer(read: StoreRead): void;
  fail(error: Error): void;
}

/** Keeps questions until the test answers them. */
export class TestStore extends FleetStore {
  readonly questions: StoreQuestion[] = [];

  override readAll(): Promise<StoreRead> {
    return this.ask(undefined);
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

  private ask(after: number | undefined): Promise<StoreRead> {
    return new Promise((answer, fail) => {
      this.questions.push({ after, answer, fail });
    });
  }
}
