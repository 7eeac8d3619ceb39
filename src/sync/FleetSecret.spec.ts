import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { SilentLog } from '../logging/Log.js';
import { ManualClock } from '../time/ManualClock.js';
import { FleetSecret } from './FleetSecret.js';

describe(FleetSecret.name, () => {
  let clock: ManualClock;
  let proposals: string[];
  let secret: FleetSecret;

  beforeEach(() => {
    clock = new ManualClock();
    proposals = [];
    const store = {
      proposeSecret: (text: string) => {
        proposals.push(text);
        return Promise.resolve();
      },
    };
    secret = new FleetSecret({ store, clock, log: new SilentLog() });
  });

  it('is proposed by the first daemon of the list, again while the store does not tell it', () => {
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

  it('is proposed by any daemon where the first one does not do it', () => {
    // Symptom: daemons tell each other nothing. Sequence: the first daemon of the list dies before it has proposed
    // a secret, and stays listed until its lease ends. Cause: nobody else would.
    secret.ensure(undefined, () => false);
    clock.advance(3_999);
    secret.ensure(undefined, () => false);
    expect(proposals).toEqual([]);
    clock.advance(1);
    secret.ensure(undefined, () => false);
    expect(proposals.length).toEqual(1);
  });
});
