/**
 * Base class of the faults that the soak injects. Each draws its random numbers when it is created, so that a seed gives
 * the same faults each time.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { DrainChecks } from '../checks/DrainChecks.js';
import type { Violations } from '../checks/Violations.js';
import type { FaultRecord } from '../FaultHistory.js';
import type { SoakCallers } from '../SoakCallers.js';
import type { SoakDaemon } from '../SoakDaemon.js';
import type { SoakSite } from '../SoakSite.js';

/** Parts of the soak that faults act on. */
export interface FaultContext {
  readonly site: SoakSite;
  readonly callers: SoakCallers;
  readonly drains: DrainChecks;
  readonly violations: Violations;
}

/** Random choices for faults. */
export class Draw {
  /**
   * @param random - returns random numbers from 0 up to 1.
   * @param daemons - number of daemons.
   */
  constructor(
    readonly random: () => number,
    readonly daemons: number,
  ) {}

  /** @returns Position of a random daemon. */
  daemon(): number {
    return Math.floor(this.random() * this.daemons);
  }

  /**
   * @param from - minimum.
   * @param to - maximum.
   * @returns A random whole number between them.
   */
  between(from: number, to: number): number {
    return Math.round(from + this.random() * (to - from));
  }

  /**
   * @param mean - mean time between events.
   * @returns A random time between two events that are independent of each other.
   */
  gap(mean: number): number {
    return -Math.log(1 - this.random()) * mean;
  }

  /**
   * @param choices - at least one value.
   * @returns One of them, at random.
   */
  one<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.random() * choices.length)] as T;
  }
}

/** A fault with a start and an end. */
export abstract class Fault {
  /**
   * @param draw - random choices.
   */
  constructor(protected readonly draw: Draw) {}

  /**
   * @param ground - parts of the soak that it acts on.
   * @returns Resolves when the fault has ended.
   */
  abstract play(ground: FaultContext): Promise<void>;

  /** Records a fault for as long as it lasts. */
  protected async last(
    { site }: FaultContext,
    record: FaultRecord,
    milliseconds: number,
    act: { begin: () => void; end?: () => void },
  ): Promise<void> {
    const over = site.history.begin(record);
    act.begin();
    await wait(milliseconds);
    act.end?.();
    over();
  }

  protected daemonOf({ site }: FaultContext, index: number): SoakDaemon {
    const daemon = site.daemons[index];
    if (!daemon) throw new Error(`there is no daemon ${index}`);
    return daemon;
  }
}
