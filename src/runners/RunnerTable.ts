/**
 * All runners that the platform's list names, by id and by service.
 */
import { Runner } from './Runner.js';
import type { RunnerEntry } from './Runner.js';

/** Keeps what is known of a runner over changes of its entry. */
export class RunnerTable {
  private readonly byId = new Map<string, Runner>();

  private readonly ready = new Map<string, readonly Runner[]>();

  /** @returns The number of runners, draining ones too. */
  get size(): number {
    return this.byId.size;
  }

  /** @returns All runners. */
  list(): Runner[] {
    return [...this.byId.values()];
  }

  /**
   * @param id - of a runner.
   * @returns The runner, or `undefined` when it is not listed.
   */
  get(id: string): Runner | undefined {
    return this.byId.get(id);
  }

  /**
   * @param entry - a runner that is new or has changed.
   */
  put(entry: RunnerEntry): void {
    const known = this.byId.get(entry.id);
    if (known) known.entry = entry;
    else this.byId.set(entry.id, new Runner(entry));
    this.ready.clear();
  }

  /**
   * @param id - a runner that is gone.
   */
  remove(id: string): void {
    if (this.byId.delete(id)) this.ready.clear();
  }

  /**
   * @param service - name of a service.
   * @returns Its runners that take new work, in the order of their ids.
   */
  readyOf(service: string): readonly Runner[] {
    const known = this.ready.get(service);
    if (known) return known;
    const found = this.list()
      .filter(({ entry }) => entry.service === service && entry.state === 'ready')
      .sort((a, b) => (a.entry.id < b.entry.id ? -1 : 1));
    this.ready.set(service, found);
    return found;
  }
}
