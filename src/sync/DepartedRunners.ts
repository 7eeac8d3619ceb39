/**
 * Runners that have left. A store that is restored from an older copy lists them again until the platform has removed
 * their entries; they must get no requests meanwhile.
 */
import type { RunnerEntry } from '../runners/Runner.js';

/** How long a departure is remembered, in ms: longer than a copy is old. */
const RETENTION_MILLISECONDS = 60_000;

/** Most departures that are remembered; a large fleet of runners is replaced within minutes. */
const MAXIMUM_DEPARTED = 4_096;

/**
 * How long an entry of a departed runner is held back after a restore, in ms. The entry of a runner that has ended is
 * removed after some seconds without a heartbeat; one that is still there after this time belongs to a live runner.
 */
const HOLD_MILLISECONDS = 10_000;

/** Remembers departures, and holds back entries that contradict them after a restore of the store. */
export class DepartedRunners {
  /** When each incarnation left, monotonic ms, the oldest first. */
  private readonly departedAt = new Map<string, number>();

  /** Ids of the runners whose entries are held back. */
  private readonly held = new Set<string>();

  private holdUntil = Number.NEGATIVE_INFINITY;

  /** @returns Number of entries that are held back. */
  get heldCount(): number {
    return this.held.size;
  }

  /**
   * Records that an incarnation drains or has been dropped.
   *
   * @param life - the runner's incarnation.
   * @param now - monotonic milliseconds.
   */
  add(life: string, now: number): void {
    this.departedAt.delete(life);
    this.departedAt.set(life, now);
    for (const [oldest, at] of this.departedAt) {
      const isKept = now - at < RETENTION_MILLISECONDS && this.departedAt.size <= MAXIMUM_DEPARTED;
      if (isKept) return;
      this.departedAt.delete(oldest);
    }
  }

  /**
   * Records that an incarnation takes requests.
   *
   * @param life - the runner's incarnation.
   */
  delete(life: string): void {
    this.departedAt.delete(life);
  }

  /**
   * Holds back entries of departed runners from now on, since the store has been restored.
   *
   * @param now - monotonic milliseconds.
   */
  startHold(now: number): void {
    this.holdUntil = now + HOLD_MILLISECONDS;
  }

  /**
   * Holds back an entry if it contradicts a departure.
   *
   * @param entry - an entry in the store.
   * @param now - monotonic milliseconds.
   * @returns Whether the entry is held back.
   */
  holdBack(entry: RunnerEntry, now: number): boolean {
    this.held.delete(entry.id);
    const departedAt = this.departedAt.get(entry.life) ?? Number.NEGATIVE_INFINITY;
    const hasDeparted = now - departedAt < RETENTION_MILLISECONDS + HOLD_MILLISECONDS;
    if (now >= this.holdUntil || entry.state !== 'ready' || !hasDeparted) return false;
    this.held.add(entry.id);
    return true;
  }

  /**
   * Discards an entry that the store holds no more.
   *
   * @param id - the runner's id.
   */
  discard(id: string): void {
    this.held.delete(id);
  }

  /**
   * Discards all entries that the store holds no more.
   *
   * @param ids - the runners that have an entry.
   */
  keepOnly(ids: ReadonlySet<string>): void {
    for (const id of this.held) if (!ids.has(id)) this.held.delete(id);
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Whether entries were held back long enough, so that the next full read decides whether they are applied.
   */
  isFullReadDue(now: number): boolean {
    return this.held.size > 0 && now >= this.holdUntil;
  }
}
