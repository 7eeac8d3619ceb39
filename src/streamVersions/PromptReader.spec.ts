import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { Runner } from '../runners/Runner.js';
import { ManualClock } from '../time/ManualClock.js';
import type { PromptFetcher } from './PromptReader.js';
import { PromptReader } from './PromptReader.js';
import { StreamKeepers } from './StreamKeepers.js';

const ADDRESS = '10.0.0.1:7000';

const DAEMON = {
  ...{ name: 'daemon', dataCentre: 'here' },
  ...{ callerAddress: ADDRESS, peerAddress: ADDRESS, newsAddress: ADDRESS },
};

const RUNNER = new Runner({
  ...{ id: 'a', life: 'a', service: 'chat', state: 'ready', softwareVersion: 'v1' },
  ...{ host: '10.0.0.2', port: 80, dataCentre: 'here' },
});

/** Looks once a second for half a minute. */
function countQuestions(fetchPrompts: PromptFetcher): { asked: number; told: number } {
  const clock = new ManualClock();
  const keepers = new StreamKeepers();
  keepers.update([DAEMON]);
  let asked = 0;
  let told = 0;
  const reader = new PromptReader({
    ...{ daemon: DAEMON.name, daemons: () => [], keepers, clock },
    ...{ log: new MemoryLog(), registry: new MetricRegistry({ clock }) },
    runners: () => [RUNNER],
    isNeeded: () => true,
    fetchPrompts: (...question) => {
      asked += 1;
      fetchPrompts(...question);
    },
    onPrompts: (prompts) => {
      told += prompts.length;
    },
    later: () => undefined,
  });
  for (let second = 0; second < 30; second += 1) {
    reader.look();
    clock.advance(1_000);
  }
  return { asked, told };
}

describe(PromptReader.name, () => {
  it('asks a runner once after a loss', () => {
    // Guards against lists that delay the work of runners again and again.
    expect(countQuestions((_, done) => done(['p', 'q']))).toEqual({ asked: 1, told: 2 });
  });

  it('asks a runner again that has not answered in time, a few times', () => {
    // Guards against streams that are refused because a busy machine has read no list in time.
    const answers = [undefined, undefined, ['p']];
    expect(countQuestions((_, done) => done(answers.shift()))).toEqual({ asked: 3, told: 1 });
    expect(countQuestions((_, done) => done(undefined))).toEqual({ asked: 4, told: 0 });
  });
});
