import { describe, it } from 'node:test';

import { expect } from 'earl';

import { Findings } from '../findings/Findings.js';
import type { LogLine } from './logLine.js';
import { parseLogLines } from './logLine.js';
import { explainRequest } from './explainRequest.js';

function lineOf(changes: Partial<LogLine> & { fields: LogLine['fields'] }): LogLine {
  const common = { level: 'info', number: 2600, event: 'e', text: '', daemon: 'daemon-1' };
  return { ...common, time: '2026-01-05T10:00:05.000Z', ...changes };
}

function timeAt(second: number): string {
  return `2026-01-05T10:00:0${second}.000Z`;
}

const FAILED_ATTEMPT_FIELDS = { request: 'r1', runner: 'i-1', failure: 'broken', verdict: 'fail' };

describe('the explanation of a request', () => {
  it('explains a lost answer: which runner failed, after how long, and why no other was tried', () => {
    const explanation = explainRequest('r1', [
      lineOf({
        number: 2601,
        fields: { request: 'r1', status: 502, outcome: 'broken', milliseconds: 61 },
      }),
      lineOf({
        number: 2603,
        time: timeAt(4),
        fields: { ...FAILED_ATTEMPT_FIELDS, attemptMilliseconds: 40 },
      }),
      lineOf({ number: 2600, fields: { request: 'r2' } }),
    ]);
    expect(explanation?.requestLines.map(({ number }) => number)).toEqual([2603, 2601]);
    expect(explanation?.conclusions).toEqual([
      expect.includes(
        'status 502 after 61 ms: a runner accepted it and its answer was lost (broken)',
      ),
      'Runner i-1 failed the request (broken) after 40 ms; decision: fail.',
    ]);
  });

  it('shows only the state that the daemon of the request had before its end', () => {
    const runner = (state: string, second: number, daemon = 'daemon-1') =>
      lineOf({ number: 2701, time: timeAt(second), daemon, fields: { runner: 'i-1', state } });
    const explanation = explainRequest('r1', [
      runner('ready', 1),
      runner('draining', 2),
      runner('gone', 6),
      runner('gone', 3, 'daemon-2'),
      lineOf({ number: 2701, time: timeAt(3), fields: { runner: 'i-2', state: 'ready' } }),
      lineOf({
        number: 2601,
        fields: { request: 'r1', runner: 'i-1', status: 503, outcome: 'refused' },
      }),
    ]);
    expect(explanation?.stateLines.map(({ fields }) => fields)).toEqual([
      { runner: 'i-1', state: 'draining' },
    ]);
  });

  it('reports how old the data of the daemon was when the store did not answer', () => {
    const lost = lineOf({ number: 2703, time: timeAt(2), fields: { revision: 41 } });
    const regained = lineOf({ number: 2704, time: timeAt(3), fields: {} });
    const end = lineOf({
      number: 2606,
      fields: { request: 'r1', status: 404, outcome: 'no_route' },
    });
    const away = 'The store had not answered daemon-1 since';
    expect(explainRequest('r1', [lost, end])?.conclusions).toEqual([
      expect.includes('status 404: no route of the configuration in force'),
      expect.includes(away),
    ]);
    expect(explainRequest('r1', [lost, regained, end])?.conclusions.length).toEqual(1);
  });

  it('leaves out the state of an earlier process of the daemon', () => {
    // Guards against an explanation that names a configuration which the daemon did not have. The daemon is killed, restarts
    // while the store is unreachable, and rejects a request; the latest state line was written by the earlier process.
    const explanation = explainRequest('r1', [
      lineOf({ number: 2700, time: timeAt(1), fields: { version: 11 } }),
      lineOf({ number: 2500, time: timeAt(2), fields: {} }),
      lineOf({ number: 2703, time: timeAt(3), fields: {} }),
      lineOf({ number: 2606, fields: { request: 'r1', status: 503, outcome: 'no_configuration' } }),
    ]);
    expect(explanation?.stateLines.map(({ number }) => number)).toEqual([2500, 2703]);
    expect(explanation?.conclusions).toEqual([
      'The caller got status 503: the daemon had no configuration yet.',
      expect.includes('the daemon had no data yet'),
    ]);
  });

  it('names the slow runner of a hedged request, and the load of the one that answered', () => {
    const end = {
      request: 'r1',
      runner: 'i-2',
      status: 200,
      outcome: 'answered',
      milliseconds: 90,
    };
    const explanation = explainRequest('r1', [
      lineOf({ number: 2604, time: timeAt(4), fields: { request: 'r1', runner: 'i-1' } }),
      lineOf({ number: 2600, fields: { ...end, load: 9, meanLoad: 3 } }),
    ]);
    expect(explanation?.conclusions).toEqual([
      'The caller got a runner’s answer, status 200 after 90 ms.',
      'A hedged request went to a second runner, because i-1 was slow.',
      'Runner i-2 had 9 requests in progress then; the mean was 3.',
    ]);
  });

  it('reports why no other runner was tried after an error response of a runner', () => {
    const error = { request: 'r1', runner: 'i-1', status: 500 };
    const end = { request: 'r1', runner: 'i-2', status: 500, milliseconds: 9 };
    const explanation = explainRequest('r1', [
      lineOf({ number: 2611, time: timeAt(4), fields: { ...error, verdict: 'retry' } }),
      lineOf({
        number: 2611,
        time: timeAt(5),
        fields: { ...error, runner: 'i-2', verdict: 'fail', reason: 'budget_empty' },
      }),
      lineOf({ number: 2600, fields: end }),
    ]);
    expect(explanation?.conclusions.slice(1)).toEqual([
      'Runner i-1 answered with an error of its own (500); the request was retried on another runner.',
      'Runner i-2 answered with an error of its own (500); the request was not retried (budget_empty).',
    ]);
  });

  it('names the runner that had a request until its deadline', () => {
    const fields = { request: 'r1', runner: 'i-4', status: 504, outcome: 'deadline', tried: 1 };
    expect(explainRequest('r1', [lineOf({ number: 2601, fields })])?.conclusions).toEqual([
      expect.includes('its deadline, or the timeout of its route, passed'),
      'Runner i-4 had the request all the time and sent no final answer.',
    ]);
  });

  it('reports a missing end line, and explains no request that no line names', () => {
    const only = [lineOf({ number: 2603, fields: FAILED_ATTEMPT_FIELDS })];
    expect(explainRequest('r1', only)?.conclusions[0]).toEqual(
      expect.includes('No line shows its end'),
    );
    expect(explainRequest('r9', only)).toEqual(undefined);
  });

  it('parses lines with a prefix of a log collector, and reports those that are not log lines', () => {
    const findings = new Findings();
    const line = JSON.stringify(lineOf({ fields: { request: 'r1' } }));
    const text = `${line}\n  3.250 host-1 ${line}\n\nFATAL ERROR: out of memory\n`;
    expect(parseLogLines(text, 'a.log', findings).length).toEqual(2);
    expect(findings.list().map(({ place }) => place)).toEqual([{ file: 'a.log', line: 4 }]);
  });
});
