import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { LogLine } from './logLine.js';
import type { LossAggregatorOptions } from './LossAggregator.js';
import { LossAggregator } from './LossAggregator.js';

const MINUTE = 60;

interface LogEventInput {
  /** Seconds since the start time of the test, 10:00 UTC. */
  second?: number;
  number: number;
  daemon?: string;
  fields?: LogLine['fields'];
}

function lineOf({ second = 0, number, daemon = 'daemon-1', fields = {} }: LogEventInput): LogLine {
  const time = new Date(Date.UTC(2026, 0, 5, 10, 0, second)).toISOString();
  return { time, level: 'info', number, event: 'e', text: '', daemon, fields };
}

function accountOf(events: readonly LogEventInput[], options?: LossAggregatorOptions) {
  const account = new LossAggregator(options);
  for (const event of events) account.addLine(lineOf(event));
  return account.finish();
}

const STARTED = 2500;
const STOPPED = 2503;

function failedAttempt(request: string, second: number, runner = 'i-1'): LogEventInput {
  const fields = { request, runner, failure: 'broken', verdict: 'fail' };
  return { second, number: 2603, fields };
}

function failedEnd(request: string, second: number, milliseconds = 60): LogEventInput {
  const fields = { request, outcome: 'broken', status: 502, route: 'a', runner: 'i-1' };
  return { second, number: 2601, fields: { ...fields, milliseconds } };
}

function answer(request: string, second: number, runner = 'i-2'): LogEventInput {
  return { second, number: 2600, fields: { request, status: 200, route: 'a', runner, tried: 1 } };
}

describe(LossAggregator.name, () => {
  it('sums losses by cause, with times and a few request ids', () => {
    const ids = ['r1', 'r2', 'r3', 'r4'];
    const events = ids.flatMap((id, index) => [
      failedAttempt(id, index),
      failedEnd(id, index, 10 * (index + 1)),
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

  it('sums losses by route, moment and runner, and leaves out those without a loss', () => {
    const events = [
      answer('r1', 1),
      failedAttempt('r2', 11),
      answer('r2', 12),
      failedAttempt('r3', 13),
      failedEnd('r3', 14),
      { second: 15, number: 2606, fields: { request: 'r4', outcome: 'no_route', status: 404 } },
    ];
    const { routes, moments, runners, recovered } = accountOf(events, { momentSeconds: 10 });
    expect(recovered).toEqual(1);
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

  it('keeps requests with the same id in successive processes apart', () => {
    // Guards against joining attempts by request id alone. After an attempt has failed, the daemon is killed and restarts,
    // and assigns the same id to another caller's request, because callers send none. The answered request would then count
    // as recovered by a second runner, and the lost one would be missing.
    const { causes, recovered, coverage } = accountOf([
      { number: STARTED },
      failedAttempt('unnamed-1', 1),
      { second: 5, number: STARTED },
      answer('unnamed-1', 6),
    ]);
    expect(recovered).toEqual(0);
    expect(causes.map(({ cause, requests }) => [cause, requests])).toEqual([['end not told', 1]]);
    expect([coverage.starts, coverage.unplannedEnds]).toEqual([2, 1]);
  });

  it('keeps requests with the same id at two daemons apart', () => {
    const { recovered, lost } = accountOf([
      failedAttempt('r1', 1),
      { ...answer('r1', 2), daemon: 'daemon-2' },
      failedEnd('r1', 3),
    ]);
    expect([recovered, lost]).toEqual([0, 1]);
  });

  it('counts each request that a planned stop cut once, whether or not a line names it', () => {
    // Guards against counting four requests, or none, for a stop that cut three. When the time limit of the stop runs
    // out, one request has a logged failed attempt, one is logged as left by its caller, and one has no line; only the
    // line of the stop has the number.
    const { causes, coverage } = accountOf([
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
    expect(coverage.unplannedEnds).toEqual(0);
  });

  it('gives up a request whose end line was left out, and counts it once', () => {
    // Guards against requests that stay open forever because their end line was left out under load. Memory would grow with
    // the length of the log, and a much later answer with the same id would count as recovered by a second runner.
    const { lost, requests, recovered } = accountOf([
      failedAttempt('r1', 0),
      { second: MINUTE, number: 2604, fields: { request: 'r2', runner: 'i-1' } },
      answer('r3', 16 * MINUTE - 1),
      answer('r2', 16 * MINUTE - 1),
      answer('r1', 16 * MINUTE),
    ]);
    expect([lost, requests, recovered]).toEqual([1, 4, 0]);
  });

  it('reports the time range of the logs and the number of missing lines', () => {
    const { coverage } = accountOf([
      { second: 1, number: 2507, fields: { lines: 40 } },
      { second: 3, number: 2507, fields: { lines: 2 }, daemon: 'daemon-2' },
      { second: 4, number: 1010, fields: { lines: 2 } },
      { second: 4, number: 2508, fields: { lines: 3 } },
      { second: 5, number: 2507, fields: { lines: 'many' } },
    ]);
    expect(coverage).toEqual({
      daemons: 2,
      starts: 0,
      unplannedEnds: 0,
      firstTime: '2026-01-05T10:00:01.000Z',
      lastTime: '2026-01-05T10:00:05.000Z',
      completeFrom: '2026-01-05T10:00:03.000Z',
      leftOutLines: 42,
      droppedLines: 5,
    });
    expect(accountOf([]).coverage.firstTime).toEqual(undefined);
  });
});
