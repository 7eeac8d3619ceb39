import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { TEST_RUNNER } from '../runners/testRunner.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { ManualClock } from '../time/ManualClock.js';
import { PromptReader } from './PromptReader.js';
import { StreamKeepers } from './StreamKeepers.js';

const PAUSE_MILLISECONDS = 1_000;

function daemonNamed(name: string): DaemonEntry {
  const address = '10.1.0.1:7000';
  const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
  return { name, dataCentre: 'here', ...addresses };
}

/** A reader beside one runner. It has started a moment ago, and is the only daemon that reads lists. */
function startReader({ answer }: { answer: readonly string[] | undefined }) {
  const clock = new ManualClock();
  const runners = new RunnerTable();
  runners.put(TEST_RUNNER);
  const keepers = new StreamKeepers();
  keepers.update([daemonNamed('own')]);
  const seen = { asked: 0, prompts: 0, daemons: ['one', 'two'] };
  const reader = new PromptReader({
    ...{ daemon: 'own', keepers, clock, log: new MemoryLog() },
    registry: new MetricRegistry({ clock }),
    daemons: () => seen.daemons.map(daemonNamed),
    runners: () => runners.list(),
    isNeeded: () => true,
    fetchPrompts: (_, done) => {
      seen.asked += 1;
      done(answer);
    },
    onPrompts: (prompts) => {
      seen.prompts += prompts.length;
    },
    later: () => undefined,
  });
  const look = () => {
    clock.advance(PAUSE_MILLISECONDS);
    reader.look();
  };
  return { seen, look };
}

describe('PromptReader', () => {
  it('asks a runner once while daemons come back that had been lost before', () => {
    // Guards against a list for each daemon that starts.
    const { seen, look } = startReader({ answer: ['part'] });
    look();
    for (const name of ['three', 'four', 'five']) {
      seen.daemons = [...seen.daemons, name];
      look();
    }
    expect([seen.asked, seen.prompts]).toEqual([1, 1]);
  });

  it('asks a runner again once a daemon has been lost, although another one has come', () => {
    // Guards against streams of the lost daemon of which nobody has a record.
    const { seen, look } = startReader({ answer: ['part'] });
    look();
    seen.daemons = ['one', 'three'];
    look();
    look();
    expect(seen.asked).toEqual(2);
  });

  it('asks a runner again that has not answered, four times for each loss at most', () => {
    // Guards against lost answers of a busy runner, and against asking a runner for good that has no list.
    const { seen, look } = startReader({ answer: undefined });
    for (let count = 0; count < 7; count += 1) look();
    expect(seen.asked).toEqual(4);
    seen.daemons = ['one'];
    for (let count = 0; count < 7; count += 1) look();
    expect(seen.asked).toEqual(8);
  });
});
