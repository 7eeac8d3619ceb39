/**
 * All runners that the platform's list names, by id and by service.
 */
import { FailureShare } from './FailureShare.js';
import { Runner } from './Runner.js';
import type { RunnerEntry } from './Runner.js';

/** Keeps what is known of a runner over changes of its entry. */
export class RunnerTable {
  private readonly byId = new Map<string, Runner>();

  private readonly byLife = new Map<string, Runner>();

  /** Outcomes of all runners by service. */
  private readonly outcomes = new Map<string, FailureShare>();

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
   * @param life - one start of a runner.
   * @returns The runner, or `undefined` when it is not listed or has started again since.
   */
  ofLife(life: string): Runner | undefined {
    return this.byLife.get(life);
  }

  /**
   * @param entry - a runner that is new or has changed.
   */
  put(entry: RunnerEntry): void {
    const known = this.byLife.get(entry.life);
    if (known) known.entry = entry;
    else this.add(new Runner(entry, this.outcomesOf(entry.service)));
    this.ready.clear();
  }

  /**
   * @param id - a runner that is gone.
   */
  remove(id: string): void {
    const known = this.byId.get(id);
    if (!known) return;
    this.byId.delete(id);
    this.byLife.delete(known.entry.life);
    this.ready.clear();
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

  private outcomesOf(service: string): FailureShare {
    const known = this.outcomes.get(service) ?? new FailureShare();
    this.outcomes.set(service, known);
    return known;
  }

  private add(runner: Runner): void {
    const { id, life } = runner.entry;
    this.remove(id);
    this.byId.set(id, runner);
    this.byLife.set(life, runner);
  }
}
