/**
 * The queue of changes to be sent to homes; keeps only the newest for each chat and runner.
 *
 * It separates urgent changes from deferred ones. A new warm runner is urgent, because the chat may return at
 * any moment. Growth and evictions are deferred: without the growth of a prefix the home names the same runner
 * anyway; without an eviction it names a runner that misses, but the chat would miss on another runner, too.
 * Deferred changes are sent with an urgent message to the same home, as each would cost hundreds of bytes
 * alone.
 */
import type { HomeChange } from '../generated/baobabdock/v1/peers_pb.js';

/** Options of a {@link HomeTaskQueue}. */
export interface HomeTaskQueueOptions {
  /** Most queued changes; beyond this the oldest are dropped. */
  maximumChanges: number;
  /** Called with each dropped change. */
  onDropped: (change: HomeChange) => void;
}

/** A deferred change with the home of its chat at the time it was queued. */
interface WaitingChange {
  readonly home: string;
  readonly change: HomeChange;
}

function keyOf({ service, chat, runnerId }: HomeChange): string {
  return `${service}\n${chat}\n${runnerId}`;
}

/** Holds urgent and deferred changes in the order of their arrival. */
export class HomeTaskQueue {
  private readonly options: HomeTaskQueueOptions;

  private readonly urgentChanges = new Map<string, HomeChange>();

  private readonly deferredChanges = new Map<string, WaitingChange>();

  /**
   * @param options - the limit and the callback for dropped changes.
   */
  constructor(options: HomeTaskQueueOptions) {
    this.options = options;
  }

  /** @returns The number of queued changes, urgent and deferred. */
  get size(): number {
    return this.urgentChanges.size + this.deferredChanges.size;
  }

  /** @returns The number of urgent changes. */
  get urgentCount(): number {
    return this.urgentChanges.size;
  }

  /**
   * Queues a change. It stays urgent if it replaces an urgent one, unless it is an eviction.
   *
   * @param home - the name of the chat's home.
   * @param change - the change; replaces a queued one of the same chat and runner.
   * @param isUrgent - whether the home does not know yet that the runner has the prefix.
   */
  add(home: string, change: HomeChange, isUrgent: boolean): void {
    const key = keyOf(change);
    const wasUrgent = this.urgentChanges.delete(key);
    this.deferredChanges.delete(key);
    if (isUrgent || (wasUrgent && change.cachedTokens > 0)) this.urgentChanges.set(key, change);
    else this.deferredChanges.set(key, { home, change });
    if (this.size > this.options.maximumChanges) this.dropOldest();
  }

  /**
   * Removes the oldest urgent changes.
   *
   * @param limit - the largest number.
   * @returns The removed changes.
   */
  takeUrgent(limit: number): HomeChange[] {
    const taken = [...this.urgentChanges].slice(0, limit);
    for (const [key] of taken) this.urgentChanges.delete(key);
    return taken.map(([, change]) => change);
  }

  /**
   * Removes the oldest deferred changes.
   *
   * @param limit - the largest number.
   * @returns The removed changes.
   */
  takeDeferred(limit: number): HomeChange[] {
    return this.takeDeferredWhere(() => true, limit);
  }

  /**
   * Removes the deferred changes for one home.
   *
   * @param home - the name of a home that is sent a message now.
   * @returns The removed changes.
   */
  takeDeferredFor(home: string): HomeChange[] {
    return this.takeDeferredWhere((waiting) => waiting.home === home);
  }

  /** Removes all changes. */
  clear(): void {
    this.urgentChanges.clear();
    this.deferredChanges.clear();
  }

  private takeDeferredWhere(
    isWanted: (waiting: WaitingChange) => boolean,
    limit = Number.POSITIVE_INFINITY,
  ): HomeChange[] {
    const taken: HomeChange[] = [];
    for (const [key, waiting] of this.deferredChanges) {
      if (taken.length >= limit) break;
      if (!isWanted(waiting)) continue;
      this.deferredChanges.delete(key);
      taken.push(waiting.change);
    }
    return taken;
  }

  /** Drops a deferred change if there is one, because its loss costs less; else an urgent one. */
  private dropOldest(): void {
    const [deferred] = this.deferredChanges;
    const [urgent] = this.urgentChanges;
    if (deferred) this.deferredChanges.delete(deferred[0]);
    else if (urgent) this.urgentChanges.delete(urgent[0]);
    const dropped = deferred?.[1].change ?? urgent?.[1];
    if (dropped) this.options.onDropped(dropped);
  }
}
