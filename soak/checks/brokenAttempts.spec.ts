import { describe, it } from 'node:test';

import { expect } from 'earl';

import { forwardingLogEvents } from '../../src/forwarding/forwardingFeature.js';
import { brokenAttemptsIn } from './brokenAttempts.js';

function lineOf(fields: object, event: keyof typeof forwardingLogEvents = 'attemptFailed'): string {
  const { number, name, level } = forwardingLogEvents[event];
  const time = '2000-01-01T00:00:00.000Z';
  return `${JSON.stringify({ time, level, number, event: name, fields })}\n`;
}

describe(brokenAttemptsIn.name, () => {
  it('collects the attempts of each request that broke off, at all daemons', () => {
    const attempt = { request: 'call-1', failure: 'broken' };
    const first = lineOf({ ...attempt, runner: 'engine-1' });
    const others = [
      lineOf({ ...attempt, runner: 'engine-2' }, 'runnersError'),
      lineOf({ ...attempt, runner: 'engine-3', failure: 'refused' }),
      'no line of a log: forwarding.attempt_failed',
      lineOf({ ...attempt, runner: 'engine-4' }),
    ];
    const logs = [first, others.join('')];
    const daemons = logs.map((log, index) => ({ index, process: { log } }));
    expect([...brokenAttemptsIn(daemons)]).toEqual([['call-1', ['engine-1', 'engine-4']]]);
  });
});
