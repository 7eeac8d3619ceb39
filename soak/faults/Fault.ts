/**
 * One trouble that the soak makes. All that is chosen by chance is drawn when it is made, so that a seed gives the
 * same faults each time.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { DrainChecks } from '../checks/DrainChecks.js';
import type { Violations } from '../checks/Violations.js';
import type { FaultRecord } from '../FaultHistory.js';
import type { SoakCallers } from '../SoakCallers.js';
import type { SoakDaemon } from '../SoakDaemon.js';
import type { SoakSite } from '../SoakSite.js';

/** What faults work on. */
export interface FaultGround {
  readonly site: SoakSite;
  readonly callers: SoakCallers;
  readonly drains: DrainChecks;
  readonly violations: Violations;
}

/** Draws what a fault needs. */
export class Draw {
  /**
   * @param random - gives numbers from 0 up to 1.
   * @param daemons - how many there are.
   */
  constructor(
    readonly random: () => number,
    readonly daemons: number,
  ) {}

  /** @returns The index of a daemon. */
  daemon(): number {
    return Math.floor(this.random() * this.daemons);
  }

  /**
   * @param from - the least.
   * @param to - the most.
   * @returns A whole number between them.
   */
  between(from: number, to: number): number {
    return Math.round(from + this.random() * (to - from));
  }

  /**
   * @param mean - of the gaps.
   * @returns A gap between events that are independent of each other.
   */
  gap(mean: number): number {
    return -Math.log(1 - this.random()) * mean;
  }

  /**
   * @param choices - at least one.
   * @returns One of them.
   */
  one<T>(choices: readonly T[]): T {
    return choices[Math.floor(this.random() * choices.length)] as T;
  }
}

/** A trouble with a beginning and an end. */
export abstract class Fault {
  /**
   * @param draw - gives what is left to chance.
   */
  constructor(protected readonly draw: Draw) {}

  /**
   * @param ground - what it troubles.
   * @returns Once it is over.
   */
  abstract play(ground: FaultGround): Promise<void>;

  /** Keeps a record open for as long as the fault is on. */
  protected async last(
    { site }: FaultGround,
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

  protected daemonOf({ site }: FaultGround, index: number): SoakDaemon {
    const daemon = site.daemons[index];
    if (!daemon) throw new Error(`there is no daemon ${index}`);
    return daemon;
  }
}
