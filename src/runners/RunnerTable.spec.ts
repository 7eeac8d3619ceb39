import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { RunnerEntry } from './Runner.js';
import { RunnerTable } from './RunnerTable.js';

const SERVICE = 'chat';

function entryOf(id: string, life = `${id}@1`): RunnerEntry {
  const place = { host: '10.0.0.1', port: 8_000, dataCentre: 'here' };
  return { id, life, service: SERVICE, state: 'ready', ...place };
}

describe(RunnerTable.name, () => {
  let table: RunnerTable;

  function ready(): string[] {
    return table.readyOf(SERVICE).map(({ entry }) => entry.life);
  }

  beforeEach(() => {
    table = new RunnerTable();
    for (const id of ['a', 'b']) table.put(entryOf(id));
  });

  it('gives no new work to a runner that has announced its shutdown, whatever its entry says later', () => {
    expect([table.markLeaving('a@1'), table.markLeaving('a@1')]).toEqual([true, false]);
    table.put(entryOf('a'));
    expect(ready()).toEqual(['b@1']);
    table.markEntryMissing('a');
    table.remove('a');
    table.put(entryOf('a'));
    expect(ready()).toEqual(['b@1']);
  });

  it('gives new work to the next incarnation of a leaving runner', () => {
    table.markLeaving('a@1');
    table.put(entryOf('a', 'a@2'));
    expect(ready()).toEqual(['a@2', 'b@1']);
    expect(table.leavingLives).toEqual([]);
  });

  it('remembers a leaving runner that is listed later', () => {
    table.markLeaving('c@1');
    table.put(entryOf('c'));
    expect(ready()).toEqual(['a@1', 'b@1']);
  });

  it('tells the version that answers on a connection which outlives the entry of its incarnation', () => {
    // Guards against events of a runner that started again at another version before its new entry was known.
    table.put({ ...entryOf('c'), softwareVersion: 'v1' });
    const asked = table.get('c');
    table.put({ ...entryOf('c', 'c@2'), softwareVersion: 'v2' });
    expect(asked?.answeringVersion).toEqual('v2');
    table.put({ ...entryOf('c', 'c@3'), softwareVersion: 'v3' });
    expect(asked?.answeringVersion).toEqual('v3');
    expect(asked?.entry.softwareVersion).toEqual('v1');
  });

  it('still finds a leaving runner as a source of cached prompts', () => {
    table.markLeaving('a@1');
    expect(table.ofLife('a@1')?.entry.id).toEqual('a');
    expect(table.leavingLives).toEqual(['a@1']);
  });

  it('knows the version that answers on a connection to a runner that has started again', () => {
    // Guards against streams of two versions: the list drops the former incarnation before it has the next one.
    const former = table.get('a')!;
    table.remove('a');
    table.put({ ...entryOf('a', 'a@2'), softwareVersion: 'v2' });
    expect(former.answeringVersion).toEqual('v2');
  });

  it('keeps the version of a runner whose id another address has taken over', () => {
    const former = table.get('a')!;
    table.remove('a');
    table.put({ ...entryOf('a', 'a@2'), port: 8_001, softwareVersion: 'v2' });
    expect(former.answeringVersion).toEqual('');
  });
});
