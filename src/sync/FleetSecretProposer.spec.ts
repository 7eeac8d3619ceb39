import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { SilentLog } from '../logging/Log.js';
import { ManualClock } from '../time/ManualClock.js';
import { FleetSecretProposer } from './FleetSecretProposer.js';

describe(FleetSecretProposer.name, () => {
  let clock: ManualClock;
  let proposals: string[];
  let secret: FleetSecretProposer;

  beforeEach(() => {
    clock = new ManualClock();
    proposals = [];
    const store = {
      proposeSecret: (text: string) => {
        proposals.push(text);
        return Promise.resolve();
      },
    };
    secret = new FleetSecretProposer({ store, clock, log: new SilentLog() });
  });

  it('is proposed by the first listed daemon, and again until the store returns it', () => {
    secret.ensure(undefined, () => true);
    clock.advance(1_999);
    secret.ensure(undefined, () => true);
    expect(proposals.length).toEqual(1);
    clock.advance(1);
    secret.ensure(undefined, () => true);
    expect(proposals.length).toEqual(2);
    clock.advance(2_000);
    secret.ensure('known', () => true);
    expect(proposals.length).toEqual(2);
  });

  it('is proposed by any daemon if the first one has not done it', () => {
    // Guards against daemons that cannot exchange messages for want of a secret: the first listed daemon dies before it
    // has proposed one and stays listed until its lease expires, and no other daemon proposes.
    secret.ensure(undefined, () => false);
    clock.advance(3_999);
    secret.ensure(undefined, () => false);
    expect(proposals).toEqual([]);
    clock.advance(1);
    secret.ensure(undefined, () => false);
    expect(proposals.length).toEqual(1);
  });

  it('is proposed again as it is by the first listed daemon after a restore of the store', async () => {
    // Guards against a second secret from a daemon that starts while the restored store holds none.
    secret.handleRestore();
    secret.ensure('known', () => false);
    secret.ensure('known', () => true);
    await new Promise(setImmediate);
    clock.advance(2_000);
    secret.ensure('known', () => true);
    expect(proposals).toEqual(['known']);
  });
});
