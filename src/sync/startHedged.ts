/**
 * Requests whose response may be slow to begin, so that the next daemon is asked as well.
 */

/** A request that has been sent. */
export interface HedgedRequest<Outcome> {
  readonly outcome: Promise<Outcome>;
  /** The outcome, or earlier `slow` if the response does not begin in time. */
  readonly settledOrSlow: Promise<Outcome | 'slow'>;
}

/** Options of {@link startHedged}. */
export interface HedgeOptions<Outcome> {
  /** Sends the request; calls back when its response begins. */
  send: (onResponse: () => void) => Promise<Outcome>;
  /** Time until a response that has not begun counts as slow, in ms. */
  slowMilliseconds: number;
  /** Schedules a call after a delay in ms. */
  later: (call: () => void, milliseconds: number) => unknown;
}

/**
 * @param options - the request, and when it is slow.
 * @returns The request.
 */
export function startHedged<Outcome>({
  send,
  slowMilliseconds,
  later,
}: HedgeOptions<Outcome>): HedgedRequest<Outcome> {
  let hasResponse = false;
  const outcome = send(() => {
    hasResponse = true;
  });
  const slow = new Promise<'slow'>((done) => {
    later(() => {
      if (!hasResponse) done('slow');
    }, slowMilliseconds);
  });
  return { outcome, settledOrSlow: Promise.race([outcome, slow]) };
}
