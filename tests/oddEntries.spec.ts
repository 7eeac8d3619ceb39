/**
 * Odd entries among those of the runners, written by another client of the store, with real daemons in one process.
 */
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../src/callers/testFakes.js';
import { syncLogEvents } from '../src/sync/syncFeature.js';
import { callSite } from '../standIns/site/callSite.js';
import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { StandInSite } from '../standIns/site/StandInSite.js';

const DAEMONS = 2;

const CALLS = 30;

/** A fault may show as an entry that is never reported. */
const LIMITS = { timeout: 15_000 };

const OK = 200;

type Entry = Readonly<Record<string, unknown>>;

/** An entry under an id, made from the entry of a runner that serves. */
interface OddEntry {
  readonly name: string;
  readonly id?: string;
  readonly change?: Entry;
}

const ODD_ENTRIES: readonly OddEntry[] = [
  { name: 'an id with a line break', id: 'odd\r\nInjected: 1' },
  { name: 'an id with a NUL', id: 'odd\0' },
  { name: 'an id beyond Latin-1', id: 'odd-☃' },
  { name: 'an id with a lone surrogate', id: 'odd-\ud800' },
  { name: 'an id with a space at its end, which no header keeps', id: 'odd ' },
  { name: 'no id', id: '' },
  { name: 'an id that takes a datagram for itself', id: 'x'.repeat(100_000) },
  { name: 'an address to broadcast to', change: { address: '255.255.255.255:80' } },
  { name: 'a multicast address', change: { address: '224.0.0.1:80' } },
  { name: 'the unspecified address', change: { address: '0.0.0.0:80' } },
  { name: 'an address with a zone', change: { address: '[fe80::1%lo]:80' } },
  { name: 'a mapped address to broadcast to', change: { address: '[::ffff:255.255.255.255]:80' } },
  { name: 'a version that takes a datagram for itself', change: { version: 'v'.repeat(100_000) } },
  { name: 'a zone that takes a datagram for itself', change: { zone: 'z'.repeat(100_000) } },
  { name: 'a number of slots too large', change: { slots: Number.MAX_SAFE_INTEGER } },
  { name: 'a cold time too large', change: { cold_remaining_ms: 1e300 } },
];

describe('an odd entry among those of the runners', () => {
  let site: StandInSite;
  let log: MemoryLog;

  afterEach(() => site.stop());

  async function startSite(): Promise<SiteRunner> {
    log = new MemoryLog();
    site = new StandInSite({ log, changeBoundMilliseconds: 1_000 });
    await site.start();
    const runner = await site.addRunner({ id: 'plain-0', service: 'plain' });
    await site.addRunner({ id: 'plain-1', service: 'plain' });
    return runner;
  }

  async function startDaemons(): Promise<void> {
    for (let index = 0; index < DAEMONS; index += 1) await site.addDaemon(`daemon-${index}`);
    await site.untilConnected();
  }

  function write(runner: SiteRunner, { id = 'odd', change = {} }: OddEntry): string {
    site.store.write(`servers/${id}`, { ...runner.entry(), ...change });
    return id;
  }

  const isReported = (count: number) =>
    log.fieldsOf(syncLogEvents.factUnreadable).length >= count * DAEMONS;

  async function expectServed(): Promise<void> {
    for (let call = 0; call < CALLS; call += 1) {
      const address = site.daemons[call % DAEMONS]!.settings.addresses.callers;
      const { status } = await callSite({ address, path: '/write/x', body: `call ${call}` });
      expect(status).toEqual(OK);
    }
  }

  async function expectFollowed(): Promise<void> {
    await site.addRunner({ id: 'plain-2', service: 'plain' });
    await site.until(() =>
      site.daemons.every(({ daemon }) => daemon.knowledge.runners.get('plain-2') !== undefined),
    );
    expect(site.daemons.map(({ daemon }) => daemon.knowledge.runners.size)).toEqual([3, 3]);
  }

  async function expectHarmless(odd: OddEntry): Promise<void> {
    const runner = await startSite();
    await startDaemons();
    const id = write(runner, odd);
    const isKnown = () =>
      site.daemons.every(({ daemon }) => daemon.knowledge.runners.get(id) !== undefined);
    await site.until(() => isReported(1) || isKnown());
    await expectServed();
    await expectFollowed();
  }

  for (const odd of ODD_ENTRIES) {
    // Guards against an entry that passes the checks and fails the requests that are sent to it.
    const name = `names no runner to use, and the others serve: ${odd.name}`;
    it(name, LIMITS, () => expectHarmless(odd));
  }

  it('names no runner to use when all of them are there at the start', LIMITS, async () => {
    // Guards against a first read that fails as a whole.
    const runner = await startSite();
    ODD_ENTRIES.forEach((odd, index) => write(runner, { id: `odd-${index}`, ...odd }));
    await startDaemons();
    await site.until(() => isReported(ODD_ENTRIES.length));
    await expectServed();
    await expectFollowed();
  });

  it('is repaired by the runner whose own entry it was', LIMITS, async () => {
    // Guards against a runner that is given up because another writer has overwritten its entry.
    const runner = await startSite();
    await startDaemons();
    const states = () =>
      site.daemons.map(({ daemon }) => daemon.knowledge.runners.get(runner.id)?.entry.state);
    const areAll = (state: string) => () => states().every((one) => one === state);
    for (const change of [{ address: '255.255.255.255:80' }, { slots: 1e300 }]) {
      write(runner, { name: 'its own', id: runner.id, change });
      await site.until(areAll('unreadable'));
      await expectServed();
      write(runner, { name: 'as before', id: runner.id });
      await site.until(areAll('ready'));
    }
  });

  it('takes no place of a runner of which it names a life', LIMITS, async () => {
    // Guards against an id that equals the id and the start of another runner's life.
    const runner = await startSite();
    const born = 1_700_000_000_000;
    await startDaemons();
    write(runner, { name: 'its own', id: runner.id, change: { born } });
    await site.until(() =>
      site.daemons.every(({ daemon }) => daemon.knowledge.runners.ofLife(`${runner.id}@${born}`)),
    );
    write(runner, { name: 'a life', id: `${runner.id}@${born}`, change: { born: undefined } });
    await site.until(() => isReported(1));
    const ids = site.daemons.map(
      ({ daemon }) => daemon.knowledge.runners.ofLife(`${runner.id}@${born}`)?.entry.id,
    );
    expect(ids).toEqual([runner.id, runner.id]);
    await expectServed();
  });
});
