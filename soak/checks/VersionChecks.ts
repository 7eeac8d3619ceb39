/**
 * Checks the promises on streams while runners of several software versions serve.
 */
import type { SiteRunner } from '../../standIns/site/SiteRunner.js';
import type { Call } from '../SoakCallers.js';
import type { Contact } from './Contact.js';
import type { Violations } from './Violations.js';

const OK = 200;

/** Number of streams that may hold events of two versions, because a restart of a runner is not known at once. */
const ALLOWED_MIXED = 2;

/** Minimum number of resumed streams for a check; at least half of them have to continue. */
const COUNTED_TAKE_UPS = 12;
const LEAST_SHARE = 0.5;

/** Number of runners of a version that have to serve for its streams to continue. */
const LEAST_RUNNERS = 2;

/** Options of {@link VersionChecks}. */
export interface VersionChecksOptions {
  contact: Contact;
  violations: Violations;
  calls: ReadonlyMap<string, Call>;
  /** Returns the model runners that have neither crashed nor left. */
  engines: () => readonly Pick<SiteRunner, 'version'>[];
}

function versionsIn({ answer }: Call): Set<string> {
  const found = answer?.body.matchAll(/^data: .* by (\S+)$/gmu) ?? [];
  return new Set([...found].map(([, version]) => version ?? ''));
}

/** Checks each resumed stream when it has ended, and all streams at the end. */
export class VersionChecks {
  private readonly options: VersionChecksOptions;

  private owed = 0;

  private wentOn = 0;

  /**
   * @param options - faults, requests and runners.
   */
  constructor(options: VersionChecksOptions) {
    this.options = options;
  }

  /**
   * @param call - a request that has ended.
   */
  checkAnswer(call: Call): void {
    const { contact, calls, engines } = this.options;
    const first = call.takesUp && calls.get(call.takesUp.first);
    if (!first || !contact.holds(call.daemon, call.sentAt, call.endedAt)) return;
    const [version] = versionsIn(first);
    const serving = engines().filter((runner) => runner.version === version);
    if (serving.length < LEAST_RUNNERS) return;
    this.owed += 1;
    this.wentOn += Number(call.answer?.status === OK);
  }

  /** Checks all streams; none may be in progress. */
  checkAll(): void {
    const { calls, violations } = this.options;
    const mixed = [...calls.values()].filter((call) => {
      const first = call.takesUp && calls.get(call.takesUp.first);
      const before = first ? versionsIn(first) : [];
      return new Set([...versionsIn(call), ...before]).size > 1;
    });
    const ids = () => `${mixed.length} streams are mixed: ${mixed.map(({ id }) => id).join(' ')}`;
    const isPure = mixed.length <= ALLOWED_MIXED;
    violations.check('streams are of one software version', isPure, ids, mixed[0]?.id);
    if (this.owed < COUNTED_TAKE_UPS) return;
    const told = () => `${this.wentOn} of ${this.owed} streams went on`;
    const isKept = this.wentOn >= this.owed * LEAST_SHARE;
    violations.check('streams go on at their software version', isKept, told);
  }
}
