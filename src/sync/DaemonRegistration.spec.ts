import { afterEach, beforeEach, describe, it, mock } from 'node:test';

import { expect } from 'earl';

import { SilentLog } from '../logging/Log.js';
import { DaemonRegistration } from './DaemonRegistration.js';
import { TestStore } from './testStore.js';

const ADDRESS = '10.0.0.1:1';

/** A store that refuses for as long as a test says. */
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
  let store: RefusingStore;
  let registration: DaemonRegistration;

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    store = new RefusingStore();
    const addresses = { callerAddress: ADDRESS, peerAddress: ADDRESS, newsAddress: ADDRESS };
    registration = new DaemonRegistration({
      store,
      log: new SilentLog(),
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

  it('asks a store that refuses less and less often', async () => {
    // Symptom: a store that is down gets two writes a second from each of 70 daemons that were just restarted. Sequence: a
    // roll begins while the store refuses everybody. Cause: a registration was tried again as often as a renewal.
    await registration.start();
    expect(await pass(8_000)).toEqual(4);
    store.isAway = false;
    expect(await pass(3_000)).toEqual(1);
  });

  it('renews twice a second a lease that is still there', async () => {
    store.isAway = false;
    await registration.start();
    await pass(2_000);
    store.isAway = true;
    expect(await pass(3_000)).toEqual(6);
  });
});
