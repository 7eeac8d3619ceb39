import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { ManualClock } from '../time/ManualClock.js';
import { QuarantinePersistence } from './QuarantinePersistence.js';
import { RequestQuarantine } from './RequestQuarantine.js';
import { RequestSubjects } from './requestSubjects.js';

const DIGEST = 'f'.repeat(32);
const BOOT_MILLISECONDS = 1_700_000_000_000;

function createStored(clock: ManualClock, pages: string[] = []) {
  const log = new MemoryLog();
  const crashes = { increment: () => undefined };
  const quarantine = new RequestQuarantine({ runners: new RunnerTable(), clock, log, crashes });
  const saveQuarantine = (page: string) => {
    pages.push(page);
    return Promise.resolve();
  };
  const store = { saveQuarantine };
  const keeper = new QuarantinePersistence({ store, quarantine, clock, log, isWriter: () => true });
  return { quarantine, keeper };
}

describe(QuarantinePersistence.name, () => {
  it('restores the quarantined requests of a daemon that starts while no other is running', async () => {
    const pages: string[] = [];
    const before = createStored(
      new ManualClock({ monotonicMilliseconds: 9_000, wallMilliseconds: BOOT_MILLISECONDS }),
      pages,
    );
    for (const life of [1, 2, 3])
      before.quarantine.decisions.crashed([{ digest: DIGEST }], { life, at: life }, 9_000);
    await before.keeper.save();
    await before.keeper.save();
    expect(pages.length).toEqual(1);
    const clock = new ManualClock({ wallMilliseconds: BOOT_MILLISECONDS + 40_000 });
    const after = createStored(clock);
    after.keeper.load(pages[0] ?? '');
    expect(after.quarantine.stateOf(DIGEST)).toEqual('quarantined');
    expect(after.quarantine.retryAfterSeconds(new RequestSubjects({ digest: DIGEST }))).toEqual(
      60 - 48,
    );
  });

  it('removes released requests from the stored list', async () => {
    const pages: string[] = [];
    const { quarantine, keeper } = createStored(
      new ManualClock({ monotonicMilliseconds: 50 }),
      pages,
    );
    for (const life of [1, 2, 3])
      quarantine.decisions.crashed([{ digest: DIGEST }], { life, at: life }, 50);
    await keeper.save();
    quarantine.release(DIGEST);
    await keeper.save();
    expect(pages.length).toEqual(2);
    expect(pages[1]).toEqual('{"requests":[]}');
  });

  it('rejects a stored list that does not match the schema', () => {
    const { keeper } = createStored(new ManualClock());
    expect(() => keeper.load('{"requests":[{"digest":"x"}]}')).toThrow();
  });

  it('saves an unchanged list again after a restore of the store', async () => {
    // Guards against a fleet that, started anew, sends a quarantined request to runners because the copy did not hold it.
    const pages: string[] = [];
    const { quarantine, keeper } = createStored(new ManualClock(), pages);
    for (const life of [1, 2, 3])
      quarantine.decisions.crashed([{ digest: DIGEST }], { life, at: life }, 3);
    await keeper.save();
    keeper.handleRestore();
    await keeper.save();
    expect(pages.length).toEqual(2);
    expect(pages[1]).toEqual(pages[0]);
  });
});
