/**
 * Changes after a silence of the store, or its return from an older copy, with real daemons: in force within the bound at
 * the last daemon.
 */
import { setTimeout as wait } from 'node:timers/promises';
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { BETWEEN_VERSIONS_MILLISECONDS, BOUND_MILLISECONDS, ChangeDelays } from './ChangeDelays.js';

const BETWEEN_RETURNS_MILLISECONDS = 700;

/** How long before its return from a silence the store takes a new version, in ms. */
const WRITTEN_BEFORE_RETURN_MILLISECONDS = 100;

describe('changes of the configuration after a return of the store', () => {
  let delays: ChangeDelays;

  afterEach(() => delays.stop());

  /** The time in which the version has to be in force runs from the return of the store. */
  async function changeInSilence(milliseconds: number): Promise<void> {
    const { store } = delays.site;
    store.faultFor({ fault: 'silent' });
    await wait(milliseconds - WRITTEN_BEFORE_RETURN_MILLISECONDS);
    delays.write();
    await wait(WRITTEN_BEFORE_RETURN_MILLISECONDS);
    store.faultFor({ fault: 'none' });
    delays.startBound();
  }

  async function changeAfterTwoReturns(): Promise<void> {
    const { store } = delays.site;
    const copy = store.copy();
    await wait(BETWEEN_VERSIONS_MILLISECONDS);
    store.restore(copy);
    await wait(BETWEEN_RETURNS_MILLISECONDS);
    store.restore(copy);
    delays.change();
  }

  async function lateAfterTwoReturns(daemons: number): Promise<string[]> {
    delays = await ChangeDelays.start(daemons);
    for (let count = 0; count < 3; count += 1) {
      await changeAfterTwoReturns();
      await wait(BOUND_MILLISECONDS + 500);
    }
    return delays.late();
  }

  async function lateAfterSilences(daemons: number): Promise<string[]> {
    delays = await ChangeDelays.start(daemons);
    for (const milliseconds of [500, 1_100, 1_700, 2_300, 3_500]) {
      await changeInSilence(milliseconds);
      await wait(BOUND_MILLISECONDS + 500);
    }
    return delays.late();
  }

  for (const daemons of [6, 20]) {
    // Guards against daemons that are still following the first return of a store when it returns again.
    it(`are in force at ${daemons} daemons after two returns from an older copy within a second`, async () => {
      expect(await lateAfterTwoReturns(daemons)).toEqual([]);
    });
  }

  for (const daemons of [9, 20]) {
    // Guards against daemons that wait for the answer to a call sent into a silence although the store answers again.
    it(`are in force at ${daemons} daemons after a silence of the store`, async () => {
      expect(await lateAfterSilences(daemons)).toEqual([]);
    });
  }
});
