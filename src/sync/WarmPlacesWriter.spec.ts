import { afterEach, beforeEach, describe, it, mock } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { WarmPlaces } from '../runners/WarmPlaces.js';
import { TestStore } from './testStore.js';
import { WarmPlacesWriter } from './WarmPlacesWriter.js';

const WRITES_MILLISECONDS = 3_000;

class CountingStore extends TestStore {
  writes = 0;

  override saveWarmPlaces(): Promise<void> {
    this.writes += 1;
    return Promise.resolve();
  }
}

describe(WarmPlacesWriter.name, () => {
  beforeEach(() => mock.timers.enable({ apis: ['setInterval'] }));

  afterEach(() => mock.timers.reset());

  function writesOf(name: string, informed: readonly string[]): number {
    const store = new CountingStore();
    const warmPlaces = new WarmPlaces();
    warmPlaces.remember('prompt', 'runner-1');
    const keeper = new WarmPlacesWriter({
      ...{ store, warmPlaces, name },
      log: new MemoryLog(),
      daemons: () => informed,
    });
    keeper.start();
    mock.timers.tick(WRITES_MILLISECONDS);
    keeper.stop();
    return store.writes;
  }

  it('writes only in the first, by name, of the daemons that know all warm places', () => {
    expect(writesOf('b', ['c', 'b', 'd'])).toEqual(1);
    expect(writesOf('c', ['c', 'b', 'd'])).toEqual(0);
  });

  it('does not write in a daemon that does not know all warm places', () => {
    // Guards against dozens of daemons of a large fleet that each overwrite the list with the few places that they know.
    expect(writesOf('a', ['c', 'b', 'd'])).toEqual(0);
  });

  it('writes unchanged places again after a restore of the store', async () => {
    // Guards against a start of all daemons that finds the places of an older copy, however long ago it was restored.
    const store = new CountingStore();
    const warmPlaces = new WarmPlaces();
    warmPlaces.remember('prompt', 'runner-1');
    const log = new MemoryLog();
    const keeper = new WarmPlacesWriter({
      store,
      warmPlaces,
      log,
      name: 'a',
      daemons: () => ['a'],
    });
    keeper.start();
    for (const isRestored of [false, false, true]) {
      if (isRestored) keeper.handleRestore();
      mock.timers.tick(WRITES_MILLISECONDS);
      await new Promise(setImmediate);
    }
    keeper.stop();
    expect(store.writes).toEqual(2);
  });
});
