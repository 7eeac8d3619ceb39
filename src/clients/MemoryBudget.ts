/**
 * Limits the memory that all clients of a process together make it hold: connections, heads, bodies and answers.
 *
 * A limit for each request alone does not bound a process, since there may be any number of requests. A budget that only
 * refuses what exceeds it would be held by clients that stall, and ordinary ones would be refused. So whoever needs
 * memory takes it from a holder that has stalled, or that holds more.
 */
import type { Clock } from '../time/Clock.js';
import { SystemClock } from '../time/SystemClock.js';

/** A holder without progress for this long has stalled, in ms. */
export const STALLED_MILLISECONDS = 1_000;

/** Options of a {@link MemoryBudget}. */
export interface MemoryBudgetOptions {
  /** Limit for all holders together, in bytes. */
  maximumBytes: number;
  clock?: Clock;
}

/** What one holder has of the budget. */
export class MemoryReservation {
  private readonly budget: MemoryBudget;

  private heldBytes = 0;

  private progressedAt: number;

  private evictionListener: (() => void) | undefined;

  /**
   * @param budget - the budget of the process.
   */
  constructor(budget: MemoryBudget) {
    this.budget = budget;
    this.progressedAt = budget.now();
  }

  /** @returns Bytes that are held. */
  get bytes(): number {
    return this.heldBytes;
  }

  /** @returns For how long the client has sent or taken no bytes, in ms. */
  get quietMilliseconds(): number {
    return this.budget.now() - this.progressedAt;
  }

  /** @returns Whether the memory can be taken away. */
  get isEvictable(): boolean {
    return this.evictionListener !== undefined;
  }

  /**
   * Lets the memory be taken away.
   *
   * @param listener - called when it is taken away.
   */
  makeEvictable(listener: () => void): void {
    this.evictionListener = listener;
    this.budget.setEvictable(this, true);
  }

  /** Keeps the memory from being taken away. */
  pin(): void {
    this.evictionListener = undefined;
    this.budget.setEvictable(this, false);
  }

  /** The client has sent or taken bytes. */
  recordProgress(): void {
    this.progressedAt = this.budget.now();
  }

  /**
   * @param bytes - number of bytes that are needed in addition.
   * @returns Whether they are held now; if not, nothing has changed.
   */
  grow(bytes: number): boolean {
    if (!this.budget.take(this, bytes)) return false;
    this.heldBytes += bytes;
    return true;
  }

  /**
   * @param bytes - number of bytes that are no longer in memory.
   */
  shrink(bytes: number): void {
    const released = Math.min(bytes, this.heldBytes);
    this.heldBytes -= released;
    this.budget.giveBack(released);
  }

  /** Gives all bytes back; the holder cannot be evicted any more. */
  release(): void {
    this.pin();
    this.shrink(this.heldBytes);
  }

  /** Takes the memory away. */
  evict(): void {
    const listener = this.evictionListener;
    this.release();
    listener?.();
  }
}

/** The budget of a process. */
export class MemoryBudget {
  private readonly maximumBytes: number;

  private readonly clock: Clock;

  private readonly evictable = new Set<MemoryReservation>();

  private heldBytes = 0;

  /**
   * @param options - the limit and the clock.
   */
  constructor({ maximumBytes, clock = new SystemClock() }: MemoryBudgetOptions) {
    this.maximumBytes = maximumBytes;
    this.clock = clock;
  }

  /** @returns Bytes that all holders have. */
  get reservedBytes(): number {
    return this.heldBytes;
  }

  /** @returns A reservation without any bytes. */
  open(): MemoryReservation {
    return new MemoryReservation(this);
  }

  /** @returns Monotonic ms. */
  now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /**
   * Takes bytes for a holder, from others if need be.
   *
   * @param holder - its reservation.
   * @param bytes - number of bytes.
   * @returns Whether it has them.
   */
  take(holder: MemoryReservation, bytes: number): boolean {
    while (this.heldBytes + bytes > this.maximumBytes) {
      const victim = this.victimFor(holder.bytes + bytes, holder);
      if (!victim) return false;
      victim.evict();
    }
    this.heldBytes += bytes;
    return true;
  }

  /**
   * @param bytes - number of bytes that a holder gives back.
   */
  giveBack(bytes: number): void {
    this.heldBytes -= bytes;
  }

  /**
   * @param holder - a reservation.
   * @param isEvictable - whether its memory can be taken away from now on.
   */
  setEvictable(holder: MemoryReservation, isEvictable: boolean): void {
    if (isEvictable) this.evictable.add(holder);
    else this.evictable.delete(holder);
  }

  /** The largest holder that has stalled; if there is none, the largest one, unless it would hold less than the asker. */
  private victimFor(wantedBytes: number, asker: MemoryReservation): MemoryReservation | undefined {
    let stalled: MemoryReservation | undefined;
    let largest: MemoryReservation | undefined;
    for (const holder of this.evictable) {
      if (holder !== asker) {
        if (holder.bytes > (largest?.bytes ?? wantedBytes)) largest = holder;
        const hasStalled = holder.quietMilliseconds >= STALLED_MILLISECONDS;
        if (hasStalled && holder.bytes > (stalled?.bytes ?? 0)) stalled = holder;
      }
    }
    return stalled ?? largest;
  }
}

/** For requests that count towards no limit. */
export const UNLIMITED_MEMORY = new MemoryBudget({ maximumBytes: Number.POSITIVE_INFINITY });
