/**
 * A built daemon on a small machine, beside one client whose prompts have many parts, each request inside the limits.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, afterEach, before, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { clientsSettings } from '../src/clients/clientsFeature.js';
import { peakMemoryOf } from '../standIns/clients/processUse.js';
import { buildDaemon } from '../standIns/site/buildDaemon.js';
import { callSite } from '../standIns/site/callSite.js';
import { SiteProcess } from '../standIns/site/SiteProcess.js';
import { siteConfiguration, StandInSite } from '../standIns/site/StandInSite.js';

const MEBIBYTE = 1_048_576;

/** Limit of the machine of each process. */
const MEMORY_BYTES = 160 * MEBIBYTE;

const HEADER_BYTES = 16_384;

const REQUESTS = 60;

/** Odd, so that different numbers give different ids. */
const SPREAD = 2_654_435_761n;

/** Prompts of one client: the number of their parts, and the digits of an id. */
const PROMPTS = [
  { parts: 1_400, digits: 8 },
  { parts: 2_300, digits: 4 },
  { parts: 3, digits: 5_000 },
  { parts: 300, digits: 40 },
];

describe('Prompts of many parts', () => {
  let folder: string;
  let program: string[];
  let site: StandInSite;
  let daemons: SiteProcess[];
  let lastPart: bigint;

  function nextPart(digits: number): string {
    lastPart += 1n;
    const id = BigInt.asUintN(32, lastPart * SPREAD).toString(16);
    return `${id.slice(-digits).padStart(digits, '0')}:2`;
  }

  async function sendPrompt(address: string, parts: number, digits: number): Promise<number> {
    const prompt = Array.from({ length: parts }, () => nextPart(digits)).join();
    const headers = { Model: 'm', 'Token-Usage': '2800,4', 'Prompt-Prefix': prompt };
    const { status } = await callSite({ address, path: '/chat/x', headers });
    return status;
  }

  async function expectServing({ id, settings }: SiteProcess): Promise<string> {
    const { status } = await callSite({ address: settings.addresses.callers, path: '/read/a' });
    expect(status).toEqual(200);
    const memory = peakMemoryOf(id);
    expect(memory).toBeLessThan(MEMORY_BYTES);
    return `${Math.round(memory / MEBIBYTE)} MiB`;
  }

  before(() => {
    folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));
    program = buildDaemon(folder);
  });

  after(() => rmSync(folder, { recursive: true }));

  beforeEach(async () => {
    lastPart = 0n;
    site = new StandInSite();
    await site.start();
    const configuration = siteConfiguration(2) as { limits: object };
    const limits = { ...configuration.limits, max_header_bytes: HEADER_BYTES };
    site.store.write('op/config', { ...configuration, limits });
    for (const id of ['engine-1', 'engine-2']) await site.addRunner({ id, service: 'engine' });
    await site.addRunner({ id: 'plain-1', service: 'plain' });
    const clients = { ...clientsSettings.parse({}), memoryMegabytes: MEMORY_BYTES / MEBIBYTE };
    const start = async (name: string) => {
      const settings = { ...(await site.settingsOf(name)), clients };
      const daemon = new SiteProcess({ settings, folder, program });
      daemon.start();
      await site.until(() => daemon.isReady());
      return daemon;
    };
    daemons = [await start('daemon-1'), await start('daemon-2')];
  });

  afterEach(async () => {
    for (const daemon of daemons) await daemon.kill();
    await site.stop();
  });

  function itBears({ parts, digits }: (typeof PROMPTS)[number]): void {
    // Guards against a process that ends, or takes more than its machine has, for the parts of prompts.
    it(`do not end a daemon: ${parts} parts of ${digits} digits`, async (test) => {
      const [first, second] = daemons.map(({ settings }) => settings.addresses.callers);
      for (let sent = 0; sent < REQUESTS; sent += 1) {
        const address = (sent % 4 === 3 ? second : first) ?? '';
        expect(await sendPrompt(address, parts, digits)).toEqual(200);
      }
      for (const daemon of daemons) test.diagnostic(await expectServing(daemon));
    });
  }

  for (const prompts of PROMPTS) itBears(prompts);
});
