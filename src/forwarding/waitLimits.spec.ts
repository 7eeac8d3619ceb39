import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { AdmittedRequest } from './forwardingTypes.js';
import type { RequestProgress } from './waitLimits.js';
import { nextCheck, stalledAttempt, shouldHedge } from './waitLimits.js';
import type { RunnerAttempt } from './RunnerAttempt.js';

/** When the last event arrived, monotonic ms. */
const LAST_EVENT_AT = 1_000;

interface ProgressChanges extends Partial<Omit<RequestProgress, 'request' | 'attempts'>> {
  route?: object;
  /** When the runner last sent data for any request, monotonic ms. */
  heardAt?: number;
}

function progressOf({
  route = {},
  heardAt = 0,
  ...changes
}: ProgressChanges = {}): RequestProgress {
  const common = { kind: 'stream', resumable: true, maximumAttempts: 2 };
  const request = {
    route: { ...common, targetLatencyMilliseconds: 1_000, ...route },
    deadlineAt: 60_000,
  } as unknown as AdmittedRequest;
  const attempt = { runner: { lastHeardAt: heardAt } } as unknown as RunnerAttempt;
  return {
    request,
    attempts: new Set([attempt]),
    now: LAST_EVENT_AT,
    mayHaveRun: 0,
    lastProgressAt: LAST_EVENT_AT,
    hasEvents: true,
    hasBudget: () => true,
    isLinkSuspect: false,
    ...changes,
  };
}

function actionAt(quiet: number, changes: ProgressChanges = {}): string | undefined {
  return stalledAttempt(progressOf({ now: LAST_EVENT_AT + quiet, ...changes }))?.ifAccepted;
}

describe('wait limits of a stalled stream', () => {
  it('probes the runner once it sends nothing for any request, and gives it up after four times as long', () => {
    expect([299, 300, 1_199, 1_200].map((quiet) => actionAt(quiet))).toEqual([
      undefined,
      'wait',
      'wait',
      'give_up',
    ]);
  });

  it('does not probe a runner that sends data for other requests', () => {
    expect(actionAt(400, { heardAt: LAST_EVENT_AT + 300 })).toEqual(undefined);
  });

  it('derives the limit for the first event from the target latency of the route', () => {
    const before = { hasEvents: false };
    expect([349, 350].map((quiet) => actionAt(quiet, before))).toEqual([undefined, 'wait']);
    const short = { hasEvents: false, route: { targetLatencyMilliseconds: 100 } };
    expect([249, 250].map((quiet) => actionAt(quiet, short))).toEqual([undefined, 'wait']);
  });

  it('never ends a stalled attempt if no other runner may take over', () => {
    // Guards against streams that break off although the runner is working on them. A stream is resumed at a second runner,
    // which is slow under a burst; the route allows two attempts, and the second one was given up as well.
    expect(actionAt(5_000, { mayHaveRun: 1 })).toEqual(undefined);
    expect(actionAt(5_000, { hasBudget: () => false })).toEqual(undefined);
    expect(actionAt(5_000, { route: { maximumAttempts: 1 } })).toEqual(undefined);
    expect(actionAt(5_000, { route: { resumable: false } })).toEqual(undefined);
    const { now, ...view } = progressOf({ now: LAST_EVENT_AT + 5_000, mayHaveRun: 1 });
    expect(nextCheck({ now, ...view })).toEqual(now + 150);
  });
});

describe('wait limits of an idempotent call', () => {
  const route = { kind: 'idempotent', resumable: false };

  it('is hedged at half of the target latency, while attempts are left', () => {
    const at = (quiet: number, mayHaveRun = 0) =>
      shouldHedge(progressOf({ route, now: LAST_EVENT_AT + quiet, mayHaveRun }));
    expect([at(499), at(500), at(500, 1)]).toEqual([false, true, false]);
    expect(nextCheck(progressOf({ route }))).toEqual(LAST_EVENT_AT + 500);
  });

  it('is not hedged while the link of the daemon is suspected', () => {
    // Guards against wasting the budget. A large configuration saturates the daemon's link; each delayed call would be sent
    // to a second runner over the same link, and the budget would be spent when a runner really fails.
    expect(
      shouldHedge(progressOf({ route, now: LAST_EVENT_AT + 500, isLinkSuspect: true })),
    ).toEqual(false);
  });

  it('is checked again after an interval if it could not be hedged', () => {
    // Guards against a busy processor while runners fail. The budget is spent, and calls that wait for their only runner
    // reach the time at which they would be hedged. The time of their next check had then passed, so each of them was
    // checked at every turn of the event loop until its deadline.
    const now = LAST_EVENT_AT + 700;
    expect(nextCheck(progressOf({ route, now, hasBudget: () => false }))).toEqual(now + 150);
  });

  it('is checked again only at the deadline if it is not idempotent', () => {
    const once = { kind: 'non_idempotent', resumable: false };
    expect(nextCheck(progressOf({ route: once }))).toEqual(60_000);
  });
});
