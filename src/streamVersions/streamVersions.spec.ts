import { describe, it } from 'node:test';
import { setImmediate as settle } from 'node:timers/promises';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { Runner } from '../runners/Runner.js';
import { syncLogEvents } from '../sync/syncFeature.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { ServiceVersions } from './ServiceVersions.js';
import { StreamKeepers } from './StreamKeepers.js';
import { streamKeyOf } from './streamKey.js';
import { StreamRecords } from './StreamRecords.js';
import { decideTakeUp } from './takeUpDecision.js';
import type { SeenVersion, StreamVersionView, TakeUpInput } from './takeUpDecision.js';
import { VersionHistoryWriter } from './VersionHistoryWriter.js';

function runnerOf(id: string, softwareVersion?: string): Runner {
  const place = { host: '10.0.0.1', port: 80, dataCentre: 'here' };
  return new Runner({ id, life: id, service: 'chat', state: 'ready', softwareVersion, ...place });
}

function daemonsOf(count: number): DaemonEntry[] {
  return Array.from({ length: count }, (_, index) => {
    const address = `10.0.0.${index}:7000`;
    const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
    return { name: `daemon-${index}`, dataCentre: 'here', ...addresses };
  });
}

function viewOf(versions: readonly SeenVersion[] | undefined, isKeeper = true): StreamVersionView {
  return { recorded: undefined, versions, isKeeper, promptVersions: [] };
}

describe('decideTakeUp', () => {
  const first = { softwareVersion: 'v1', isNewSinceStart: false };
  const second = { softwareVersion: 'v2', isNewSinceStart: false };
  const newSecond = { softwareVersion: 'v2', isNewSinceStart: true };
  const several = viewOf([first, second]);
  const onlyFirst = viewOf([first]);
  const beforeSecond = viewOf([first, newSecond]);
  const isListCurrent = true;
  const keepers = 6;

  type TestInput = Omit<TakeUpInput, 'isHistoryComplete' | 'arePromptsListed'> &
    Partial<TakeUpInput>;

  const cases: readonly (readonly [string, TestInput, string | undefined])[] = [
    [
      'takes its own record',
      {
        own: { ...onlyFirst, recorded: 'v2' },
        others: [],
        isListCurrent: false,
        keepers,
      },
      'v2',
    ],
    [
      'takes the record of another daemon, whatever it knows itself',
      {
        own: onlyFirst,
        others: [several, { ...onlyFirst, recorded: 'v2' }],
        isListCurrent,
        keepers,
      },
      'v2',
    ],
    [
      'needs no record where there is one version',
      { own: onlyFirst, others: [], isListCurrent, keepers },
      'v1',
    ],
    [
      'is confirmed by another daemon while the store is away',
      { own: onlyFirst, others: [onlyFirst], isListCurrent: false, keepers },
      'v1',
    ],
    [
      'guesses nothing where nobody confirms an old list',
      { own: onlyFirst, others: [], isListCurrent: false, keepers },
      undefined,
    ],
    [
      'guesses nothing where another daemon has seen more versions',
      { own: onlyFirst, others: [onlyFirst, several], isListCurrent, keepers },
      undefined,
    ],
    [
      'guesses nothing where another daemon cannot say which versions there were',
      { own: onlyFirst, others: [viewOf(undefined)], isListCurrent, keepers },
      undefined,
    ],
    [
      'guesses nothing between several versions',
      { own: several, others: [several], isListCurrent, keepers },
      undefined,
    ],
    [
      'guesses nothing while it has not read what daemons before it have written',
      { own: viewOf(undefined), others: [], isListCurrent, keepers },
      undefined,
    ],
    [
      'rules a version out that came after the start of two keepers without a record',
      { own: beforeSecond, others: [beforeSecond, several], isListCurrent, keepers },
      'v1',
    ],
    [
      'rules nothing out where runners list their prompts, and none has that of the stream',
      {
        own: beforeSecond,
        others: [beforeSecond, several],
        ...{ isListCurrent, keepers, arePromptsListed: true },
      },
      undefined,
    ],
    [
      'rules nothing out on the word of one keeper of several',
      { own: beforeSecond, others: [several], isListCurrent, keepers },
      undefined,
    ],
    [
      'rules nothing out on the word of daemons that do not keep the record',
      {
        own: beforeSecond,
        others: [viewOf([first, newSecond], false)],
        isListCurrent,
        keepers,
      },
      undefined,
    ],
    [
      'guesses nothing from one version where the saved history is too old to name all',
      { own: onlyFirst, others: [onlyFirst], isListCurrent, keepers, isHistoryComplete: false },
      undefined,
    ],
    [
      'goes on where a runner has the prompt cached, whatever the history lacks',
      {
        own: several,
        others: [{ ...onlyFirst, promptVersions: ['v2'] }],
        ...{ isListCurrent, keepers, isHistoryComplete: false },
      },
      'v2',
    ],
    [
      'guesses nothing where runners of two versions have the prompt cached',
      {
        own: { ...several, promptVersions: ['v1'] },
        others: [{ ...onlyFirst, promptVersions: ['v2'] }],
        ...{ isListCurrent, keepers },
      },
      undefined,
    ],
    [
      'rules a version out by itself where it is the only keeper',
      { own: beforeSecond, others: [], isListCurrent, keepers: 1 },
      'v1',
    ],
  ];

  for (const [name, input, expected] of cases) {
    it(name, () => {
      const decision = decideTakeUp({ isHistoryComplete: true, arePromptsListed: false, ...input });
      expect(decision.evidence === 'unknown' ? undefined : decision.softwareVersion).toEqual(
        expected,
      );
    });
  }
});

describe('streamKeyOf', () => {
  it('is another one for another account or service, whose streams a caller must learn nothing of', () => {
    const name = { service: 's', clientAccount: 'a', id: 'i' };
    const keys = [
      name,
      { ...name, service: 't' },
      { ...name, clientAccount: 'b' },
      { ...name, clientAccount: undefined },
      { service: 's', clientAccount: 'ai', id: '' },
    ].map(streamKeyOf);
    expect(new Set(keys).size).toEqual(keys.length);
    expect(streamKeyOf({ ...name })).toEqual(keys[0] ?? 0n);
  });
});

describe(ServiceVersions.name, () => {
  it('still knows of a version whose last runner has left', () => {
    const versions = new ServiceVersions({ startedAt: { monotonic: 0, wall: 0 } });
    versions.see([runnerOf('a', 'v1'), runnerOf('b', 'v2')], 1_000);
    versions.see([runnerOf('b', 'v2')], 2_000);
    expect(versions.onlyVersionOf('chat', 1_000)).toEqual(undefined);
    expect(versions.onlyVersionOf('chat', 1_001)).toEqual('v2');
    expect(versions.onlyVersionOf('other', 0)).toEqual(undefined);
  });

  it('has a version to save that another daemon has told of before a runner of it is listed', () => {
    // Guards against streams of a version that daemons take for one that came after their start, if all end now.
    const versions = new ServiceVersions({ startedAt: { monotonic: 0, wall: 0 } });
    versions.see([runnerOf('a', 'v1')], 1_000);
    const save = (monotonic: number) =>
      versions.recordSaved(versions.export({ monotonic, wall: monotonic }, 500));
    save(1_000);
    expect(versions.isSavedOutdated(500)).toEqual(false);
    versions.note('chat', 'v2', 1_100);
    expect(versions.isSavedOutdated(600)).toEqual(true);
    save(1_100);
    expect(versions.isSavedOutdated(600)).toEqual(false);
    versions.see([runnerOf('a', 'v1'), runnerOf('b', 'v2')], 1_200);
    expect(versions.isSavedOutdated(700)).toEqual(true);
  });

  it('takes no version for new where a saved history was complete too long ago', () => {
    // Guards against streams of a version that the store could not be told of, and that count as those of the other one.
    const isNewAfter = (completeAt: number) => {
      const versions = new ServiceVersions({ startedAt: { monotonic: 500, wall: 100_000 } });
      const saved = new Map([['chat', new Map([['v1', 0]])]]);
      versions.load({ versions: saved, completeAt }, { monotonic: 600, wall: 100_100 });
      versions.see([runnerOf('a', 'v1'), runnerOf('b', 'v2')], 700);
      return versions.versionsOf('chat', 0).map(({ isNewSinceStart }) => isNewSinceStart);
    };
    expect([0, 90_900, 91_100].map(isNewAfter)).toEqual([
      [false, false],
      [false, false],
      [false, true],
    ]);
  });

  it('holds streams back from a version that the store does not name, for a while', () => {
    // Guards against streams of a version that nobody can tell of after a loss of all daemons.
    const versions = new ServiceVersions({ startedAt: { monotonic: 0, wall: 0 } });
    const mayBegin = (now: number) =>
      ['v1', 'v2'].map((version) => versions.mayBegin('chat', version, now));
    expect(mayBegin(0)).toEqual([true, true]);
    versions.load(
      { versions: new Map([['chat', new Map([['v1', 0]])]]), completeAt: 0 },
      { monotonic: 0, wall: 0 },
    );
    versions.see([runnerOf('a', 'v1'), runnerOf('b', 'v2')], 1_000);
    expect([1_000, 12_999, 13_000].map(mayBegin)).toEqual([
      [true, false],
      [true, false],
      [true, true],
    ]);
    versions.recordSaved(versions.export({ monotonic: 2_000, wall: 2_000 }, 500));
    expect(mayBegin(2_000)).toEqual([true, true]);
  });

  it('counts runners without a version as runners of the same one', () => {
    const versions = new ServiceVersions({ startedAt: { monotonic: 0, wall: 0 } });
    versions.see([runnerOf('a'), runnerOf('b')], 1_000);
    expect(versions.onlyVersionOf('chat', 0)).toEqual('');
    expect([999, 1_000].map((from) => versions.isKnownSince('chat', from))).toEqual([false, true]);
  });
});

describe(VersionHistoryWriter.name, () => {
  it('waits for a while after a write that the store has refused', async () => {
    // Guards against a write, and a line in the log, for each change of the list while the store takes no writes.
    const versions = new ServiceVersions({ startedAt: { monotonic: 0, wall: 0 } });
    versions.see([runnerOf('a', 'v1')], 1);
    let calls = 0;
    const saveVersionHistory = () => {
      calls += 1;
      return Promise.reject(new Error('the store takes no writes'));
    };
    const store = { saveVersionHistory };
    const log = new MemoryLog();
    const writer = new VersionHistoryWriter({ store, versions, log, place: () => 0 });
    for (let now = 0; now < 1_000; now += 50) {
      writer.write({ monotonic: now, wall: now }, 10_000);
      await settle();
    }
    expect([calls, log.fieldsOf(syncLogEvents.registrationFailed).length]).toEqual([3, 3]);
  });
});

describe(StreamRecords.name, () => {
  it('keeps each record for the retention at least, and for twice as long at most', () => {
    const records = new StreamRecords();
    records.expire(0, 1_000);
    records.record(1n, 'v1');
    for (let now = 0; now < 1_999; now += 100) records.expire(now, 1_000);
    expect(records.versionOf(1n)).toEqual('v1');
    records.expire(2_000, 1_000);
    expect(records.versionOf(1n)).toEqual(undefined);
  });
});

describe(StreamKeepers.name, () => {
  it('has all daemons of a small fleet keep a record, and four of a large one', () => {
    const keepers = new StreamKeepers();
    keepers.update(daemonsOf(9));
    expect(keepers.keepersOf(5n).length).toEqual(9);
    keepers.update(daemonsOf(300));
    expect(keepers.keepersOf(5n).length).toEqual(4);
  });

  it('has the address at which a daemon of the same name has started again', () => {
    // Guards against records and questions that go to where a daemon was before.
    const keepers = new StreamKeepers();
    for (const newsAddress of ['10.0.0.1:7000', '10.0.0.2:7000']) {
      keepers.update(daemonsOf(20).map((daemon) => ({ ...daemon, newsAddress })));
      expect(keepers.keepersOf(5n).map((keeper) => keeper.newsAddress)).toEqual(
        Array.from({ length: 4 }, () => newsAddress),
      );
    }
  });

  it('asks the keepers first, also where a daemon has joined since', () => {
    const [before, after] = [new StreamKeepers(), new StreamKeepers()];
    before.update(daemonsOf(299));
    after.update(daemonsOf(300));
    for (let stream = 0n; stream < 64n; stream += 1n) {
      const asked = after.askableFor(stream).slice(0, 5);
      const names = asked.map(({ name }) => name);
      expect(before.keepersOf(stream).every(({ name }) => names.includes(name))).toEqual(true);
    }
  });

  it('spreads the records over the fleet', () => {
    const keepers = new StreamKeepers();
    keepers.update(daemonsOf(60));
    const counts = new Map<string, number>();
    for (let stream = 0n; stream < 256n; stream += 1n) {
      for (const { name } of keepers.keepersOf(stream)) {
        counts.set(name, (counts.get(name) ?? 0) + 1);
      }
    }
    expect(Math.max(...counts.values())).toBeLessThan((3 * 4 * 256) / 60);
  });
});
