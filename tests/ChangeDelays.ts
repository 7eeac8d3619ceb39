/**
 * Measures how long versions of the configuration take from their acknowledgement to each of several real daemons.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { SiteRunner } from '../standIns/site/SiteRunner.js';
import { siteConfiguration, StandInSite } from '../standIns/site/StandInSite.js';

/** Time within which a change has to be in force, from its acknowledgement, in ms. */
export const BOUND_MILLISECONDS = 2_000;

/** Interval between two versions, in ms. */
export const BETWEEN_VERSIONS_MILLISECONDS = 1_000;

const RUNNERS = 8;

/** Interval at which each runner renews its entry, in ms. */
const HEARTBEAT_MILLISECONDS = 1_200;

const LOOK_MILLISECONDS = 5;

/** A version, and how long it took each daemon to have it in force. */
interface Change {
  readonly version: number;
  readonly acknowledgedAt: number;
  readonly delays: Map<string, number>;
}

/** Owns a site whose runners renew their entries all the time. */
export class ChangeDelays {
  readonly site = new StandInSite({
    pollMilliseconds: 20,
    changeBoundMilliseconds: BOUND_MILLISECONDS,
    hasLinks: true,
  });

  private readonly changes: Change[] = [];

  private readonly timers: NodeJS.Timeout[] = [];

  private version = 1;

  /**
   * @param daemons - number of daemons.
   * @returns The measurement, once all daemons are ready and know each other.
   */
  static async start(daemons: number): Promise<ChangeDelays> {
    const delays = new ChangeDelays();
    const { site } = delays;
    await site.start();
    for (let index = 0; index < RUNNERS; index += 1)
      await site.addRunner({ id: `plain-${index}`, service: 'plain' });
    for (let index = 0; index < daemons; index += 1) await site.addDaemon(`daemon-${index}`);
    let beats = 0;
    const beat = () => {
      const runner = site.runners[beats % RUNNERS] as SiteRunner;
      beats += 1;
      site.store.write(`servers/${runner.id}`, runner.entry());
    };
    delays.timers.push(setInterval(beat, HEARTBEAT_MILLISECONDS / RUNNERS));
    delays.timers.push(setInterval(() => delays.look(), LOOK_MILLISECONDS));
    await site.untilConnected();
    return delays;
  }

  /** Stops all parts. */
  async stop(): Promise<void> {
    this.timers.forEach((timer) => clearInterval(timer));
    await this.site.stop();
  }

  /** Writes a new version. */
  write(): void {
    this.version += 1;
    this.site.store.write('op/config', siteConfiguration(this.version));
  }

  /** Starts the time in which the written version has to be in force. */
  startBound(): void {
    const { version } = this;
    this.changes.push({ version, acknowledgedAt: performance.now(), delays: new Map() });
  }

  /** Writes a new version, which has to be in force from now on in time. */
  change(): void {
    this.write();
    this.startBound();
  }

  /** @returns Daemons that had a version in force too late, or not at all, with the delays in ms. */
  async late(): Promise<string[]> {
    await wait(BOUND_MILLISECONDS);
    this.look();
    return this.changes.flatMap(({ version, delays }) =>
      this.site.daemons.flatMap(({ settings: { name } }) => {
        const delay = delays.get(name) ?? Number.POSITIVE_INFINITY;
        return delay > BOUND_MILLISECONDS ? [`${name}, version ${version}: ${delay}`] : [];
      }),
    );
  }

  private look(): void {
    const now = performance.now();
    for (const { settings, daemon } of this.site.daemons) {
      const known = daemon.knowledge.routes?.configuration.version ?? 0;
      for (const { version, acknowledgedAt, delays } of this.changes) {
        if (known >= version && !delays.has(settings.name))
          delays.set(settings.name, Math.round(now - acknowledgedAt));
      }
    }
  }
}
