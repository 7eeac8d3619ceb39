/**
 * Limits the requests to brittle runners, which crash when they have to reject more than a few requests per second.
 *
 * What fails without it: each daemon knows only what it has sent itself, so that all of them together send more than a
 * runner can queue. The runner crashes, its load goes to the others, and these crash in turn; each one that is back gets
 * the load of all.
 *
 * The slots of all runners of a service are therefore divided among the daemons. A daemon may exceed its part at a runner
 * that is less than half full as far as it knows, because the counts of other daemons are a little old.
 */
import type { Runner } from './Runner.js';

/** Options of {@link BrittleRunners}. */
export interface BrittleRunnersOptions {
  /** Name of this daemon. */
  daemon: string;
  /** Returns the names of all daemons that may send requests, including this one. */
  daemons: () => readonly string[];
  /** Returns those of them that have not said that they reach no runner. */
  daemonsWithPath?: () => readonly string[];
  /** Whether this daemon has reached runners for a while; one that has just found them again is not alone in that. */
  isPathSettled?: (now: number) => boolean;
  /** Returns the runners of a service that accept new work. */
  runnersOf: (service: string) => readonly Runner[];
  /** Returns the requests of other daemons at a runner, by its incarnation; `undefined` if this daemon does not hear them. */
  foreignLoad: (life: string) => number | undefined;
  /** Called when runners of a service begin to say that they are brittle. */
  onBrittle?: (service: string, limit: number) => void;
  /** Called when a brittle runner has rejected a request. */
  onRejected?: (runner: Runner) => void;
}

/**
 * How long a statement of a runner counts, in ms; longer than an outage. Runners that are down say nothing, and would
 * come back before daemons that have forgotten that they are brittle.
 */
const STATED_MILLISECONDS = 60_000;

/**
 * How long an answer without a statement counts for its runner while others of the service say that they are brittle, in
 * ms. A daemon that has been cut off from a runner knows what it said before that.
 */
const SOUND_MILLISECONDS = 1_000;

/** Time without a statement, while runners of the service answer without one, after which it is over, in ms. */
const UNREPEATED_MILLISECONDS = 10_000;

/** Share of a runner's slots up to which a daemon may exceed its part. */
const SHARED_FILL = 0.5;

/** How long a runner that was full, new or unusable is limited to the parts of the daemons, in ms. */
const PRESSED_MILLISECONDS = 2_000;

/**
 * How long the parts of daemons without a path are left to them at a runner that is new or was unusable, in ms. If all
 * runners were down, no daemon had a path, and all of them have one again at the same moment.
 */
const RETURN_MILLISECONDS = 3_000;

/** How long the division of the slots is kept, in ms; the lists of daemons and runners change rarely. */
const DIVISION_MILLISECONDS = 200;

/** Maximum number of services in one message. */
const MAXIMUM_TOLD = 8;

/** Bounds of the pause after a rejection, in ms. */
const SHORTEST_PAUSE_MILLISECONDS = 1_000;
const LONGEST_PAUSE_MILLISECONDS = 5_000;

/** Multiple of the pause at which the daemons together would use up what a runner may reject. */
const PAUSE_FACTOR = 2;

const MILLISECONDS_PER_SECOND = 1_000;

/** Stands for a limit of 0, which allows no rejection at all. */
const SMALLEST_LIMIT = 0.5;

interface Statement {
  /** Rejections per second that the runner bears; `undefined` if it is not brittle. */
  readonly limit: number | undefined;
  readonly at: number;
}

/** A service whose runners say that they are brittle. */
export interface BrittleService {
  readonly service: string;
  /** Rejections per second that each of its runners bears. */
  readonly limit: number;
}

/**
 * Who said that runners are brittle: they themselves, a daemon that has heard it from them, or a daemon that passes on what
 * others have reported to it.
 */
export type StatementSource = 'runner' | 'report' | 'relay';

interface ServiceStatement extends BrittleService {
  readonly at: number;
  /** When it was last said by a runner, and by a daemon that had heard it from one; monotonic ms. */
  readonly heardAt: number;
  readonly reportedAt: number;
}

interface RunnerState {
  pressedUntil: number;
  pausedUntil: number;
  /** Until when the runner counts as one that has just come back, monotonic ms. */
  returningUntil: number;
}

interface Division {
  readonly at: number;
  /** This daemon's slots at each runner, by incarnation. */
  readonly slots: ReadonlyMap<string, number>;
}

const NEVER_SAID = {
  heardAt: Number.NEGATIVE_INFINITY,
  reportedAt: Number.NEGATIVE_INFINITY,
};

function isFresh<Kind extends Statement>(
  statement: Kind | undefined,
  now: number,
): statement is Kind {
  return statement !== undefined && now - statement.at < STATED_MILLISECONDS;
}

/**
 * Divides slots among daemons, so that each has the same number of them but for one.
 *
 * @param runners - runners with their slots.
 * @param daemons - names of the daemons.
 * @param daemon - one of them.
 * @returns The daemon's slots at each runner, by incarnation.
 */
export function divideSlots(
  runners: readonly Runner[],
  daemons: readonly string[],
  daemon: string,
): Map<string, number> {
  const names = [...new Set([...daemons, daemon])].sort();
  const own = names.indexOf(daemon);
  const sorted = [...runners].sort((one, other) => (one.entry.life < other.entry.life ? -1 : 1));
  const slotsOf = new Map<string, number>();
  let first = 0;
  for (const { entry } of sorted) {
    const { slots = Number.POSITIVE_INFINITY, life } = entry;
    if (!Number.isFinite(slots)) {
      slotsOf.set(life, slots);
    } else {
      const offset = (own - (first % names.length) + names.length) % names.length;
      slotsOf.set(life, offset < slots ? Math.ceil((slots - offset) / names.length) : 0);
      first += slots;
    }
  }
  return slotsOf;
}

/** Keeps which services are brittle, and how full their runners may be. */
export class BrittleRunners {
  private readonly options: Required<BrittleRunnersOptions>;

  private readonly statements = new WeakMap<Runner, Statement>();

  /** The latest statement of a brittle runner of each service; it holds for runners that have not answered yet. */
  private readonly services = new Map<string, ServiceStatement>();

  private readonly states = new WeakMap<Runner, RunnerState>();

  /** Among all daemons, and among those with a path; by service. */
  private readonly divisions = {
    daemons: new Map<string, Division>(),
    daemonsWithPath: new Map<string, Division>(),
  };

  /**
   * @param options - the daemons and runners, and their loads.
   */
  constructor(options: BrittleRunnersOptions) {
    this.options = {
      daemonsWithPath: options.daemons,
      isPathSettled: () => true,
      onBrittle: () => undefined,
      onRejected: () => undefined,
      ...options,
    };
  }

  /**
   * Records what a runner says of itself in an answer.
   *
   * @param runner - the runner.
   * @param limit - rejections per second that it bears; `undefined` if it is not brittle.
   * @param now - monotonic ms.
   */
  recordStated(runner: Runner, limit: number | undefined, now: number): void {
    const { service } = runner.entry;
    this.statements.set(runner, { limit, at: now });
    if (limit === undefined) {
      const statedAt = this.services.get(service)?.at ?? now;
      if (now - statedAt >= UNREPEATED_MILLISECONDS) this.services.delete(service);
      return;
    }
    this.recordTold({ service, limit }, 'runner', now);
  }

  /**
   * Records that runners of a service have said that they are brittle, to this daemon or to another one: a daemon that
   * reaches no runner hears nothing from them, and would not know when it reaches them again.
   *
   * @param told - the service.
   * @param source - how the daemon that says so knows.
   * @param now - monotonic ms.
   */
  recordTold({ service, limit }: BrittleService, source: StatementSource, now: number): void {
    const before = this.services.get(service);
    const isNew = !isFresh(before, now);
    const { heardAt, reportedAt } = before ?? NEVER_SAID;
    this.services.set(service, {
      ...{ service, limit, at: now },
      heardAt: source === 'runner' ? now : heardAt,
      reportedAt: source === 'report' ? now : reportedAt,
    });
    if (isNew) this.options.onBrittle(service, limit);
  }

  /**
   * @param now - monotonic ms.
   * @param withReports - whether to include what other daemons have heard from runners and reported.
   * @returns The services to tell other daemons of.
   */
  statedServices(now: number, withReports = false): BrittleService[] {
    const latest = ({ heardAt, reportedAt }: ServiceStatement) =>
      withReports ? Math.max(heardAt, reportedAt) : heardAt;
    return [...this.services.values()]
      .filter((statement) => now - latest(statement) < UNREPEATED_MILLISECONDS)
      .slice(0, MAXIMUM_TOLD)
      .map(({ service, limit }) => ({ service, limit }));
  }

  /**
   * Records that a runner rejected a request, which still counts among those in flight.
   *
   * @param runner - the runner.
   * @param now - monotonic ms.
   */
  recordRejected(runner: Runner, now: number): void {
    const { slots = 1 } = runner.entry;
    const stated = this.limitOf(runner, now);
    if (stated === undefined) return;
    this.options.onRejected(runner);
    const state = this.stateOf(runner, now);
    state.pressedUntil = now + PRESSED_MILLISECONDS;
    // With more requests there than this daemon's part, it is enough to keep to the part from now on.
    if (runner.inFlight > this.ownSlots(runner, now)) return;
    const limit = Math.max(SMALLEST_LIMIT, stated);
    const senders = Math.min(slots, this.options.daemons().length);
    const pause = (PAUSE_FACTOR * MILLISECONDS_PER_SECOND * senders) / limit;
    const bounded = Math.max(SHORTEST_PAUSE_MILLISECONDS, pause);
    state.pausedUntil = now + Math.min(LONGEST_PAUSE_MILLISECONDS, bounded);
    state.pressedUntil = state.pausedUntil + PRESSED_MILLISECONDS;
  }

  /**
   * @param runner - a runner that accepts new work.
   * @param now - monotonic ms.
   * @param isForOther - whether another daemon sends the request, which has its own part of the slots.
   * @returns Whether it may get another request.
   */
  maySend(runner: Runner, now: number, isForOther = false): boolean {
    const { slots } = runner.entry;
    if (slots === undefined || this.limitOf(runner, now) === undefined) return true;
    const state = this.stateOf(runner, now);
    if (!runner.health.isUsable(now)) {
      state.pressedUntil = now + PRESSED_MILLISECONDS;
      state.returningUntil = now + RETURN_MILLISECONDS;
    }
    if (state.pausedUntil > now) return false;
    if (!isForOther && runner.inFlight < this.ownSlots(runner, now)) return true;
    // After a loss of its path, a daemon has not heard what others send, and whatever waited for the path is sent at once.
    if (state.pressedUntil > now || !this.options.isPathSettled(now)) return false;
    const foreign = this.options.foreignLoad(runner.entry.life);
    if (foreign !== undefined && runner.inFlight + foreign < slots * SHARED_FILL) return true;
    state.pressedUntil = now + PRESSED_MILLISECONDS;
    return false;
  }

  /** @returns Rejections per second that a brittle runner bears; `undefined` if it is not brittle. */
  private limitOf(runner: Runner, now: number): number | undefined {
    const own = this.statements.get(runner);
    if (isFresh(own, now) && own.limit !== undefined) return own.limit;
    if (own && own.limit === undefined && now - own.at < SOUND_MILLISECONDS) return undefined;
    const ofService = this.services.get(runner.entry.service);
    return isFresh(ofService, now) ? ofService.limit : undefined;
  }

  private ownSlots(runner: Runner, now: number): number {
    const { service, life } = runner.entry;
    const isReturning = this.stateOf(runner, now).returningUntil > now;
    const isShared = isReturning || !this.options.isPathSettled(now);
    const sharers = isShared ? 'daemons' : 'daemonsWithPath';
    const divisions = this.divisions[sharers];
    const known = divisions.get(service);
    if (known && now - known.at < DIVISION_MILLISECONDS) return known.slots.get(life) ?? 0;
    const { runnersOf, daemon } = this.options;
    const slots = divideSlots(runnersOf(service), this.options[sharers](), daemon);
    divisions.set(service, { at: now, slots });
    return slots.get(life) ?? 0;
  }

  /** A runner that is seen for the first time may have just started, and all daemons see it at the same moment. */
  private stateOf(runner: Runner, now: number): RunnerState {
    const known = this.states.get(runner);
    if (known) return known;
    const made = {
      pressedUntil: now + PRESSED_MILLISECONDS,
      pausedUntil: 0,
      returningUntil: now + RETURN_MILLISECONDS,
    };
    this.states.set(runner, made);
    return made;
  }
}
