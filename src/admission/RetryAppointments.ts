/**
 * Decides when the callers of refused requests should retry, and recognizes them when they do.
 *
 * Without it, all callers that are refused within a second come back in the same second and in any order, and those that
 * ignore their `Retry-After` take the places of those that wait.
 */

/** Options of {@link RetryAppointments}. */
export interface RetryAppointmentsOptions {
  /** Returns random numbers from 0 up to 1. */
  random?: () => number;
  /** How long a refused caller is remembered, in ms. */
  rememberedMilliseconds?: number;
  /** Maximum number of remembered callers. */
  maximumCallers?: number;
}

/** A refused request. */
export interface RefusedRequest {
  /** Identifies the caller's request over its retries, if that is known. */
  readonly session: string | undefined;
  /** Time for which it takes up a runner of usual speed, in ms. */
  readonly work: number;
  /** When its caller first asked, monotonic ms. */
  readonly arrivedAt: number;
  readonly deadlineAt: number;
}

/** What is remembered of a refused caller. */
export interface Appointment {
  /** When it first asked, monotonic ms. */
  readonly arrivedAt: number;
  /** When it should retry, monotonic ms. */
  readonly at: number;
}

const REMEMBERED_MILLISECONDS = 10_000;

const MAXIMUM_CALLERS = 10_000;

/** Callers wait no longer than this share of the time that they have left. */
export const LONGEST_RETRY_SHARE = 1 / 3;

/** Shortest time until a retry, in ms; a retry before that meets the same queue. */
const SHORTEST_MILLISECONDS = 100;

/** Share of the time by which retries are spread at random. */
const SPREAD_SHARE = 0.2;

/** A caller that retries this much early has kept its appointment, in ms; clocks and networks differ by less. */
const EARLY_MILLISECONDS = 50;

/** Appointments of one service. */
export class RetryAppointments {
  private readonly options: Required<RetryAppointmentsOptions>;

  private readonly bySession = new Map<string, Appointment>();

  /** When the capacity is used up by the appointments that were given, monotonic ms. */
  private bookedUntil = 0;

  /**
   * @param options - the random numbers and the bounds.
   */
  constructor(options: RetryAppointmentsOptions = {}) {
    this.options = {
      random: Math.random,
      rememberedMilliseconds: REMEMBERED_MILLISECONDS,
      maximumCallers: MAXIMUM_CALLERS,
      ...options,
    };
  }

  /**
   * Books the time at which a refused request is expected to be served.
   *
   * @param request - the refused request.
   * @param queueMilliseconds - time until what waits already is served.
   * @param runners - number of runners of usual speed that work off what waits.
   * @param now - monotonic ms.
   * @returns Time until the retry, in ms.
   */
  book(request: RefusedRequest, queueMilliseconds: number, runners: number, now: number): number {
    const { session, work, arrivedAt, deadlineAt } = request;
    const freeAt = Math.max(this.bookedUntil, now + queueMilliseconds);
    const spread = 1 + SPREAD_SHARE * (this.options.random() - 1 / 2);
    const longest = Math.max(0, deadlineAt - now) * LONGEST_RETRY_SHARE;
    const wait = Math.max(SHORTEST_MILLISECONDS, (freeAt - now) * spread);
    // Callers that cannot wait for their turn come back before, so they book no time, and are spread as well.
    const isInTime = freeAt - now <= longest;
    const milliseconds = Math.min(longest * (1 - SPREAD_SHARE * this.options.random()), wait);
    if (isInTime) this.bookedUntil = freeAt + work / runners;
    if (session !== undefined) this.remember(session, { arrivedAt, at: now + milliseconds }, now);
    return milliseconds;
  }

  /**
   * @param session - identifies the request of a caller over its retries.
   * @param now - monotonic ms.
   * @returns The appointment of a caller that was refused lately.
   */
  appointmentOf(session: string | undefined, now: number): Appointment | undefined {
    const known = session === undefined ? undefined : this.bySession.get(session);
    if (!known || now - known.at > this.options.rememberedMilliseconds) return undefined;
    return known;
  }

  /**
   * @param appointment - the appointment of a caller that retries.
   * @param now - monotonic ms.
   * @returns Time that it should still have waited, in ms; 0 if it has kept its appointment.
   */
  static earlyMilliseconds({ at }: Appointment, now: number): number {
    const early = at - now;
    return early > EARLY_MILLISECONDS ? early : 0;
  }

  /**
   * Forgets a caller whose request was served.
   *
   * @param session - identifies the request.
   */
  forget(session: string | undefined): void {
    if (session !== undefined) this.bySession.delete(session);
  }

  private remember(session: string, appointment: Appointment, now: number): void {
    this.bySession.delete(session);
    this.bySession.set(session, appointment);
    for (const [oldest, { at }] of this.bySession) {
      const isOver = now - at > this.options.rememberedMilliseconds;
      if (!isOver && this.bySession.size <= this.options.maximumCallers) return;
      this.bySession.delete(oldest);
    }
  }
}
