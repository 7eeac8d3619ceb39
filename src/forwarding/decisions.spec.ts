import { describe, it } from 'node:test';

import { expect } from 'earl';

import { EventStreamBuffer } from './EventStreamBuffer.js';
import { passingHeaders } from './forwardedHeaders.js';
import type { NoRetryReason, RetryInput, RetryVerdict } from './retryDecision.js';
import { decideRetry } from './retryDecision.js';
import { SharedRetryBudget } from './SharedRetryBudget.js';

describe('decideRetry', () => {
  const base: RetryInput = {
    kind: 'idempotent',
    resumable: false,
    failure: 'broken',
    mayHaveRun: 1,
    notRun: 0,
    notConnected: 0,
    maximumAttempts: 2,
    remainingMilliseconds: 500,
    takeBudget: () => true,
  };

  const cases: readonly [string, Partial<RetryInput>, RetryVerdict, NoRetryReason?][] = [
    ['an idempotent request whose connection broke', {}, 'retry'],
    ['one whose attempts are used up', { mayHaveRun: 2 }, 'fail', 'attempts_used_up'],
    ['one without budget', { takeBudget: () => false }, 'fail', 'budget_empty'],
    ['one whose deadline is near', { remainingMilliseconds: 5 }, 'fail', 'no_time'],
    ['a non-idempotent one that may have run', { kind: 'at_most_once' }, 'fail', 'not_repeatable'],
    ['a stream that is not resumable', { kind: 'stream' }, 'fail', 'not_repeatable'],
    ['a resumable stream', { kind: 'stream', resumable: true }, 'retry'],
    [
      'a non-idempotent one that a runner refused',
      { kind: 'at_most_once', failure: 'refused', mayHaveRun: 0, notRun: 1 },
      'retry',
    ],
    [
      'one refused without budget',
      { failure: 'refused', mayHaveRun: 0, notRun: 1, takeBudget: () => false },
      'refuse',
      'budget_empty',
    ],
    [
      'one that reached no runner, without budget',
      { failure: 'not_connected', mayHaveRun: 0, notRun: 1, takeBudget: () => false },
      'retry',
    ],
    [
      'one that may have run, behind a saturated link: it can be neither refused nor answered',
      { failure: 'connect_timeout', mayHaveRun: 1, notRun: 6, takeBudget: () => false },
      'retry',
    ],
    [
      'the same, if a runner’s server error can be sent instead',
      { failure: 'connect_timeout', mayHaveRun: 1, notRun: 6, hasFallback: true },
      'fail',
      'too_many_not_run',
    ],
    [
      'one that has not run, behind a saturated link',
      { failure: 'connect_timeout', mayHaveRun: 0, notRun: 6 },
      'refuse',
      'too_many_not_run',
    ],
    [
      'one whose connections six hosts refused, since other runners may be up',
      { failure: 'not_connected', mayHaveRun: 0, notRun: 6, notConnected: 6 },
      'retry',
    ],
    [
      'one whose connections 16 hosts refused',
      { failure: 'not_connected', mayHaveRun: 0, notRun: 16, notConnected: 16 },
      'refuse',
      'too_many_not_run',
    ],
    [
      'one that six runners refused or left waiting, and some hosts',
      { failure: 'not_connected', mayHaveRun: 0, notRun: 9, notConnected: 3 },
      'refuse',
      'too_many_not_run',
    ],
    [
      'one that every runner refuses',
      { failure: 'refused', mayHaveRun: 0, notRun: 6 },
      'refuse',
      'too_many_not_run',
    ],
    [
      'one refused after an attempt that may have run, so "not run" would be wrong',
      { failure: 'refused', mayHaveRun: 1, notRun: 6 },
      'fail',
      'too_many_not_run',
    ],
  ];

  for (const [name, changes, verdict, reason] of cases) {
    it(`${verdict}: ${name}`, () => {
      const expected = reason === undefined ? { verdict } : { verdict, reason };
      expect(decideRetry({ ...base, ...changes })).toEqual(expected);
    });
  }
});

describe('SharedRetryBudget', () => {
  it('keeps the sum of all daemons within the limit of the fleet', () => {
    // Guards against more retries to a failing service than the operators allow: each daemon enforced the limit of the
    // fleet by itself, so that every one of them spent the whole allowance.
    const daemons = 6;
    const options = { ratio: 0.2, allowance: 52, windowMilliseconds: 10_000 };
    let retries = 0;
    for (let daemon = 0; daemon < daemons; daemon += 1) {
      const budget = new SharedRetryBudget({ ...options, daemons: () => daemons });
      for (let now = 0; now < 10_000; now += 100) {
        budget.recordRequest('plain', now);
        if (budget.take('plain', now)) retries += 1;
      }
    }
    const requests = daemons * 100;
    expect(retries).toBeLessThanOrEqual(0.2 * requests + 52);
    expect(retries).toBeGreaterThan(0.5 * (0.2 * requests + 52));
  });
});

describe('EventStreamBuffer', () => {
  const events = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';

  it('returns the same bytes however they are split, and only complete events', () => {
    for (let cut = 1; cut < events.length; cut += 1) {
      const stream = new EventStreamBuffer();
      const parts = [events.slice(0, cut), events.slice(cut)].map((part) =>
        stream.push(Buffer.from(part)),
      );
      const given = parts.map((part) => part?.toString() ?? '');
      expect(given.join('')).toEqual(events);
      expect(given[0] === '' || given[0]?.endsWith('\n\n') === true).toEqual(true);
      expect(stream.lastEventId).toEqual('3');
    }
  });

  for (const [name, end] of Object.entries({ CRLF: '\r\n', CR: '\r' })) {
    it(`knows the ends of events whose lines end with ${name}`, () => {
      // Guards against holding a stream back until its end, and then taking it for one that broke off.
      const text = events.replaceAll('\n', end);
      for (let cut = 1; cut < text.length; cut += 1) {
        const stream = new EventStreamBuffer();
        const parts = [text.slice(0, cut), text.slice(cut)].map((part) =>
          stream.push(Buffer.from(part)),
        );
        const rest = stream.rest() ?? Buffer.alloc(0);
        expect(`${parts[0]?.toString() ?? ''}${parts[1]?.toString() ?? ''}${String(rest)}`).toEqual(
          text,
        );
        expect(stream.isInsideEvent).toEqual(false);
        expect(stream.lastEventId).toEqual('3');
      }
    });
  }

  it('tells a stream that ends inside an event from one that ends with a comment', () => {
    const endings: readonly (readonly [string, boolean])[] = [
      ['', false],
      [': still there', false],
      [': still there\nretry: 100\n', false],
      ['\n', false],
      ['id: 4', true],
      ['id: 4\n', true],
      ['data', true],
      ['data: d\n', true],
      [': still there\ndata: d\n', true],
      ['event', true],
    ];
    for (const [ending, expected] of endings) {
      const stream = new EventStreamBuffer();
      stream.push(Buffer.from(events + ending));
      expect(stream.isInsideEvent).toEqual(expected);
    }
  });

  it('reads the id of an event that follows a byte order mark', () => {
    const stream = new EventStreamBuffer();
    stream.push(Buffer.from('\ufeffid: 1\ndata: a\n\n'));
    expect(stream.lastEventId).toEqual('1');
  });

  it('drops the incomplete event of a runner whose stream broke off', () => {
    const stream = new EventStreamBuffer();
    stream.push(Buffer.from('id: 1\ndata: a\n\nid: 2\ndata: ha'));
    stream.drop();
    expect(stream.push(Buffer.from('id: 2\ndata: b\n\n'))?.toString()).toEqual(
      'id: 2\ndata: b\n\n',
    );
    expect(stream.lastEventId).toEqual('2');
  });
});

describe('passingHeaders', () => {
  it('removes hop-by-hop headers, those listed in Connection, and those to be dropped', () => {
    const raw = ['Connection', 'close, X-Hop', 'X-Hop', '1', 'X-Own', '2', 'Key', 'k', 'TE', 'x'];
    expect(passingHeaders(raw, new Set(['key']))).toEqual(['X-Own', '2']);
  });

  // Guards against a caller or a runner whose message is accepted and throws when it is passed on.
  it('removes headers that cannot be written', () => {
    const raw = ['Bad name', '1', 'Bad ', '2', '', '3', 'Value', 'a\u0001b', 'X-Own', '4'];
    expect(passingHeaders(raw, new Set())).toEqual(['X-Own', '4']);
  });

  it('keeps essential headers even if a sender lists them in Connection', () => {
    // Guards against losing the request id, without which a retry cannot be recognised. A caller lists the header of the id
    // in Connection, and the id was removed as hop-by-hop.
    const raw = ['Connection', 'Request-Id', 'Request-Id', 'r'];
    expect(passingHeaders(raw, new Set(), new Set(['request-id']))).toEqual(['Request-Id', 'r']);
  });
});
