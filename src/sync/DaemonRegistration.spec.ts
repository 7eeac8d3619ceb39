import { afterEach, beforeEach, describe, it, mock } from 'node:test';

import { expect } from 'earl';

import { SilentLog } from '../logging/Log.js';
import { ManualClock } from '../time/ManualClock.js';
import { DaemonRegistration } from './DaemonRegistration.js';
import { TestStore } from './testStore.js';

const ADDRESS = '10.0.0.1:1';

/** Refuses each call while `isAway` is set, and records the calls. */
class RefusingStore extends TestStore {
  isAway = true;

  readonly calls: string[] = [];

  override register(): Promise<string> {
    return this.call('register').then(() => 'registration');
  }

  override renew(): Promise<void> {
    return this.call('renew');
  }

  private call(name: string): Promise<void> {
    this.calls.push(name);
    return this.isAway ? Promise.reject(new Error('refused')) : Promise.resolve();
  }
}

describe(DaemonRegistration.name, () => {
  let clock: ManualClock;
  let store: RefusingStore;
  let registration: DaemonRegistration;

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    clock = new ManualClock();
    store = new RefusingStore();
    const addresses = { callerAddress: ADDRESS, peerAddress: ADDRESS, newsAddress: ADDRESS };
    registration = new DaemonRegistration({
      store,
      log: new SilentLog(),
      clock,
      daemon: { name: 'daemon-1', dataCentre: 'here', ...addresses },
      isListed: () => true,
    });
  });

  afterEach(async () => {
    await registration.stop();
    mock.timers.reset();
  });

  async function pass(milliseconds: number): Promise<number> {
    store.calls.length = 0;
    for (let passed = 0; passed < milliseconds; passed += 100) {
      mock.timers.tick(100);
      await new Promise(setImmediate);
    }
    return store.calls.length;
  }

  it('backs off from a store that refuses the registration', async () => {
    // Guards against 70 daemons that each send two writes a second to a store that is down. This happened in a rolling
    // restart while the store refused all calls, because a registration was retried as often as a renewal.
    await registration.start();
    expect(await pass(8_000)).toEqual(4);
    store.isAway = false;
    expect(await pass(3_000)).toEqual(1);
  });

  it('retries the renewal of a held lease twice a second', async () => {
    store.isAway = false;
    await registration.start();
    await pass(2_000);
    store.isAway = true;
    expect(await pass(3_000)).toEqual(6);
  });

  it('registers again within a second if the restored store may lack a registration', async () => {
    // Guards against a renewal that keeps another daemon's lease alive because the store has given it out again.
    store.isAway = false;
    await registration.start();
    registration.handleRestore();
    await pass(1_000);
    expect(store.calls).toEqual(['register']);
  });

  it('goes on with a lease that any copy of the store holds', async () => {
    store.isAway = false;
    await registration.start();
    clock.advance(60_000);
    registration.handleRestore();
    await pass(2_500);
    expect(store.calls).toEqual(['renew']);
  });
});
