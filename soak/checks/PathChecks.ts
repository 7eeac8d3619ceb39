/**
 * What callers are promised of daemons that reach no runner while others do.
 */
import type { FaultHistory, PlayedFault } from '../FaultHistory.js';
import type { Call } from '../SoakCallers.js';
import { CONTACT_MILLISECONDS, isFatal } from '../soakBounds.js';
import type { Contact } from './Contact.js';
import type { Violations } from './Violations.js';

const OK = 200;

/** First tries at cut daemons are served at least this share as often as those at the others. */
const SERVED_SHARE = 2 / 3;

/** Failures that are allowed in any case, and as a share of all first tries. */
const ALLOWED_FAILURES = 10;
const ALLOWED_FAILURE_SHARE = 1 / 50;

/** Standard errors by which the two shares have to differ: a few dozen requests differ by chance. */
const STANDARD_ERRORS = 3;

/** Options of {@link PathChecks}. */
export interface PathChecksOptions {
  history: FaultHistory;
  contact: Contact;
  violations: Violations;
  calls: ReadonlyMap<string, Call>;
  /** How many daemons there are. */
  daemons: number;
}

interface Tally {
  sent: number;
  served: number;
}

/** @returns Whether equal service at both gives a difference like this one less than twice in a thousand times. */
function isBeyondChance(cut: Tally, others: Tally): boolean {
  const share = (cut.served + others.served) / (cut.sent + others.sent);
  const error = Math.sqrt(share * (1 - share) * (1 / cut.sent + 1 / others.sent));
  return others.served / others.sent - cut.served / cut.sent > STANDARD_ERRORS * error;
}

/** Compares daemons without a path with the others. */
export class PathChecks {
  private readonly options: PathChecksOptions;

  /**
   * @param options - faults and calls.
   */
  constructor(options: PathChecksOptions) {
    this.options = options;
  }

  /** Looks at all calls; none may be under way. */
  look(): void {
    const cut: Tally = { sent: 0, served: 0 };
    const others: Tally = { sent: 0, served: 0 };
    for (const call of this.options.calls.values()) {
      // A stream that is taken up again is no first try.
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

  /** Requests count while paths are lost, from the time of contact on, if another daemon in touch has one. */
  private isCounted(call: Call): boolean {
    const { contact, daemons } = this.options;
    // What crashes runners is refused everywhere.
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
