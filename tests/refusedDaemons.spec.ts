/**
 * Changes at daemons that the store does not answer, with real daemons: in force within the bound, from the
 * acknowledgement to the last daemon.
 */
import { setTimeout as wait } from 'node:timers/promises';
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { StoreFault } from '../standIns/site/StoreFaults.js';
import { BETWEEN_VERSIONS_MILLISECONDS, ChangeDelays } from './ChangeDelays.js';

const VERSIONS = 8;

describe('changes of the configuration', () => {
  let delays: ChangeDelays;

  afterEach(() => delays.stop());

  function refuse(count: number, fault: StoreFault): void {
    const { site } = delays;
    const names = site.daemons.slice(0, count).map(({ settings }) => settings.name);
    site.store.faultFor({ fault, concerns: site.links?.comesFrom(names) ?? (() => false) });
  }

  async function changeEachSecond(versions: number): Promise<void> {
    for (let count = 0; count < versions; count += 1) {
      delays.change();
      await wait(BETWEEN_VERSIONS_MILLISECONDS);
    }
  }

  async function lateWhileRefused(
    daemons: number,
    refused: number,
    fault: StoreFault,
  ): Promise<string[]> {
    delays = await ChangeDelays.start(daemons);
    refuse(refused, fault);
    await changeEachSecond(VERSIONS);
    return delays.late();
  }

  const fleets = [
    { daemons: 6, refused: 5, fault: 'silent' },
    { daemons: 9, refused: 3, fault: 'silent' },
    { daemons: 9, refused: 7, fault: 'silent' },
    { daemons: 9, refused: 7, fault: 'busy' },
    { daemons: 9, refused: 7, fault: 'reset' },
    { daemons: 20, refused: 10, fault: 'silent' },
  ] as const;

  for (const { daemons, refused, fault } of fleets) {
    // Guards against daemons that the store refuses and that ask one other daemon after the other, whoever knows.
    it(`are in force at ${refused} of ${daemons} daemons that the store refuses (${fault})`, async () => {
      expect(await lateWhileRefused(daemons, refused, fault)).toEqual([]);
    });
  }

  // Guards against a daemon that nobody announces changes to once its entry has lapsed, since the store refuses it.
  it('are in force at daemons whose registration has lapsed while the store refuses them', async () => {
    delays = await ChangeDelays.start(9);
    refuse(7, 'silent');
    const { site } = delays;
    await site.until(() => site.daemons[8]?.daemon.knowledge.daemons.size === 2);
    await changeEachSecond(VERSIONS / 2);
    expect(await delays.late()).toEqual([]);
  });
});
