/**
 * A site on a platform in half a minute: daemons as processes before stand-ins of a store and of runners. Under
 * load a runner dies, a daemon is stopped as planned, another is killed, and the configuration changes.
 * `npm run demo:site`.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { runSiteLoad } from '../standIns/site/siteLoad.js';
import { fetchText, SiteProcess } from '../standIns/site/SiteProcess.js';
import { siteConfiguration, StandInSite } from '../standIns/site/StandInSite.js';

const DAEMONS = 3;
const RUNNERS_A_SERVICE = 4;
const RATE = 40;
const SECONDS = 10;

/** When the troubles come, in ms after the load begins. */
const RUNNER_DIES_AT = 2_000;
const DAEMON_STOPS_AT = 3_500;
const DAEMON_KILLED_AT = 6_000;
const CONFIGURATION_AT = 7_500;

/** Between questions to the directory, in ms. */
const RESOLVE_MILLISECONDS = 200;

/** What dies in the middle of requests costs some of them; planned work costs none. */
const MINIMUM_SERVED_SHARE = 0.95;

const OK = 200;

function tell(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function startDaemon(site: StandInSite, name: string, folder: string): Promise<SiteProcess> {
  const settings = await site.settingsOf(name);
  const daemon = new SiteProcess({ settings, folder });
  daemon.start();
  await site.until(() => daemon.isReady());
  tell(`${name} is ready at ${settings.addresses.callers}`);
  return daemon;
}

/** Keeps asking the daemons where to connect, as callers do. */
class Directory {
  addresses: readonly string[] = [];

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly daemons: readonly SiteProcess[]) {
    this.timer = setInterval(() => {
      void this.ask();
    }, RESOLVE_MILLISECONDS);
  }

  async ask(): Promise<void> {
    for (const { settings } of this.daemons) {
      const path = '/v1/resolve?name=site.example&zone=here';
      const answer = await fetchText(settings.addresses.directory, path);
      if (answer.status === OK) {
        this.addresses = (JSON.parse(answer.text) as { addresses: string[] }).addresses;
        return;
      }
    }
  }

  close(): void {
    clearInterval(this.timer);
  }
}

function plan(site: StandInSite, daemons: readonly SiteProcess[]): void {
  const steps: readonly [number, string, () => unknown][] = [
    [RUNNER_DIES_AT, 'a runner dies', () => site.runners[0]?.stop()],
    [DAEMON_STOPS_AT, 'daemon-0 is stopped as planned', () => daemons[0]?.signal('SIGTERM')],
    [DAEMON_KILLED_AT, 'daemon-1 is killed', () => daemons[1]?.signal('SIGKILL')],
    [
      CONFIGURATION_AT,
      'the configuration changes',
      () => site.store.write('op/config', siteConfiguration(2)),
    ],
  ];
  for (const [at, text, act] of steps) {
    setTimeout(() => {
      tell(text);
      act();
    }, at);
  }
}

async function main(): Promise<number> {
  const site = new StandInSite();
  const folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));
  const daemons: SiteProcess[] = [];
  await site.start();
  try {
    for (let index = 0; index < RUNNERS_A_SERVICE; index += 1) {
      await site.addRunner({ id: `plain-${index}`, service: 'plain', workMilliseconds: 15 });
      await site.addRunner({ id: `engine-${index}`, service: 'engine', eventMilliseconds: 20 });
    }
    for (let index = 0; index < DAEMONS; index += 1) {
      daemons.push(await startDaemon(site, `daemon-${index}`, folder));
    }
    const directory = new Directory(daemons);
    await directory.ask();
    plan(site, daemons);
    const result = await runSiteLoad({
      addresses: () => directory.addresses,
      rate: RATE,
      seconds: SECONDS,
    });
    directory.close();
    tell(JSON.stringify(result));
    const share = (result.statuses[OK] ?? 0) / result.sent;
    tell(`${(share * 100).toFixed(1)} % served`);
    return share >= MINIMUM_SERVED_SHARE ? 0 : 1;
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.kill()));
    await site.stop();
    rmSync(folder, { recursive: true });
  }
}

process.exitCode = await main();
