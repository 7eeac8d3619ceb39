import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { Runner } from '../runners/Runner.js';
import { ManualClock } from '../time/ManualClock.js';
import { PromptReader } from './PromptReader.js';
import type { PromptFetcher } from './PromptReader.js';

function runnerOf(index: number): Runner {
  const place = { host: '10.0.0.1', port: 8_000 + index, dataCentre: 'here' };
  const id = `runner-${index}`;
  return new Runner({
    id,
    life: id,
    service: 'chat',
    state: 'ready',
    softwareVersion: 'v1',
    ...place,
  });
}

describe(PromptReader.name, () => {
  function read(
    runners: readonly Runner[],
    answer: (runner: Runner) => readonly string[] | undefined,
  ) {
    const clock = new ManualClock();
    const log = new MemoryLog();
    const registry = new MetricRegistry({ clock });
    const answers: (() => void)[] = [];
    const fetchPrompts: PromptFetcher = (runner, done) => answers.push(() => done(answer(runner)));
    const addresses = { callerAddress: '', peerAddress: '', newsAddress: '' };
    const reader = new PromptReader({
      ...{ daemon: 'one', daemons: () => [], clock, log, registry, fetchPrompts },
      keepers: { askableFor: () => [{ name: 'one', dataCentre: 'here', ...addresses }] },
      runners: () => runners,
      isNeeded: () => true,
      onPrompts: () => undefined,
      later: (call) => answers.push(call),
    });
    reader.look();
    clock.advance(4);
    for (let next = answers.shift(); next; next = answers.shift()) next();
    const lists = registry.snapshot().find(({ name }) => name.includes('stream_prompt_lists'));
    return { lines: log.fieldsOf(forwardingLogEvents.promptsListed), lists };
  }

  it('logs what each runner has cached, or that it says nothing of it', () => {
    const runners = [0, 1, 2].map(runnerOf);
    const { lines } = read(runners, (runner) => {
      if (runner === runners[1]) return undefined;
      if (runner === runners[2]) runner.restart.record(1);
      return ['a', 'b'];
    });
    const fieldsOf = (index: number) => ({
      ...{ runner: `runner-${index}`, life: `runner-${index}`, service: 'chat' },
      ...{ softwareVersion: 'v1', milliseconds: 4 },
    });
    expect(lines).toEqual([
      { ...fieldsOf(0), outcome: 'read', parts: 2 },
      { ...fieldsOf(1), outcome: 'none', parts: undefined },
      { ...fieldsOf(2), outcome: 'outdated', parts: 2 },
    ]);
  });

  it('writes a limited number of lines, and counts all lists', () => {
    const runners = Array.from({ length: 25 }, (_, index) => runnerOf(index));
    const { lines, lists } = read(runners, () => []);
    expect(lines.length).toEqual(20);
    expect(lists?.series).toEqual([{ labels: { outcome: 'read' }, value: 25 }]);
  });
});
