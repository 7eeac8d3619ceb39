/**
 * Checks the promises on requests that crash runners, and on runners that announce in their answers that they leave.
 */
import type { FaultHistory, FaultKind } from '../FaultHistory.js';
import type { RunRecords, SoakRun } from '../RunRecords.js';
import type { Call } from '../SoakCallers.js';
import {
  CHANGE_BOUND_MILLISECONDS,
  CONTACT_MILLISECONDS,
  FATAL_BODY,
  FATAL_CRASHES,
  FATAL_PART_CRASHES,
  isFatal,
  isFatalPart,
  LATENESS_MILLISECONDS,
  LATE_FATAL_RUNS,
  WORK_MILLISECONDS,
} from '../soakBounds.js';
import type { Contact } from './Contact.js';
import type { Violations } from './Violations.js';

/** Faults after which a daemon may no longer know an announcement that it has forwarded. */
const FORGETTING: readonly FaultKind[] = ['kill', 'stop', 'pause'];

/** Options of {@link StatementChecks}. */
export interface StatementChecksOptions {
  runs: RunRecords;
  history: FaultHistory;
  contact: Contact;
  violations: Violations;
  /** By id. */
  calls: ReadonlyMap<string, Call>;
}

/** Checks all runs at the end. */
export class StatementChecks {
  private readonly options: StatementChecksOptions;

  /**
   * @param options - runs, faults and requests of callers.
   */
  constructor(options: StatementChecksOptions) {
    this.options = options;
  }

  /** Checks all runs; no request may be in progress. */
  checkAll(): void {
    const { runs } = this.options;
    const fatal = runs.all.filter(({ body }) => body.startsWith(FATAL_BODY));
    for (const body of new Set(fatal.map((run) => run.body))) {
      this.lookAtFatal(fatal.filter((run) => run.body === body));
    }
    const parts = runs.all.flatMap((run) => run.parts);
    for (const part of new Set(parts.filter(isFatalPart))) {
      this.lookAtFatalPart(
        part,
        runs.all.filter((run) => run.parts.includes(part)),
      );
    }
    this.lookAtSound(runs.all);
    this.lookAtLeaving();
  }

  private lookAtFatal(runs: readonly SoakRun[]): void {
    const { violations } = this.options;
    const third = runs[FATAL_CRASHES - 1];
    if (!third) return;
    const late = this.runsLongAfter(third, runs);
    const told = () => `${third.body} ran ${runs.length} times, ${late.length} of them late`;
    const isKept = late.length <= LATE_FATAL_RUNS;
    violations.check('a request that crashes runners is kept from them', isKept, told, third.id);
  }

  private lookAtFatalPart(part: string, runs: readonly SoakRun[]): void {
    const { violations } = this.options;
    const decisive = runs[FATAL_PART_CRASHES - 1];
    if (!decisive) return;
    const late = this.runsLongAfter(decisive, runs);
    const told = () => `${part} ran ${runs.length} times, ${late.length} of them late`;
    const isKept = late.length <= LATE_FATAL_RUNS;
    violations.check('a part that crashes runners is kept from them', isKept, told, decisive.id);
  }

  /** Checks requests without a fatal part, long after the last crash. */
  private lookAtSound(runs: readonly SoakRun[]): void {
    const { calls, violations } = this.options;
    const crashes = runs.filter(isFatal);
    const unsettled = WORK_MILLISECONDS + 2 * CONTACT_MILLISECONDS + LATENESS_MILLISECONDS;
    for (const call of calls.values()) {
      if (isFatal(call)) continue;
      const { id, sentAt, answer } = call;
      const isSettled = !crashes.some(({ at }) => sentAt > at && sentAt < at + unsettled);
      const isKept = !isSettled || !answer?.body.includes('quarantined');
      violations.check('sound requests are not quarantined', isKept, () => `${id} was`, id);
    }
  }

  /** @returns Runs by connected daemons after all of them had time to learn of a crash. */
  private runsLongAfter(crash: SoakRun, runs: readonly SoakRun[]): readonly SoakRun[] {
    const { calls, contact } = this.options;
    const known = crash.at + WORK_MILLISECONDS + CONTACT_MILLISECONDS + LATENESS_MILLISECONDS;
    return runs.filter(({ id, at }) => {
      const call = calls.get(id);
      return at > known && call !== undefined && contact.holds(call.daemon, at, at);
    });
  }

  private lookAtLeaving(): void {
    const { runs, history, violations, calls } = this.options;
    const toldAt = this.toldLeaving();
    for (const { id, runner, at } of runs.all) {
      const call = calls.get(id);
      const since = toldAt.get(`${call?.daemon} ${runner}`);
      if (!call || since === undefined) continue;
      const forgotten = history
        .during(FORGETTING, since, at)
        .some(({ daemon }) => daemon === undefined || daemon === call.daemon);
      const late = call.sentAt - since - CHANGE_BOUND_MILLISECONDS - LATENESS_MILLISECONDS;
      const told = () => `${runner} got a request ${Math.round(at - since)} ms after it said so`;
      const isKept = late <= 0 || forgotten;
      violations.check('runners that say that they leave get nothing new', isKept, told, id);
    }
  }

  /** When a daemon first forwarded the announcement that a runner leaves, monotonic ms, by daemon and runner. */
  private toldLeaving(): Map<string, number> {
    const toldAt = new Map<string, number>();
    for (const { daemon, answer, endedAt } of this.options.calls.values()) {
      const runner = /^seal-(.+)$/u.exec(String(answer?.headers['response-seal']))?.[1];
      if (answer?.headers['server-leaving'] === undefined || runner === undefined) continue;
      const key = `${daemon} ${runner}`;
      toldAt.set(key, Math.min(endedAt, toldAt.get(key) ?? Number.POSITIVE_INFINITY));
    }
    return toldAt;
  }
}
