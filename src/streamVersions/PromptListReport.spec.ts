import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { Runner } from '../runners/Runner.js';
import { ManualClock } from '../time/ManualClock.js';
import { PromptReader } from './PromptReader.js';

describe(PromptReader.name, () => {
  it('logs what runners have cached, in a limited number of lines, and counts all lists', () => {
    const clock = new ManualClock();
    const log = new MemoryLog();
    const registry = new MetricRegistry({ clock });
    const calls: (() => void)[] = [];
    const place = { host: '10.0.0.1', port: 80, dataCentre: 'here', softwareVersion: 'v1' };
    const runners = Array.from({ length: 25 }, (_, index) => {
      const id = `runner-${index}`;
      return new Runner({ id, life: id, service: 'chat', state: 'ready', ...place });
    });
    const answer = (runner: Runner) => {
      if (runner === runners[1]) return undefined;
      if (runner === runners[2]) runner.restart.record(1);
      return ['a', 'b'];
    };
    const addresses = { callerAddress: '', peerAddress: '', newsAddress: '' };
    new PromptReader({
      ...{ daemon: 'one', daemons: () => [], clock, log, registry, runners: () => runners },
      keepers: { askableFor: () => [{ name: 'one', dataCentre: 'here', ...addresses }] },
      ...{ isNeeded: () => true, onPrompts: () => undefined, later: (call) => calls.push(call) },
      fetchPrompts: (runner, done) => calls.push(() => done(answer(runner))),
    }).look();
    clock.advance(4);
    for (let next = calls.shift(); next; next = calls.shift()) next();
    const lines = log.fieldsOf(forwardingLogEvents.promptsListed);
    const fieldsOf = (index: number) => ({
      ...{ runner: `runner-${index}`, life: `runner-${index}`, service: 'chat' },
      ...{ softwareVersion: 'v1', milliseconds: 4 },
    });
    expect(lines.length).toEqual(20);
    expect(lines.slice(0, 3)).toEqual([
      { ...fieldsOf(0), outcome: 'read', parts: 2 },
      { ...fieldsOf(1), outcome: 'none', parts: undefined },
      { ...fieldsOf(2), outcome: 'outdated', parts: 2 },
    ]);
    const lists = registry.snapshot().find(({ name }) => name.includes('stream_prompt_lists'));
    const counts = lists?.series.map(({ labels, value }) => [labels.outcome, value]);
    expect(new Map(counts as [string, number][])).toEqual(
      new Map([
        ['read', 23],
        ['none', 1],
        ['outdated', 1],
      ]),
    );
  });
});
