/**
 * Checks the promises on daemons that reach no runner while others do.
 */
import type { FaultHistory, PlayedFault } from '../FaultHistory.js';
import type { Call } from '../SoakCallers.js';
import { CONTACT_MILLISECONDS, isFatal } from '../soakBounds.js';
import type { Contact } from './Contact.js';
import type { Violations } from './Violations.js';

const OK = 200;

/** Minimum ratio of the served share of first tries at daemons without a path to that at the others. */
const SERVED_SHARE = 2 / 3;

/** Number of failures that are always allowed, and additional ones as a share of all first tries. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

/** Standard errors by which the two shares have to differ; the shares of a few dozen requests differ by chance. */
const STANDARD_ERRORS = 3;

/** Options of {@link PathChecks}. */
export interface PathChecksOptions {
  history: FaultHistory;
  contact: Contact;
  violations: Violations;
  calls: ReadonlyMap<string, Call>;
  /** Number of daemons. */
  daemons: number;
}

interface Tally {
  sent: number;
  served: number;
}

/** @returns Whether the difference is significant: with equal service, it occurs less than twice in a thousand times. */
function isBeyondChance(cut: Tally, others: Tally): boolean {
  const share = (cut.served + others.served) / (cut.sent + others.sent);
  const error = Math.sqrt(share * (1 - share) * (1 / cut.sent + 1 / others.sent));
  return others.served / others.sent - cut.served / cut.sent > STANDARD_ERRORS * error;
}

/** Compares daemons without a path with the others. */
export class PathChecks {
  private readonly options: PathChecksOptions;

  /**
   * @param options - faults and requests.
   */
  constructor(options: PathChecksOptions) {
    this.options = options;
  }

  /** Checks all requests; none may be in progress. */
  checkAll(): void {
    const cut: Tally = { sent: 0, served: 0 };
    const others: Tally = { sent: 0, served: 0 };
    for (const call of this.options.calls.values()) {
      // A resumed stream is not a first try.
      if (call.takesUp || !this.isCounted(call)) continue;
      const tally = this.cutsOf(call.daemon, call).length > 0 ? cut : others;
      tally.sent += 1;
      tally.served += call.answer?.status === OK && call.answer.isComplete ? 1 : 0;
    }
    if (cut.sent === 0 || others.sent === 0) return;
    const failures = cut.sent - cut.served;
    const isKept =
      cut.served / cut.sent >= (SERVED_SHARE * others.served) / others.sent ||
      !isBeyondChance(cut, others) ||
      failures <= ALLOWED_FAILURES + (cut.sent + others.sent) * ALLOWED_FAILURE_SHARE;
    const told = () =>
      `${cut.served} of ${cut.sent} at cut daemons, ${others.served} of ${others.sent} at the others`;
    const { violations } = this.options;
    violations.check('daemons without a path serve', isKept, told);
    violations.figures.push(`served ${told()}`);
  }

  /** Requests count while paths have been lost for some time, if another connected daemon has one. */
  private isCounted(call: Call): boolean {
    const { contact, daemons } = this.options;
    // Requests that crash runners are refused everywhere.
    if (isFatal(call) || call.kind === 'look') return false;
    if (!contact.holds(call.daemon, call.sentAt, call.endedAt)) return false;
    const indexes = Array.from({ length: daemons }, (_, index) => index);
    const isLong = ({ from }: PlayedFault) => call.sentAt >= from + CONTACT_MILLISECONDS;
    const isCut = indexes.some((index) => this.cutsOf(index, call).some(isLong));
    const isReached = indexes.some(
      (index) =>
        this.cutsOf(index, call).length === 0 && contact.holds(index, call.sentAt, call.endedAt),
    );
    return isCut && isReached && this.cutsOf(call.daemon, call).every(isLong);
  }

  private cutsOf(index: number, { sentAt, endedAt }: Call): PlayedFault[] {
    const cuts = this.options.history.during(['path'], sentAt, endedAt);
    return cuts.filter(({ daemon }) => daemon === index);
  }
}
