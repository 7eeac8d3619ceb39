/**
 * Changes at daemons that the store does not answer, with real daemons: in force within the bound, from the
 * acknowledgement to the last daemon.
 */
import { setTimeout as wait } from 'node:timers/promises';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { siteConfiguration, StandInSite } from '../standIns/site/StandInSite.js';
import type { SiteDaemon } from '../standIns/site/StandInSite.js';
import type { StoreFault } from '../standIns/site/StoreStandIn.js';

/** Time within which a change has to be in force, from its acknowledgement, in ms. */
const BOUND_MILLISECONDS = 2_000;

const RUNNERS = 8;

/** Interval at which each runner renews its entry, in ms. */
const HEARTBEAT_MILLISECONDS = 1_200;

const BETWEEN_VERSIONS_MILLISECONDS = 1_000;

const VERSIONS = 8;

const BETWEEN_RETURNS_MILLISECONDS = 700;

/** How long before its return from a silence the store takes a new version, in ms. */
const WRITTEN_BEFORE_RETURN_MILLISECONDS = 100;

/** A version, and how long it took each daemon to have it in force. */
interface Change {
  readonly version: number;
  readonly acknowledgedAt: number;
  readonly delays: Map<string, number>;
}

describe('changes of the configuration', () => {
  let site: StandInSite;
  let heartbeats: NodeJS.Timeout;
  let looks: NodeJS.Timeout;
  let changes: Change[];
  let version: number;

  function look(): void {
    const now = performance.now();
    for (const { settings, daemon } of site.daemons) {
      const known = daemon.knowledge.routes?.configuration.version ?? 0;
      for (const { version: wanted, acknowledgedAt, delays } of changes) {
        if (known >= wanted && !delays.has(settings.name))
          delays.set(settings.name, Math.round(now - acknowledgedAt));
      }
    }
  }

  async function start(daemons: number): Promise<void> {
    site = new StandInSite({
      pollMilliseconds: 20,
      changeBoundMilliseconds: BOUND_MILLISECONDS,
      hasLinks: true,
    });
    await site.start();
    for (let index = 0; index < RUNNERS; index += 1)
      await site.addRunner({ id: `plain-${index}`, service: 'plain' });
    for (let index = 0; index < daemons; index += 1) await site.addDaemon(`daemon-${index}`);
    let beats = 0;
    heartbeats = setInterval(() => {
      const runner = site.runners[beats % RUNNERS] as SiteRunner;
      beats += 1;
      site.store.write(`servers/${runner.id}`, runner.entry());
    }, HEARTBEAT_MILLISECONDS / RUNNERS);
    looks = setInterval(look, 5);
    await site.untilConnected();
  }

  beforeEach(() => {
    changes = [];
    version = 1;
  });

  afterEach(async () => {
    clearInterval(heartbeats);
    clearInterval(looks);
    await site.stop();
  });

  function change(): void {
    version += 1;
    site.store.write('op/config', siteConfiguration(version));
    changes.push({ version, acknowledgedAt: performance.now(), delays: new Map() });
  }

  /** @returns Daemons that had a version in force too late, or not at all, with the delays in ms. */
  async function late(of: (daemon: SiteDaemon) => boolean = () => true): Promise<string[]> {
    await wait(BOUND_MILLISECONDS);
    look();
    return changes.flatMap(({ version: number, delays }) =>
      site.daemons.filter(of).flatMap(({ settings: { name } }) => {
        const delay = delays.get(name) ?? Number.POSITIVE_INFINITY;
        return delay > BOUND_MILLISECONDS ? [`${name}, version ${number}: ${delay}`] : [];
      }),
    );
  }

  function refuse(count: number, fault: StoreFault): void {
    const names = site.daemons.slice(0, count).map(({ settings }) => settings.name);
    site.store.faultFor({ fault, concerns: site.links?.comesFrom(names) ?? (() => false) });
  }

  /** The time in which the version has to be in force runs from the return of the store. */
  async function changeInSilence(milliseconds: number): Promise<void> {
    site.store.faultFor({ fault: 'silent' });
    await wait(milliseconds - WRITTEN_BEFORE_RETURN_MILLISECONDS);
    version += 1;
    site.store.write('op/config', siteConfiguration(version));
    await wait(WRITTEN_BEFORE_RETURN_MILLISECONDS);
    site.store.faultFor({ fault: 'none' });
    changes.push({ version, acknowledgedAt: performance.now(), delays: new Map() });
  }

  async function changeAfterTwoReturns(): Promise<void> {
    const copy = site.store.copy();
    await wait(BETWEEN_VERSIONS_MILLISECONDS);
    site.store.restore(copy);
    await wait(BETWEEN_RETURNS_MILLISECONDS);
    site.store.restore(copy);
    change();
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
      await start(daemons);
      refuse(refused, fault);
      for (let count = 0; count < VERSIONS; count += 1) {
        change();
        await wait(BETWEEN_VERSIONS_MILLISECONDS);
      }
      expect(await late()).toEqual([]);
    });
  }

  // Guards against a daemon that nobody announces changes to once its entry has lapsed, since the store refuses it.
  it('are in force at daemons whose registration has lapsed while the store refuses them', async () => {
    await start(9);
    refuse(7, 'silent');
    const isLapsed = () => site.daemons[8]?.daemon.knowledge.daemons.size === 2;
    await site.until(isLapsed);
    for (let count = 0; count < VERSIONS / 2; count += 1) {
      change();
      await wait(BETWEEN_VERSIONS_MILLISECONDS);
    }
    expect(await late()).toEqual([]);
  });

  for (const daemons of [6, 20]) {
    // Guards against daemons that are still following the first return of a store when it returns again.
    it(`are in force at ${daemons} daemons after two returns from an older copy within a second`, async () => {
      await start(daemons);
      for (let count = 0; count < 3; count += 1) {
        await changeAfterTwoReturns();
        await wait(BOUND_MILLISECONDS + 500);
      }
      expect(await late()).toEqual([]);
    });
  }

  for (const daemons of [9, 20]) {
    // Guards against daemons that wait for the answer to a call sent into a silence although the store answers again.
    it(`are in force at ${daemons} daemons after a silence of the store`, async () => {
      await start(daemons);
      for (const milliseconds of [500, 1_100, 1_700, 2_300, 3_500]) {
        await changeInSilence(milliseconds);
        await wait(BOUND_MILLISECONDS + 500);
      }
      expect(await late()).toEqual([]);
    });
  }
});
