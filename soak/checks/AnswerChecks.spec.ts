import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { SiteAnswer } from '../../standIns/site/callSite.js';
import type { FaultKind } from '../FaultHistory.js';
import { FaultHistory } from '../FaultHistory.js';
import { RunRecords } from '../RunRecords.js';
import type { Call } from '../SoakCallers.js';
import type { SoakDaemon } from '../SoakDaemon.js';
import { EVENTS, STOP_SECONDS, TIMEOUT_MILLISECONDS } from '../soakBounds.js';
import { AnswerChecks } from './AnswerChecks.js';
import { Excuses } from './Excuses.js';
import { Violations } from './Violations.js';

const SENT_AT = 1_000;

const SIGNED = { 'response-seal': 'seal-engine-1', 'attempt-id': 'call-1' };

function events(from: number, to: number): string {
  const numbers = Array.from({ length: to - from + 1 }, (_, index) => from + index);
  return numbers.map((id) => `id: ${id}\ndata: token ${id} for call-1\n\n`).join('');
}

function answerOf(changes: Partial<SiteAnswer> = {}): SiteAnswer {
  return { status: 200, headers: SIGNED, body: events(1, EVENTS), isComplete: true, ...changes };
}

function callOf(changes: Partial<Call> = {}): Call {
  return {
    id: 'call-1',
    kind: 'chat',
    daemon: 0,
    path: '/chat/x',
    parts: [],
    body: 'body',
    sentAt: SENT_AT,
    endedAt: SENT_AT + 100,
    answer: answerOf(),
    failure: undefined,
    ...changes,
  };
}

describe('the checks of the soak', () => {
  let history: FaultHistory;
  let runs: RunRecords;
  let violations: Violations;
  let checks: AnswerChecks;

  beforeEach(() => {
    history = new FaultHistory();
    runs = new RunRecords();
    violations = new Violations();
    const excuses = new Excuses({ history, runs, daemons: [] });
    checks = new AnswerChecks({ runs, excuses, violations });
  });

  function runAt(runner: string, changes: { id?: string; body?: string } = {}): void {
    const headers = { tenant: 'account-1' };
    const request = { id: 'call-1', method: 'POST', target: '/chat/x', body: 'body', headers };
    runs.add({ ...request, ...changes }, runner, '127.0.1.1');
  }

  function fault(kind: FaultKind, from: number, to: number, changes: object = {}): void {
    history.played.push({ kind, text: kind, daemon: 0, from, to, ...changes });
  }

  function brokenBy(call: Call): string[] {
    checks.checkAnswer(call);
    checks.checkRuns();
    return violations.all.map(({ promise }) => promise);
  }

  it('finds nothing in a whole stream', () => {
    runAt('engine-1');
    expect(brokenBy(callOf())).toEqual([]);
  });

  const BODIES = {
    'an event lacks': events(1, 3) + events(5, EVENTS),
    'an event is doubled': events(1, 4) + events(4, EVENTS),
    'it ends too early': events(1, EVENTS - 1),
    'it goes on as another request': events(1, EVENTS).replace('40 for call-1', '40 for call-2'),
  };
  for (const [what, body] of Object.entries(BODIES)) {
    it(`finds a stream in which ${what}`, () => {
      runAt('engine-1');
      expect(brokenBy(callOf({ answer: answerOf({ body }) }))).toEqual(['bodies are exact']);
    });
  }

  it('finds a success that no runner has signed, or one that has not run the request', () => {
    runAt('engine-2');
    expect(brokenBy(callOf())).toEqual(['success is a runner’s own']);
    violations.all.length = 0;
    const headers = { 'attempt-id': 'call-1' };
    const [first] = brokenBy(callOf({ answer: answerOf({ headers }) }));
    expect(first).toEqual('success is a runner’s own');
  });

  it('finds what ran and was answered "not run", and what ran twice and must not', () => {
    runAt('engine-1');
    const refused = answerOf({ status: 503, headers: {}, body: '' });
    expect(brokenBy(callOf({ answer: refused }))).toEqual(['"not run" is true']);
    violations.all.length = 0;
    runAt('engine-2');
    expect(brokenBy(callOf({ kind: 'story' }))).toEqual(['runs are not too many']);
  });

  it('finds runs that nobody asked for, or with another body', () => {
    runAt('engine-1');
    runAt('engine-1', { id: 'call-9' });
    expect(brokenBy(callOf())).toEqual(['runs are asked for']);
  });

  it('finds an answer that is late, and allows for the time of a pause', () => {
    runAt('engine-1');
    const endedAt = SENT_AT + TIMEOUT_MILLISECONDS + 2_000;
    expect(brokenBy(callOf({ endedAt }))).toEqual(['an answer in time']);
    violations.all.length = 0;
    fault('pause', SENT_AT, SENT_AT + 1_000);
    expect(brokenBy(callOf({ endedAt }))).toEqual([]);
  });

  const CUT = callOf({ answer: answerOf({ body: events(1, 3), isComplete: false }) });
  const LOST = callOf({ answer: undefined, failure: 'ECONNRESET' });

  interface ExcuseCase {
    readonly what: string;
    readonly call: Call;
    readonly isExcused: boolean;
    readonly faults?: readonly [FaultKind, number, number, object?][];
  }

  const during = [SENT_AT + 10, SENT_AT + 20] as const;
  const runners = { sides: ['runners'] };
  const stopAt = SENT_AT + 50 - STOP_SECONDS * 1_000;
  const CASES: readonly ExcuseCase[] = [
    { what: 'a cut without a fault', call: CUT, isExcused: false },
    { what: 'a lost request without a fault', call: LOST, isExcused: false },
    { what: 'a kill', call: LOST, isExcused: true, faults: [['kill', ...during]] },
    { what: 'a kill before', call: LOST, isExcused: false, faults: [['kill', 0, 10]] },
    {
      what: 'a kill of another daemon',
      call: LOST,
      isExcused: false,
      faults: [['kill', ...during, { daemon: 1 }]],
    },
    {
      what: 'a kill of another daemon that had not taken the request over',
      call: { ...CUT, kind: 'story' },
      isExcused: false,
      faults: [['kill', ...during, { daemon: 1 }]],
    },
    { what: 'a filled link', call: CUT, isExcused: false, faults: [['stall', ...during]] },
    { what: 'a pause', call: CUT, isExcused: false, faults: [['pause', ...during]] },
    { what: 'a store', call: CUT, isExcused: false, faults: [['store', ...during]] },
    { what: 'a stop that begins', call: CUT, isExcused: false, faults: [['stop', SENT_AT, 9_999]] },
    { what: 'the end of a stop', call: CUT, isExcused: true, faults: [['stop', stopAt, 9_999]] },
    { what: 'one reset', call: CUT, isExcused: false, faults: [['break', ...during, runners]] },
    {
      what: 'two resets',
      call: CUT,
      isExcused: true,
      faults: [
        ['break', ...during, runners],
        ['break', ...during, runners],
      ],
    },
    {
      what: 'one reset of what may not be resumed',
      call: { ...CUT, kind: 'story', path: '/chat/x' },
      isExcused: true,
      faults: [['break', ...during, runners]],
    },
    {
      what: 'a reset of callers',
      call: LOST,
      isExcused: true,
      faults: [['break', ...during, { sides: ['callers'] }]],
    },
    {
      what: 'a reset at the store',
      call: LOST,
      isExcused: false,
      faults: [['break', ...during, { sides: ['store'] }]],
    },
  ];
  it('excuses by a kill of the daemon that had taken the request over, once', () => {
    const taker = { index: 1, link: { ownHost: '127.0.1.1' } } as SoakDaemon;
    const excuses = new Excuses({ history, runs, daemons: [taker] });
    checks = new AnswerChecks({ runs, excuses, violations });
    runAt('engine-1');
    fault('kill', ...during, { daemon: 1 });
    expect(brokenBy({ ...CUT, kind: 'story', path: '/chat/x' })).toEqual([]);
    expect(brokenBy(CUT)).toEqual(['an answer or a refusal']);
  });

  it('excuses by crashes of two runners, one of which had not read the request yet', () => {
    const crashOf = (runner: string) => fault('runner', ...during, { runner });
    const brokenWith = (...brokenAt: readonly string[]) => {
      const brokenAttempts = () => new Map([['call-1', brokenAt]]);
      const excuses = new Excuses({ history, runs, daemons: [] });
      checks = new AnswerChecks({ runs, excuses, violations, brokenAttempts });
      violations.all.length = 0;
      return brokenBy(CUT);
    };
    runAt('engine-1');
    crashOf('engine-1');
    expect(brokenWith('engine-1', 'engine-2')).toEqual(['an answer or a refusal']);
    crashOf('engine-2');
    expect(brokenWith('engine-1')).toEqual(['an answer or a refusal']);
    expect(brokenWith('engine-1', 'engine-2')).toEqual([]);
  });

  it('excuses by lost paths of all daemons, and not of all but one', () => {
    const daemons = [0, 1].map((index) => ({ index, link: { ownHost: '' } }) as SoakDaemon);
    checks = new AnswerChecks({
      ...{ runs, violations },
      excuses: new Excuses({ history, runs, daemons }),
    });
    runAt('engine-1');
    fault('path', ...during, { daemon: 1 });
    expect(brokenBy(CUT)).toEqual(['an answer or a refusal']);
    violations.all.length = 0;
    fault('path', ...during, { daemon: 0 });
    expect(brokenBy(CUT)).toEqual([]);
  });

  for (const { what, call, isExcused, faults = [] } of CASES) {
    it(`${isExcused ? 'excuses' : 'does not excuse'} by ${what}`, () => {
      runAt('engine-1');
      for (const one of faults) fault(...one);
      expect(brokenBy(call)).toEqual(isExcused ? [] : ['an answer or a refusal']);
    });
  }
});
