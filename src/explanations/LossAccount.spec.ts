import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { LogLine } from './logLine.js';
import type { LossAccountOptions } from './LossAccount.js';
import { LossAccount } from './LossAccount.js';

const MINUTE = 60;

interface Event {
  /** Since the start of the test's day. */
  second?: number;
  number: number;
  daemon?: string;
  fields?: LogLine['fields'];
}

function lineOf({ second = 0, number, daemon = 'daemon-1', fields = {} }: Event): LogLine {
  const time = new Date(Date.UTC(2026, 0, 5, 10, 0, second)).toISOString();
  return { time, level: 'info', number, event: 'e', text: '', daemon, fields };
}

function accountOf(events: readonly Event[], options?: LossAccountOptions) {
  const account = new LossAccount(options);
  for (const event of events) account.take(lineOf(event));
  return account.finish();
}

const STARTED = 2500;
const STOPPED = 2503;

function failedAttempt(request: string, second: number, runner = 'i-1'): Event {
  const fields = { request, runner, failure: 'broken', verdict: 'fail' };
  return { second, number: 2603, fields };
}

function lostEnd(request: string, second: number, milliseconds = 60): Event {
  const fields = { request, outcome: 'broken', status: 502, route: 'a', runner: 'i-1' };
  return { second, number: 2601, fields: { ...fields, milliseconds } };
}

function answer(request: string, second: number, runner = 'i-2'): Event {
  return { second, number: 2600, fields: { request, status: 200, route: 'a', runner, tried: 1 } };
}

describe(LossAccount.name, () => {
  it('sums by cause, with times and a few requests to look at', () => {
    const ids = ['r1', 'r2', 'r3', 'r4'];
    const events = ids.flatMap((id, index) => [
      failedAttempt(id, index),
      lostEnd(id, index, 10 * (index + 1)),
    ]);
    const { causes, requests, lost } = accountOf([...events, answer('r9', 9)]);
    expect([requests, lost]).toEqual([5, 4]);
    expect(causes).toEqual([
      {
        cause: 'runner gone',
        detail: 'no other asked, why is not told',
        status: '502',
        requests: 4,
        medianMilliseconds: 20,
        percentile99Milliseconds: 40,
        medianProbedMilliseconds: undefined,
        examples: ['r1', 'r2', 'r3'],
      },
    ]);
  });

  it('sums by route, moment and runner, and leaves out those without a loss', () => {
    const events = [
      answer('r1', 1),
      failedAttempt('r2', 11),
      answer('r2', 12),
      failedAttempt('r3', 13),
      lostEnd('r3', 14),
      { second: 15, number: 2606, fields: { request: 'r4', outcome: 'no_route', status: 404 } },
    ];
    const { routes, moments, runners, saved } = accountOf(events, { momentSeconds: 10 });
    expect(saved).toEqual(1);
    expect(routes.map(({ key, requests, lost }) => [key, requests, lost])).toEqual([
      ['a', 3, 1],
      ['not told', 1, 1],
    ]);
    expect(moments).toEqual([
      {
        key: '2026-01-05T10:00:10.000Z',
        requests: 3,
        lost: 2,
        failedAttempts: 2,
        causes: [
          ['refused at once', 1],
          ['runner gone', 1],
        ],
      },
    ]);
    expect(runners.map(({ key, lost, failedAttempts }) => [key, lost, failedAttempts])).toEqual([
      ['i-1', 1, 2],
      ['not told', 1, 0],
    ]);
  });

  it('tells requests of one process from those of the next with the same id', () => {
    // Symptom: an answered request counts as saved by a second runner, and a lost one is missing. Sequence: an attempt
    // fails, the daemon is killed and starts again, and names another caller's request by the same id, as it does where
    // callers send none. Cause: the attempts of both are joined by the id alone.
    const { causes, saved, extent } = accountOf([
      { number: STARTED },
      failedAttempt('unnamed-1', 1),
      { second: 5, number: STARTED },
      answer('unnamed-1', 6),
    ]);
    expect(saved).toEqual(0);
    expect(causes.map(({ cause, requests }) => [cause, requests])).toEqual([['end not told', 1]]);
    expect([extent.starts, extent.unplannedEnds]).toEqual([2, 1]);
  });

  it('tells equal ids at two daemons apart', () => {
    const { saved, lost } = accountOf([
      failedAttempt('r1', 1),
      { ...answer('r1', 2), daemon: 'daemon-2' },
      lostEnd('r1', 3),
    ]);
    expect([saved, lost]).toEqual([0, 1]);
  });

  it('counts what a planned stop cut once, whether or not a line names it', () => {
    // Symptom: a stop that cut three requests counts four, or none. Sequence: the stop's time runs out; of one request a
    // failed attempt is told, of one that its caller left, of one nothing. Cause: only the stop's own line has the number.
    const { causes, extent } = accountOf([
      { number: STARTED },
      failedAttempt('r1', 1),
      { second: 8, number: STOPPED, fields: { cut: 3 } },
      { second: 8, number: 2602, fields: { request: 'r2', status: 200, outcome: 'caller_left' } },
      { second: 9, number: STARTED },
    ]);
    const sums = causes.map(({ cause, status, requests }) => [cause, status, requests]);
    expect(sums).toEqual([
      ['cut by a stop', 'not told', 2],
      ['cut by a stop', '200 cut', 1],
    ]);
    expect(extent.unplannedEnds).toEqual(0);
  });

  it('gives a request up whose end was left out, and counts it once', () => {
    // Symptom: the account of a long log needs ever more memory, and an answer counts as saved by a second runner. Sequence:
    // under load the last line of a request is left out, and its id comes again much later. Cause: it stays in progress.
    const { lost, requests, saved } = accountOf([
      failedAttempt('r1', 0),
      { second: MINUTE, number: 2604, fields: { request: 'r2', runner: 'i-1' } },
      answer('r3', 16 * MINUTE - 1),
      answer('r2', 16 * MINUTE - 1),
      answer('r1', 16 * MINUTE),
    ]);
    expect([lost, requests, saved]).toEqual([1, 4, 0]);
  });

  it('says how far the logs go, and how many lines they lack', () => {
    const { extent } = accountOf([
      { second: 1, number: 2507, fields: { lines: 40 } },
      { second: 3, number: 2507, fields: { lines: 2 }, daemon: 'daemon-2' },
      { second: 4, number: 1010, fields: { lines: 2 } },
      { second: 4, number: 2508, fields: { lines: 3 } },
      { second: 5, number: 2507, fields: { lines: 'many' } },
    ]);
    expect(extent).toEqual({
      daemons: 2,
      starts: 0,
      unplannedEnds: 0,
      firstTime: '2026-01-05T10:00:01.000Z',
      lastTime: '2026-01-05T10:00:05.000Z',
      completeFrom: '2026-01-05T10:00:03.000Z',
      leftOutLines: 42,
      droppedLines: 5,
    });
    expect(accountOf([]).extent.firstTime).toEqual(undefined);
  });
});
