import { describe, it } from 'node:test';

import { expect } from 'earl';

import { Findings } from '../findings/Findings.js';
import type { LogLine } from './logLine.js';
import { parseLogLines } from './logLine.js';
import { storyOf } from './RequestStory.js';

function lineOf(changes: Partial<LogLine> & { fields: LogLine['fields'] }): LogLine {
  const common = { level: 'info', number: 2600, event: 'e', text: '', daemon: 'daemon-1' };
  return { ...common, time: '2026-01-05T10:00:05.000Z', ...changes };
}

function at(second: number): string {
  return `2026-01-05T10:00:0${second}.000Z`;
}

const LOST = { request: 'r1', runner: 'i-1', failure: 'broken', verdict: 'fail' };

describe('the story of a request', () => {
  it('tells of a lost answer: which runner, after how long, and why nobody else was asked', () => {
    const story = storyOf('r1', [
      lineOf({
        number: 2601,
        fields: { request: 'r1', status: 502, outcome: 'broken', milliseconds: 61 },
      }),
      lineOf({ number: 2603, time: at(4), fields: { ...LOST, attemptMilliseconds: 40 } }),
      lineOf({ number: 2600, fields: { request: 'r2' } }),
    ]);
    expect(story?.own.map(({ number }) => number)).toEqual([2603, 2601]);
    expect(story?.conclusions).toEqual([
      expect.includes('status 502 after 61 ms: a runner took it and its answer was lost (broken)'),
      'Runner i-1 failed it (broken) after 40 ms; decided: fail.',
    ]);
  });

  it('takes only what the daemon of the request believed before its end', () => {
    const runner = (state: string, second: number, daemon = 'daemon-1') =>
      lineOf({ number: 2701, time: at(second), daemon, fields: { runner: 'i-1', state } });
    const story = storyOf('r1', [
      runner('ready', 1),
      runner('draining', 2),
      runner('gone', 6),
      runner('gone', 3, 'daemon-2'),
      lineOf({ number: 2701, time: at(3), fields: { runner: 'i-2', state: 'ready' } }),
      lineOf({
        number: 2601,
        fields: { request: 'r1', runner: 'i-1', status: 503, outcome: 'refused' },
      }),
    ]);
    expect(story?.beliefs.map(({ fields }) => fields)).toEqual([
      { runner: 'i-1', state: 'draining' },
    ]);
  });

  it('says how old the beliefs were where the store was away', () => {
    const lost = lineOf({ number: 2703, time: at(2), fields: { revision: 41 } });
    const regained = lineOf({ number: 2704, time: at(3), fields: {} });
    const end = lineOf({
      number: 2606,
      fields: { request: 'r1', status: 404, outcome: 'no_route' },
    });
    const away = 'The store had not answered daemon-1 since';
    expect(storyOf('r1', [lost, end])?.conclusions).toEqual([
      expect.includes('status 404: no route of the configuration in force'),
      expect.includes(away),
    ]);
    expect(storyOf('r1', [lost, regained, end])?.conclusions.length).toEqual(1);
  });

  it('leaves out what an earlier process of the daemon believed', () => {
    // Symptom: the story names a configuration that the daemon did not have. Sequence: it is killed, starts while
    // the store is away, and refuses a request. Cause: the latest line counts, whichever process wrote it.
    const story = storyOf('r1', [
      lineOf({ number: 2700, time: at(1), fields: { version: 11 } }),
      lineOf({ number: 2500, time: at(2), fields: {} }),
      lineOf({ number: 2703, time: at(3), fields: {} }),
      lineOf({ number: 2606, fields: { request: 'r1', status: 503, outcome: 'no_configuration' } }),
    ]);
    expect(story?.beliefs.map(({ number }) => number)).toEqual([2500, 2703]);
    expect(story?.conclusions).toEqual([
      'The caller got status 503: the daemon had no configuration yet.',
      expect.includes('it knew nothing yet'),
    ]);
  });

  it('names the slow runner of a request that went to a second one, and how full it was', () => {
    const end = {
      request: 'r1',
      runner: 'i-2',
      status: 200,
      outcome: 'answered',
      milliseconds: 90,
    };
    const story = storyOf('r1', [
      lineOf({ number: 2604, time: at(4), fields: { request: 'r1', runner: 'i-1' } }),
      lineOf({ number: 2600, fields: { ...end, load: 9, meanLoad: 3 } }),
    ]);
    expect(story?.conclusions).toEqual([
      'The caller got a runner’s answer, status 200 after 90 ms.',
      'A second runner was asked beside i-1, which was slow.',
      'Runner i-2 had 9 requests then, the mean was 3.',
    ]);
  });

  it('says why no other runner was asked after one’s own error', () => {
    const error = { request: 'r1', runner: 'i-1', status: 500 };
    const end = { request: 'r1', runner: 'i-2', status: 500, milliseconds: 9 };
    const story = storyOf('r1', [
      lineOf({ number: 2611, time: at(4), fields: { ...error, verdict: 'retry' } }),
      lineOf({
        number: 2611,
        time: at(5),
        fields: { ...error, runner: 'i-2', verdict: 'fail', reason: 'budget_empty' },
      }),
      lineOf({ number: 2600, fields: end }),
    ]);
    expect(story?.conclusions.slice(1)).toEqual([
      'Runner i-1 answered with an error of its own (500); another one was asked.',
      'Runner i-2 answered with an error of its own (500); no other one was asked (budget_empty).',
    ]);
  });

  it('names the runner that kept a request until its deadline', () => {
    const fields = { request: 'r1', runner: 'i-4', status: 504, outcome: 'deadline', tried: 1 };
    expect(storyOf('r1', [lineOf({ number: 2601, fields })])?.conclusions).toEqual([
      expect.includes('its deadline, or the timeout of its route, passed'),
      'Runner i-4 had it all the time and said nothing final.',
    ]);
  });

  it('says so where no line tells the end, and knows nothing of a request that no line names', () => {
    const only = [lineOf({ number: 2603, fields: LOST })];
    expect(storyOf('r1', only)?.conclusions[0]).toEqual(expect.includes('No line tells its end'));
    expect(storyOf('r9', only)).toEqual(undefined);
  });

  it('reads lines behind a collector’s prefix, and names those that are none', () => {
    const findings = new Findings();
    const line = JSON.stringify(lineOf({ fields: { request: 'r1' } }));
    const text = `${line}\n  3.250 host-1 ${line}\n\nFATAL ERROR: out of memory\n`;
    expect(parseLogLines(text, 'a.log', findings).length).toEqual(2);
    expect(findings.list().map(({ place }) => place)).toEqual([{ file: 'a.log', line: 4 }]);
  });
});
