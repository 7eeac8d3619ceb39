import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { AdmittedRequest } from './forwardingTypes.js';
import type { PatienceView } from './patience.js';
import { nextCheck, quietAttempt, shouldHedge } from './patience.js';
import type { RunnerAttempt } from './RunnerAttempt.js';

/** When the last event came. */
const LAST = 1_000;

interface ViewChanges extends Partial<Omit<PatienceView, 'request' | 'attempts'>> {
  route?: object;
  /** When the runner last said anything to anybody. */
  heardAt?: number;
}

function viewOf({ route = {}, heardAt = 0, ...changes }: ViewChanges = {}): PatienceView {
  const common = { kind: 'stream', resumable: true, maximumAttempts: 2 };
  const request = {
    route: { ...common, targetLatencyMilliseconds: 1_000, ...route },
    deadlineAt: 60_000,
  } as unknown as AdmittedRequest;
  const attempt = { runner: { lastHeardAt: heardAt } } as unknown as RunnerAttempt;
  return {
    request,
    attempts: new Set([attempt]),
    now: LAST,
    mayHaveRun: 0,
    lastProgressAt: LAST,
    hasEvents: true,
    hasBudget: () => true,
    isLinkSuspect: false,
    ...changes,
  };
}

function actionAt(quiet: number, changes: ViewChanges = {}): string | undefined {
  return quietAttempt(viewOf({ now: LAST + quiet, ...changes }))?.ifAccepted;
}

describe('patience with a quiet stream', () => {
  it('asks after the runner once it says nothing to anybody, and gives it up after four times as long', () => {
    expect([299, 300, 1_199, 1_200].map((quiet) => actionAt(quiet))).toEqual([
      undefined,
      'wait',
      'wait',
      'give_up',
    ]);
  });

  it('leaves a runner alone that is heard from by others', () => {
    expect(actionAt(400, { heardAt: LAST + 300 })).toEqual(undefined);
  });

  it('waits for the first event by the target of the route', () => {
    const before = { hasEvents: false };
    expect([349, 350].map((quiet) => actionAt(quiet, before))).toEqual([undefined, 'wait']);
    const short = { hasEvents: false, route: { targetLatencyMilliseconds: 100 } };
    expect([249, 250].map((quiet) => actionAt(quiet, short))).toEqual([undefined, 'wait']);
  });

  it('never ends an attempt for silence where no other runner may go on', () => {
    // Symptom: callers get streams that break off, though the runner works on. Sequence: a stream goes on at a
    // second runner, which is slow under a burst; the route allows two. Cause: the second is given up as well.
    expect(actionAt(5_000, { mayHaveRun: 1 })).toEqual(undefined);
    expect(actionAt(5_000, { hasBudget: () => false })).toEqual(undefined);
    expect(actionAt(5_000, { route: { maximumAttempts: 1 } })).toEqual(undefined);
    expect(actionAt(5_000, { route: { resumable: false } })).toEqual(undefined);
    const { now, ...view } = viewOf({ now: LAST + 5_000, mayHaveRun: 1 });
    expect(nextCheck({ now, ...view })).toEqual(now + 150);
  });
});

describe('patience with a call that may be repeated', () => {
  const route = { kind: 'idempotent', resumable: false };

  it('asks a second runner at half of the target, while attempts are left', () => {
    const at = (quiet: number, mayHaveRun = 0) =>
      shouldHedge(viewOf({ route, now: LAST + quiet, mayHaveRun }));
    expect([at(499), at(500), at(500, 1)]).toEqual([false, true, false]);
    expect(nextCheck(viewOf({ route }))).toEqual(LAST + 500);
  });

  it('asks nobody else while no runner can be reached from here', () => {
    // What goes wrong: a large configuration fills the daemon's link; each call that waits behind it is sent to a
    // second runner over the same link, and the budget is gone when a runner really fails.
    expect(shouldHedge(viewOf({ route, now: LAST + 500, isLinkSuspect: true }))).toEqual(false);
  });

  it('looks again a while later where a second runner could not be asked', () => {
    // Symptom: a daemon's processor is busy while its runners fail. Sequence: the budget is spent; calls that wait
    // for their only runner come to the time at which they would ask a second one. Cause: the time to look again had
    // passed, so that each of them looked again at every turn of the event loop, until its deadline.
    const now = LAST + 700;
    expect(nextCheck(viewOf({ route, now, hasBudget: () => false }))).toEqual(now + 150);
  });

  it('looks again at the deadline only, where nothing may be repeated', () => {
    const once = { kind: 'non_idempotent', resumable: false };
    expect(nextCheck(viewOf({ route: once }))).toEqual(60_000);
  });
});
