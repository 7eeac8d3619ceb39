import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { LogLine } from './logLine.js';
import { parseFailedAttempt, classifyLoss, lossWithoutEndLine } from './classifyLoss.js';

type Fields = LogLine['fields'];

const TIME = '2026-01-05T10:00:05.000Z';

function endOf(number: number, fields: Fields): LogLine {
  return { time: TIME, level: 'warn', number, event: 'e', text: '', daemon: 'd', fields };
}

function failed(failure: string, verdict = 'fail', more: Fields = {}) {
  return parseFailedAttempt({ runner: 'i-1', failure, verdict, ...more });
}

interface Case {
  name: string;
  number?: number;
  fields: Fields;
  failures?: ReturnType<typeof failed>[];
  isStopped?: boolean;
  expected: string;
}

const UNKNOWN_REASON = 'no other asked, why is not told';

const CASES: readonly Case[] = [
  {
    name: 'an answer',
    number: 2600,
    fields: { status: 200, tried: 1 },
    expected: 'no loss',
  },
  {
    name: 'an answer with status 404',
    number: 2600,
    fields: { status: 404, tried: 1 },
    expected: 'no loss',
  },
  {
    name: 'an answer after a failed attempt',
    number: 2600,
    fields: { status: 200, tried: 2 },
    failures: [failed('broken', 'retry')],
    expected: 'no loss',
  },
  {
    name: 'an error of the only runner',
    number: 2600,
    fields: { status: 500, tried: 1 },
    expected: 'runner error | one runner asked | 500',
  },
  {
    name: 'an error of the second runner',
    number: 2600,
    fields: { status: 500, tried: 2 },
    expected: 'runner error | several runners asked | 500',
  },
  {
    name: 'a runner that responds that the deadline has passed',
    number: 2600,
    fields: { status: 504, tried: 1 },
    expected: 'no time left | a runner said so | 504',
  },
  {
    name: 'a connection that broke, without a logged reason',
    fields: { status: 502, outcome: 'broken' },
    failures: [failed('broken')],
    expected: `runner gone | ${UNKNOWN_REASON} | 502`,
  },
  {
    name: 'a connection that broke, with a logged reason',
    fields: { status: 502, outcome: 'broken' },
    failures: [failed('broken', 'fail', { reason: 'budget_empty' })],
    expected: 'runner gone | budget empty | 502',
  },
  {
    name: 'a connection that broke after the deadline',
    fields: { status: 504, outcome: 'broken' },
    failures: [failed('broken')],
    expected: 'runner gone | no time left for another | 504',
  },
  {
    name: 'a stream that was cut',
    fields: { status: 200, outcome: 'broken' },
    failures: [failed('broken', 'cut')],
    expected: 'runner gone | its answer had begun | 200 cut',
  },
  {
    name: 'an unresponsive runner',
    fields: { status: 502, outcome: 'silent' },
    failures: [failed('silent')],
    expected: `runner silent | ${UNKNOWN_REASON} | 502`,
  },
  {
    name: 'an unresponsive runner whose failed attempt was left out of the log',
    fields: { status: 502, outcome: 'silent' },
    expected: 'runner silent | its failed attempt is not in the log | 502',
  },
  {
    name: 'the answer to another request',
    fields: { status: 502, outcome: 'stray_answer' },
    failures: [failed('stray_answer')],
    expected: `stray answer | ${UNKNOWN_REASON} | 502`,
  },
  {
    name: 'runners that refuse requests',
    fields: { status: 503, outcome: 'refused' },
    failures: [failed('refused', 'retry'), failed('refused', 'refuse')],
    expected: `runner refused | ${UNKNOWN_REASON} | 503`,
  },
  {
    name: 'runners that accept no connections',
    fields: { status: 503, outcome: 'not_connected' },
    failures: [failed('not_connected', 'refuse')],
    expected: `not connected | ${UNKNOWN_REASON} | 503`,
  },
  {
    name: 'a request with a quarantined part',
    number: 2601,
    fields: { status: 503, outcome: 'quarantined', quarantinedParts: 'engine/5c1e07a2' },
    expected: 'quarantined | runners crashed under a part of its prompt | 503',
  },
  {
    name: 'a request that crashes runners',
    fields: { status: 503, outcome: 'quarantined', digest: 'f' },
    expected: 'quarantined | runners crashed under it | 503',
  },
  {
    name: 'a request suspected of crashing runners while the same one is in progress',
    fields: { status: 503, outcome: 'suspect_under_way', digest: 'f' },
    expected: 'quarantined | the same request was under way | 503',
  },
  {
    name: 'a service without runners',
    fields: { status: 503, outcome: 'no_runner' },
    expected: 'no runner | none to try | 503',
  },
  {
    name: 'a service whose runners have all been tried',
    fields: { status: 503, outcome: 'no_runner' },
    failures: [failed('not_connected', 'retry')],
    expected: 'no runner | none left after not connected | 503',
  },
  {
    name: 'a deadline at one runner',
    fields: { status: 504, outcome: 'deadline', tried: 1 },
    expected: 'no time left | one runner had it all the time | 504',
  },
  {
    name: 'a deadline after two runners were tried',
    fields: { status: 504, outcome: 'deadline', tried: 2 },
    expected: 'no time left | several runners had it | 504',
  },
  {
    name: 'a deadline that had passed on arrival',
    fields: { status: 504, outcome: 'deadline', tried: 0 },
    expected: 'no time left | before a runner was chosen | 504',
  },
  {
    name: 'a deadline after failures',
    fields: { status: 504, outcome: 'deadline', tried: 2 },
    failures: [failed('silent', 'retry')],
    expected: 'no time left | after failed attempts | 504',
  },
  {
    name: 'a deadline in a line without the number of runners',
    fields: { status: 504, outcome: 'deadline' },
    expected: 'no time left | not told | 504',
  },
  {
    name: 'a stream that no runner continued',
    fields: { status: 200, outcome: 'not_resumed' },
    expected: 'not resumed | no stream from the second runner | 200 cut',
  },
  {
    name: 'an outcome of a later version',
    fields: { status: 503, outcome: 'queue_full' },
    expected: 'other | queue_full | 503',
  },
  {
    name: 'a request without a route',
    number: 2606,
    fields: { status: 404, outcome: 'no_route' },
    expected: 'refused at once | no route | 404',
  },
  {
    name: 'a request to a stopping daemon',
    number: 2606,
    fields: { status: 503, outcome: 'stopping' },
    isStopped: true,
    expected: 'refused at once | stopping | 503',
  },
  {
    name: 'a caller that disconnected',
    number: 2602,
    fields: { status: 0, outcome: 'caller_left' },
    expected: 'caller left | by itself | none',
  },
  {
    name: 'a caller whose connection was closed by a stop',
    number: 2602,
    fields: { status: 200, outcome: 'caller_left' },
    isStopped: true,
    expected: 'cut by a stop | in progress when it ended | 200 cut',
  },
];

describe(classifyLoss.name, () => {
  for (const { name, number = 2601, fields, failures = [], isStopped = false, expected } of CASES) {
    it(`classifies ${name}`, () => {
      const loss = classifyLoss(endOf(number, fields), { failures, isStopped });
      const summary = loss ? [loss.cause, loss.detail, loss.status].join(' | ') : 'no loss';
      expect(summary).toEqual(expected);
    });
  }

  it('reports the runner that failed last, and how long it was probed', () => {
    const failures = [
      failed('not_connected', 'retry'),
      failed('silent', 'fail', { runner: 'i-2', probedMilliseconds: 30 }),
    ];
    const fields = { request: 'r1', outcome: 'silent', status: 502, runner: 'i-3', route: 'a' };
    const loss = classifyLoss(endOf(2601, { ...fields, milliseconds: 61 }), {
      failures,
      isStopped: false,
    });
    expect(loss).toEqual(
      expect.subset({
        request: 'r1',
        time: TIME,
        route: 'a',
        runner: 'i-2',
        heldMilliseconds: 61,
        probedMilliseconds: 30,
      }),
    );
  });

  it('reports the runner that answered with an error, not the one that failed before it', () => {
    const fields = { status: 500, tried: 2, runner: 'i-2' };
    const context = { failures: [failed('broken', 'retry')], isStopped: false };
    expect(classifyLoss(endOf(2600, fields), context)?.runner).toEqual('i-2');
  });

  it('treats fields of another type as missing', () => {
    const fields = {
      request: 7,
      status: '502',
      outcome: 'broken',
      runner: null,
      milliseconds: '9',
    };
    expect(classifyLoss(endOf(2601, fields), { failures: [], isStopped: false })).toEqual(
      expect.subset({
        request: '',
        status: 'not told',
        runner: 'not told',
        heldMilliseconds: undefined,
      }),
    );
    expect(parseFailedAttempt({ probedMilliseconds: '3', reason: 4 })).toEqual({
      runner: 'not told',
      failure: 'not told',
      verdict: 'not told',
      reason: undefined,
      probedMilliseconds: undefined,
    });
  });
});

describe(lossWithoutEndLine.name, () => {
  it('reports the runner of the last attempt, if there was one', () => {
    const failures = [failed('silent', 'retry')];
    const loss = lossWithoutEndLine({ cause: 'end not told', time: TIME, request: 'r1', failures });
    expect(loss).toEqual(expect.subset({ runner: 'i-1', status: 'not told', request: 'r1' }));
    expect(lossWithoutEndLine({ cause: 'cut by a stop', time: TIME })).toEqual(
      expect.subset({ runner: 'not told', request: '' }),
    );
  });
});
