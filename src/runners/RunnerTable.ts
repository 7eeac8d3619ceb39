/**
 * All runners that the platform's list names, by id and by service.
 */
import { FailureShare } from './FailureShare.js';
import { Runner } from './Runner.js';
import type { RunnerEntry, RunnerState } from './Runner.js';

/**
 * Of a service's runners, those without an entry get no new work up to this share: these have most likely left. With
 * more of them missing the list itself was away, and leaving them out would put over 1.5 times the load on the rest.
 */
const LARGEST_SHARE_LEFT_OUT = 1 / 3;

/** Runners of a large fleet that are replaced within minutes. */
const MAXIMUM_LEAVING = 4_096;

/** Why a listed runner gets no new work from any daemon. */
export type WorkObstacle = Exclude<RunnerState, 'ready'> | 'leaving' | 'evacuated';

/** Keeps what is known of a runner over changes of its entry. */
export class RunnerTable {
  private readonly byId = new Map<string, Runner>();

  private readonly byLife = new Map<string, Runner>();

  /** Outcomes of all runners by service. */
  private readonly outcomes = new Map<string, FailureShare>();

  /** Lives that have said that they leave, the oldest first; kept while their entries come and go. */
  private readonly leaving = new Set<string>();

  /** Names of data centres whose runners get nothing more. */
  private evacuated: ReadonlySet<string> = new Set();

  private readonly ready = new Map<string, readonly Runner[]>();

  /** By service, those that evacuations keep from new work. */
  private readonly keptBack = new Map<string, readonly Runner[]>();

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
   * @param now - when it was so, monotonic ms.
   */
  put(entry: RunnerEntry, now = 0): void {
    const runner = this.byLife.get(entry.life) ?? this.add(entry);
    runner.entry = entry;
    runner.isLapsed = false;
    runner.coldUntil = now + (entry.coldMilliseconds ?? 0);
    this.changed();
  }

  /**
   * @param id - a runner without an entry, until it is put again.
   */
  setLapsed(id: string): void {
    const known = this.byId.get(id);
    if (known) known.isLapsed = true;
    this.changed();
  }

  /**
   * @param id - a runner that is gone.
   */
  remove(id: string): void {
    const known = this.byId.get(id);
    if (!known) return;
    this.byId.delete(id);
    this.byLife.delete(known.entry.life);
    this.changed();
  }

  /**
   * @param life - of a runner that has said that it leaves; its listing may be older.
   * @returns Whether that is news.
   */
  markLeaving(life: string): boolean {
    if (this.leaving.has(life)) return false;
    this.leaving.add(life);
    const [oldest] = this.leaving;
    if (this.leaving.size > MAXIMUM_LEAVING && oldest !== undefined) this.leaving.delete(oldest);
    this.changed();
    return true;
  }

  /**
   * @param dataCentres - whose runners get nothing more; all others do.
   */
  setEvacuated(dataCentres: ReadonlySet<string>): void {
    this.evacuated = new Set(dataCentres);
    this.changed();
  }

  /** @returns Lives of listed runners that have said that they leave. */
  get leavingLives(): string[] {
    return [...this.leaving].filter((life) => this.byLife.has(life));
  }

  /**
   * @param service - name of a service.
   * @returns Its runners that take new work, in the order of their ids.
   */
  readyOf(service: string): readonly Runner[] {
    const known = this.ready.get(service);
    if (known) return known;
    const ready = this.list()
      .filter(({ entry }) => entry.service === service && this.obstacleOf(entry) === undefined)
      .sort((a, b) => (a.entry.id < b.entry.id ? -1 : 1));
    const present = ready.filter(({ isLapsed }) => !isLapsed);
    const mayLeaveOut = present.length >= ready.length * (1 - LARGEST_SHARE_LEFT_OUT);
    const found = mayLeaveOut ? present : ready;
    this.ready.set(service, found);
    return found;
  }

  /**
   * @param runner - that is listed.
   * @returns Whether it takes new work.
   */
  takesNewWork(runner: Runner): boolean {
    return this.readyOf(runner.entry.service).includes(runner);
  }

  /**
   * @param entry - of a runner.
   * @returns Why no daemon sends new work there, if none does.
   */
  obstacleOf({ state, life, dataCentre }: RunnerEntry): WorkObstacle | undefined {
    if (state !== 'ready') return state;
    if (this.leaving.has(life)) return 'leaving';
    return this.evacuated.has(dataCentre) ? 'evacuated' : undefined;
  }

  /**
   * @param service - name of a service.
   * @returns Its runners that would take new work, but for the evacuation of their data centre.
   */
  evacuatedOf(service: string): readonly Runner[] {
    if (this.evacuated.size === 0) return [];
    const known = this.keptBack.get(service);
    if (known) return known;
    const found = this.list().filter(
      ({ entry }) => entry.service === service && this.obstacleOf(entry) === 'evacuated',
    );
    this.keptBack.set(service, found);
    return found;
  }

  /** Who takes new work is looked up anew. */
  private changed(): void {
    this.ready.clear();
    this.keptBack.clear();
  }

  private outcomesOf(service: string): FailureShare {
    const known = this.outcomes.get(service) ?? new FailureShare();
    this.outcomes.set(service, known);
    return known;
  }

  private add(entry: RunnerEntry): Runner {
    const runner = new Runner(entry, this.outcomesOf(entry.service));
    this.remove(entry.id);
    this.byId.set(entry.id, runner);
    this.byLife.set(entry.life, runner);
    return runner;
  }
}
