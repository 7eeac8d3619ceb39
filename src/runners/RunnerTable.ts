/**
 * The runners in the platform's list, by id, by incarnation and by service.
 */
import { setLatest } from '../collections/setLatest.js';
import { FailureShare } from './FailureShare.js';
import { Runner } from './Runner.js';
import type { RunnerEntry, RunnerState } from './Runner.js';

/**
 * Largest share of a service's runners that is left out for missing entries. Up to this share the runners have most
 * likely left. If more entries are missing, the list itself was unavailable, and leaving the runners out would put
 * over 1.5 times the load on the rest.
 */
const LARGEST_MISSING_SHARE = 1 / 3;

/**
 * Maximum number of leaving incarnations to remember: more than the runners of a large fleet that are replaced within
 * minutes.
 */
const MAXIMUM_LEAVING = 4_096;

/** Maximum number of removed runners to remember, for the same reason. */
const MAXIMUM_REMOVED = 4_096;

/** Why a listed runner gets no new work from any daemon. */
export type ExclusionReason = Exclude<RunnerState, 'ready'> | 'leaving' | 'evacuated';

/** At the same address, a connection to one incarnation may have reached the next one; at another address it cannot. */
function isSuccessor(entry: RunnerEntry, former: RunnerEntry): boolean {
  return entry.life !== former.life && entry.host === former.host && entry.port === former.port;
}

/** Indexes the runners, and keeps the state of each one when its entry changes. */
export class RunnerTable {
  private readonly byId = new Map<string, Runner>();

  private readonly byLife = new Map<string, Runner>();

  /** Runners whose ids nobody has taken over, the oldest first; requests may still be in progress there. */
  private readonly removed = new Map<string, Runner>();

  /** Failure share over all runners of a service, by service. */
  private readonly failureShares = new Map<string, FailureShare>();

  /**
   * Incarnations that have announced their shutdown, the oldest first; kept while their entries disappear and come
   * back.
   */
  private readonly leaving = new Set<string>();

  /** Names of evacuated data centres, whose runners get no requests. */
  private evacuated: ReadonlySet<string> = new Set();

  /** Runners that accept new work, by service; a cache. */
  private readonly ready = new Map<string, readonly Runner[]>();

  /** Runners that get no new work only because their data centre is evacuated, by service; a cache. */
  private readonly evacuatedByService = new Map<string, readonly Runner[]>();

  /** @returns The number of runners, including draining ones. */
  get size(): number {
    return this.byId.size;
  }

  /** @returns All runners. */
  list(): Runner[] {
    return [...this.byId.values()];
  }

  /**
   * @param id - the runner's id.
   * @returns The runner, or `undefined` if it is not listed.
   */
  get(id: string): Runner | undefined {
    return this.byId.get(id);
  }

  /**
   * @param life - the runner's incarnation.
   * @returns The runner, or `undefined` if that incarnation is not listed or has been replaced.
   */
  ofLife(life: string): Runner | undefined {
    return this.byLife.get(life);
  }

  /**
   * Adds a runner or updates its entry.
   *
   * @param entry - the new entry.
   * @param now - when the entry was valid, monotonic ms.
   */
  put(entry: RunnerEntry, now = 0): void {
    const runner = this.byLife.get(entry.life) ?? this.add(entry);
    runner.entry = entry;
    runner.isEntryMissing = false;
    runner.coldUntil = now + (entry.coldMilliseconds ?? 0);
    this.clearCaches();
  }

  /**
   * Marks a runner whose entry is missing, until it is put again.
   *
   * @param id - the runner's id.
   */
  markEntryMissing(id: string): void {
    const known = this.byId.get(id);
    if (known) known.isEntryMissing = true;
    this.clearCaches();
  }

  /**
   * Removes a runner that is gone.
   *
   * @param id - the runner's id.
   */
  remove(id: string): void {
    const known = this.byId.get(id);
    if (!known) return;
    this.byId.delete(id);
    this.byLife.delete(known.entry.life);
    setLatest(this.removed, id, known, MAXIMUM_REMOVED);
    this.clearCaches();
  }

  /**
   * Marks an incarnation that has announced its shutdown; its entry may still say otherwise.
   *
   * @param life - the runner's incarnation.
   * @returns Whether it was not marked before.
   */
  markLeaving(life: string): boolean {
    if (this.leaving.has(life)) return false;
    this.leaving.add(life);
    const [oldest] = this.leaving;
    if (this.leaving.size > MAXIMUM_LEAVING && oldest !== undefined) this.leaving.delete(oldest);
    this.clearCaches();
    return true;
  }

  /**
   * Replaces the set of evacuated data centres.
   *
   * @param dataCentres - names of the data centres whose runners get no requests.
   */
  setEvacuated(dataCentres: ReadonlySet<string>): void {
    this.evacuated = new Set(dataCentres);
    this.clearCaches();
  }

  /** @returns Listed incarnations that have announced their shutdown. */
  get leavingLives(): string[] {
    return [...this.leaving].filter((life) => this.byLife.has(life));
  }

  /**
   * @param service - name of a service.
   * @returns The service's runners that accept new work, ordered by id.
   */
  readyOf(service: string): readonly Runner[] {
    const known = this.ready.get(service);
    if (known) return known;
    const ready = this.list()
      .filter(({ entry }) => entry.service === service && this.obstacleOf(entry) === undefined)
      .sort((a, b) => (a.entry.id < b.entry.id ? -1 : 1));
    const present = ready.filter(({ isEntryMissing }) => !isEntryMissing);
    const mayLeaveOut = present.length >= ready.length * (1 - LARGEST_MISSING_SHARE);
    const found = mayLeaveOut ? present : ready;
    this.ready.set(service, found);
    return found;
  }

  /**
   * @param runner - a listed runner.
   * @returns Whether it accepts new work.
   */
  takesNewWork(runner: Runner): boolean {
    return this.readyOf(runner.entry.service).includes(runner);
  }

  /**
   * @param entry - the runner's entry.
   * @returns Why no daemon sends new work to the runner; `undefined` if daemons do.
   */
  obstacleOf({ state, life, dataCentre }: RunnerEntry): ExclusionReason | undefined {
    if (state !== 'ready') return state;
    if (this.leaving.has(life)) return 'leaving';
    return this.evacuated.has(dataCentre) ? 'evacuated' : undefined;
  }

  /**
   * @param service - name of a service.
   * @returns The service's runners that get no new work only because their data centre is evacuated.
   */
  evacuatedOf(service: string): readonly Runner[] {
    if (this.evacuated.size === 0) return [];
    const known = this.evacuatedByService.get(service);
    if (known) return known;
    const found = this.list().filter(
      ({ entry }) => entry.service === service && this.obstacleOf(entry) === 'evacuated',
    );
    this.evacuatedByService.set(service, found);
    return found;
  }

  /** Clears the caches of runners by service. */
  private clearCaches(): void {
    this.ready.clear();
    this.evacuatedByService.clear();
  }

  private failureShareOf(service: string): FailureShare {
    const known = this.failureShares.get(service) ?? new FailureShare();
    this.failureShares.set(service, known);
    return known;
  }

  private add(entry: RunnerEntry): Runner {
    const runner = new Runner(entry, this.failureShareOf(entry.service));
    this.remove(entry.id);
    const replaced = this.removed.get(entry.id);
    if (replaced && isSuccessor(entry, replaced.entry)) replaced.successor = runner;
    this.removed.delete(entry.id);
    this.byId.set(entry.id, runner);
    this.byLife.set(entry.life, runner);
    return runner;
  }
}
