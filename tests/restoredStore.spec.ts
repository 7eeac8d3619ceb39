/**
 * A store that comes back from an older copy, with real daemons that follow it directly or by way of coordinators.
 */
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../src/callers/testFakes.js';
import { syncLogEvents } from '../src/sync/syncFeature.js';
import { callSite } from '../standIns/site/callSite.js';
import { fetchText } from '../standIns/site/SiteProcess.js';
import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { siteConfiguration, StandInSite } from '../standIns/site/StandInSite.js';
import type { SiteDaemon } from '../standIns/site/StandInSite.js';

/** Time within which a change has to be in force, from its acknowledgement, in ms. */
const BOUND_MILLISECONDS = 2_000;

/** Entries that the copy lacks are written again within this time, in ms. */
const RETURN_MILLISECONDS = 1_000;

const RUNNERS = 4;

const EXTRA_ROUTE = {
  name: 'extra',
  path_prefix: '/extra/',
  kind: 'idempotent',
  service: 'plain',
  max_attempts: 2,
};

for (const daemons of [6, 18]) {
  describe(`a store that comes back from an older copy, before ${daemons} daemons`, () => {
    let site: StandInSite;
    let log: MemoryLog;

    const revisionOf = ({ daemon }: SiteDaemon) => daemon.knowledge.revision;
    const readyAt = ({ daemon }: SiteDaemon) =>
      daemon.knowledge.runners.readyOf('plain').map(({ entry }) => entry.id);
    const runnerAt = (index: number) => site.runners[index] as SiteRunner;

    function write(index: number, state?: 'ready' | 'draining'): void {
      const runner = runnerAt(index);
      site.store.write(`servers/${runner.id}`, state && runner.entry(state));
    }

    /** Lets daemons read the store for a while. */
    function pause(milliseconds: number): Promise<void> {
      const until = performance.now() + milliseconds;
      return site.until(() => performance.now() > until);
    }

    /** Writes entries that say the same as before, until all daemons know them. */
    async function advance(writes: number): Promise<void> {
      const known = Math.max(...site.daemons.map(revisionOf)) + writes;
      for (let count = 0; count < writes; count += 1) write(0, 'ready');
      await site.until(() => site.daemons.every((daemon) => revisionOf(daemon) >= known));
    }

    /** @returns How many daemons do not satisfy the condition when all do, or at the end of the bound. */
    async function failingAfterBound(holds: (daemon: SiteDaemon) => boolean): Promise<number> {
      const failing = () => site.daemons.filter((daemon) => !holds(daemon)).length;
      const until = performance.now() + BOUND_MILLISECONDS;
      await site.until(() => failing() === 0 || performance.now() > until);
      return failing();
    }

    beforeEach(async () => {
      log = new MemoryLog();
      site = new StandInSite({ log, pollMilliseconds: 20, changeBoundMilliseconds: 1_000 });
      await site.start();
      for (let index = 0; index < RUNNERS; index += 1) {
        await site.addRunner({ id: `plain-${index}`, service: 'plain' });
      }
      for (let index = 0; index < daemons; index += 1) await site.addDaemon(`daemon-${index}`);
      const isKnownToAll = ({ daemon }: SiteDaemon) => daemon.knowledge.daemons.size === daemons;
      await site.until(() => site.daemons.every((one) => one.daemon.isReady && isKnownToAll(one)));
    });

    afterEach(() => site.stop());

    it('has nothing sent to a runner that drains while revisions are below the known ones', async () => {
      // Guards against daemons that ignore each full read because the store's revision has gone back.
      const copy = site.store.copy();
      await advance(20);
      site.store.restore(copy);
      await pause(RETURN_MILLISECONDS);
      write(1, 'draining');
      expect(await failingAfterBound((one) => !readyAt(one).includes('plain-1'))).toEqual(0);
      expect(log.fieldsOf(syncLogEvents.readOutdated)).toEqual([]);
      const restores = log.fieldsOf(syncLogEvents.storeRestored);
      expect(restores.map(({ epoch, knownEpoch }) => [epoch, knownEpoch])).toEqual(
        site.daemons.map(() => [2, 1]),
      );
      const metrics = await fetchText(
        site.daemons[0]?.settings.addresses.metrics ?? '',
        '/metrics',
      );
      expect(/store_epoch 2/u.test(metrics.text)).toEqual(true);
    });

    it('has a configuration in force that was written at a revision given out twice', async () => {
      // Guards against a watch that goes on after the known revision and skips what the store wrote below it.
      const copy = site.store.copy();
      await advance(3);
      site.store.restore(copy);
      site.store.write('op/config', siteConfiguration(9, { routes: [EXTRA_ROUTE] }));
      for (let count = 0; count < 20; count += 1) write(0, 'ready');
      const versionOf = ({ daemon }: SiteDaemon) => daemon.knowledge.routes?.configuration.version;
      expect(await failingAfterBound((one) => versionOf(one) === 9)).toEqual(0);
      const addresses = site.daemons.map(({ settings }) => settings.addresses.callers);
      const answers = await Promise.all(
        addresses.map((address) => callSite({ address, path: '/extra/1' })),
      );
      expect(answers.map(({ status }) => status)).toEqual(addresses.map(() => 200));
    });

    it('brings back no runner that had left, nor an older configuration', async () => {
      // Guards against requests to a runner that the copy lists as ready although it has said that it leaves, or is gone.
      const copy = site.store.copy();
      site.store.write('op/config', siteConfiguration(9, { routes: [EXTRA_ROUTE] }));
      write(1, 'draining');
      write(2);
      const isKnown = (one: SiteDaemon) => readyAt(one).join() === 'plain-0,plain-3';
      const versionAt = ({ daemon }: SiteDaemon) => daemon.knowledge.routes?.configuration.version;
      await site.until(() => site.daemons.every((one) => isKnown(one) && versionAt(one) === 9));
      site.store.restore(copy);
      const wrong = new Set<string>();
      const until = performance.now() + BOUND_MILLISECONDS;
      await site.until(() => {
        for (const one of site.daemons) {
          if (!isKnown(one)) wrong.add(`${one.settings.name}: ${readyAt(one).join()}`);
          if (versionAt(one) !== 9) wrong.add(`${one.settings.name}: ${versionAt(one)}`);
        }
        return performance.now() > until;
      });
      expect([...wrong]).toEqual([]);
    });

    it('loses no runner, no daemon and no evacuation that is written again', async () => {
      // Guards against a fleet that drops for seconds what the copy lacks, and against daemons that stay unregistered.
      const copy = site.store.copy();
      await site.addRunner({ id: 'plain-late', service: 'plain' });
      site.store.write('op/evacuate/there', {});
      await site.addDaemon('daemon-late');
      const whole = `${RUNNERS + 1} runners, ${daemons + 1} daemons, evacuated: there`;
      const contentOf = ({ daemon: { knowledge } }: SiteDaemon) =>
        `${knowledge.runners.size} runners, ${knowledge.daemons.size} daemons, evacuated: ${knowledge.evacuated.join()}`;
      await site.until(() => site.daemons.every((one) => contentOf(one) === whole));
      site.store.restore(copy);
      const restoredAt = performance.now();
      const incomplete = new Set<string>();
      await site.until(() => {
        const since = performance.now() - restoredAt;
        if (since > RETURN_MILLISECONDS) site.store.writeAgain();
        for (const one of site.daemons) {
          if (contentOf(one) === whole) continue;
          incomplete.add(`${one.settings.name}: ${contentOf(one)}`);
        }
        return since > 2 * BOUND_MILLISECONDS;
      });
      expect([...incomplete].join('; ')).toEqual('');
      expect(site.store.keys('daemons/').length).toEqual(daemons + 1);
    });

    it('is followed over two returns within a second', async () => {
      // Guards against a daemon that takes the second return for the first one.
      const copy = site.store.copy();
      await advance(20);
      site.store.restore(copy);
      await pause(300);
      for (let count = 0; count < 30; count += 1) write(0, 'ready');
      await pause(500);
      site.store.restore(copy);
      await pause(RETURN_MILLISECONDS);
      write(1, 'draining');
      expect(await failingAfterBound((one) => !readyAt(one).includes('plain-1'))).toEqual(0);
    });
  });
}
