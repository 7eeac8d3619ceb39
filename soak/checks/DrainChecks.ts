/**
 * Checks that runners that leave or are evacuated get no new requests after the bound.
 */
import type { RunRecords } from '../RunRecords.js';
import type { Call } from '../SoakCallers.js';
import { CHANGE_BOUND_MILLISECONDS, LATENESS_MILLISECONDS } from '../soakBounds.js';
import type { Contact } from './Contact.js';
import type { Violations } from './Violations.js';

/** Options of {@link DrainChecks}. */
export interface DrainChecksOptions {
  runs: RunRecords;
  contact: Contact;
  violations: Violations;
  /** By id. */
  calls: ReadonlyMap<string, Call>;
}

/** Records which runners leave, and checks their runs. */
export class DrainChecks {
  private readonly options: DrainChecksOptions;

  /** When the store acknowledged that a runner leaves, and that it is back; monotonic ms, by id. */
  private readonly leaving = new Map<string, { readonly at: number; backAt: number }>();

  /**
   * @param options - runs and requests of callers.
   */
  constructor(options: DrainChecksOptions) {
    this.options = options;
  }

  /**
   * @param runner - id of a runner that is draining or no longer listed from now on.
   */
  leaves(runner: string): void {
    this.leaving.set(runner, { at: performance.now(), backAt: Number.POSITIVE_INFINITY });
  }

  /**
   * @param runner - id of a runner that may get requests again from now on.
   */
  returns(runner: string): void {
    const left = this.leaving.get(runner);
    if (left) left.backAt = performance.now();
  }

  /** Checks all runs of the runners that have left. */
  checkAll(): void {
    const { runs, calls, contact, violations } = this.options;
    for (const { id, runner, at } of runs.all) {
      const left = this.leaving.get(runner);
      const call = calls.get(id);
      if (!left || at >= left.backAt || !call || !contact.holds(call.daemon, at, at)) continue;
      const late = at - left.at - CHANGE_BOUND_MILLISECONDS - LATENESS_MILLISECONDS;
      const told = () => `${runner} got a request ${Math.round(at - left.at)} ms after it left`;
      violations.check('leaving runners get nothing new', late <= 0, told, id);
    }
  }
}
