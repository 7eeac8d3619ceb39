/**
 * Runs a site under load while a runner crashes, a daemon is stopped as planned, another is killed, and the configuration
 * changes.
 */
import { Option } from 'clipanion';

import { EXIT_FAILURE, EXIT_SUCCESS, ProgramCommand } from '../src/commands/ProgramCommand.js';
import { wholeNumber } from '../src/commands/wholeNumber.js';
import { Findings } from '../src/findings/Findings.js';
import { runSiteLoad } from '../standIns/site/siteLoad.js';
import { siteConfiguration } from '../standIns/site/StandInSite.js';
import { DemoSite } from './DemoSite.js';

/** One daemon is stopped, one is killed, and one has to stay. */
const FEWEST_DAEMONS = 3;

/** More daemons do not fit into the memory of a usual machine. */
const MOST_DAEMONS = 100;

/** The directories are checked for the killed daemon until the end; its lease alone would end after nine seconds. */
const FEWEST_SECONDS = 10;

const MOST_SECONDS = 600;

/** Requests per second. */
const RATE = 40;

/** Times of the faults, as shares of the whole time. */
const RUNNER_CRASHES_AT = 0.2;
const DAEMON_STOPS_AT = 0.35;
const DAEMON_KILLED_AT = 0.6;
const CONFIGURATION_AT = 0.75;

/** A crash interrupts the requests in progress; a planned stop does not. */
const MINIMUM_SERVED_SHARE = 0.95;

/** Maximum time for which directories may list a killed daemon, in ms; see docs/PROMISES.md. */
const MAXIMUM_LISTED_MILLISECONDS = 3_000;

const MILLISECONDS_PER_SECOND = 1_000;

const OK = 200;

/** Runs the demo and checks the answers that callers received. */
export class SiteDemoCommand extends ProgramCommand {
  static override usage = ProgramCommand.Usage({
    description: 'play a site whose parts die',
    details: `
      Ends with success only where at least 95 % of the requests were served, and the killed daemon was out of the
      directory of all others within three seconds.
    `,
  });

  daemons = Option.String('--daemons', '3', {
    description: 'Daemons, 3 to 100; above 16 some of them coordinate the others.',
  });

  seconds = Option.String('--seconds', '10', { description: 'Length of the load, 10 to 600.' });

  override async execute(): Promise<number> {
    const findings = new Findings();
    const daemons = wholeNumber(
      { field: '--daemons', text: this.daemons, lowest: FEWEST_DAEMONS, highest: MOST_DAEMONS },
      findings,
    );
    const seconds = wholeNumber(
      { field: '--seconds', text: this.seconds, lowest: FEWEST_SECONDS, highest: MOST_SECONDS },
      findings,
    );
    this.complainOf(findings.list());
    if (findings.hasAny) return EXIT_FAILURE;
    const site = new DemoSite();
    try {
      await site.start(daemons);
      this.print(`${daemons} daemons are ready, and each names all of them`);
      return await this.play(site, seconds);
    } finally {
      await site.stop();
    }
  }

  private async play(demo: DemoSite, seconds: number): Promise<number> {
    const listed = this.scheduleFaults(demo, seconds);
    const addresses = () => demo.addresses;
    const result = await runSiteLoad({ addresses, rate: RATE, seconds });
    this.print(JSON.stringify(result));
    const share = (result.statuses[OK] ?? 0) / result.sent;
    const isServed = share >= MINIMUM_SERVED_SHARE;
    this.print(`${(share * 100).toFixed(1)} % served${isServed ? '' : ': too few'}`);
    const milliseconds = await listed;
    const isOut = milliseconds <= MAXIMUM_LISTED_MILLISECONDS;
    const verdict = isOut ? '' : `, and may be for ${MAXIMUM_LISTED_MILLISECONDS} ms at most`;
    this.print(`the directory named the killed daemon for ${milliseconds} ms${verdict}`);
    return isServed && isOut ? EXIT_SUCCESS : EXIT_FAILURE;
  }

  /** @returns Time until no directory lists the killed daemon any more, in ms. */
  private scheduleFaults(demo: DemoSite, seconds: number): Promise<number> {
    const { site } = demo;
    const length = seconds * MILLISECONDS_PER_SECOND;
    const at = (share: number, text: string, act: () => void) =>
      setTimeout(() => {
        this.print(text);
        act();
      }, share * length);
    at(RUNNER_CRASHES_AT, 'a runner dies', () => site.runners[0]?.stop());
    at(DAEMON_STOPS_AT, 'daemon-0 is stopped as planned', () => demo.remove(0).signal('SIGTERM'));
    at(CONFIGURATION_AT, 'the configuration changes', () => {
      site.store.write('op/config', siteConfiguration(2));
    });
    return new Promise((done) => {
      at(DAEMON_KILLED_AT, 'daemon-1 is killed', () => {
        const killed = demo.remove(1);
        killed.signal('SIGKILL');
        done(demo.millisecondsListed(killed, (1 - DAEMON_KILLED_AT) * length));
      });
    });
  }
}
