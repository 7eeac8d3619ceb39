/**
 * What is promised of runners that leave or are evacuated: nothing new once the bound has passed.
 */
import type { RunBook } from '../RunBook.js';
import type { Call } from '../SoakCallers.js';
import { CHANGE_BOUND_MILLISECONDS, LATENESS_MILLISECONDS } from '../soakBounds.js';
import type { Contact } from './Contact.js';
import type { Violations } from './Violations.js';

/** Options of {@link DrainChecks}. */
export interface DrainChecksOptions {
  runs: RunBook;
  contact: Contact;
  violations: Violations;
  /** By id. */
  calls: ReadonlyMap<string, Call>;
}

/** Remembers who leaves. */
export class DrainChecks {
  private readonly options: DrainChecksOptions;

  /** When the store acknowledged that it leaves, and that it is back; monotonic ms, by id. */
  private readonly leaving = new Map<string, { readonly at: number; backAt: number }>();

  /**
   * @param options - runs and callers' requests.
   */
  constructor(options: DrainChecksOptions) {
    this.options = options;
  }

  /**
   * @param runner - id of a runner that says from now on that it is draining, or is not listed any more.
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

  /** Looks at all runs of the runners that left. */
  look(): void {
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
