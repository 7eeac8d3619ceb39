/**
 * What a daemon that forwards directly costs, as built for the platform, before stand-ins on loopback.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { Agent } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as wait } from 'node:timers/promises';

import { buildDaemon } from '../../standIns/site/buildDaemon.js';
import { callSite } from '../../standIns/site/callSite.js';
import { SiteProcess } from '../../standIns/site/SiteProcess.js';
import { StandInSite } from '../../standIns/site/StandInSite.js';
import { processorMilliseconds } from './processorTime.js';

/** Options of {@link measureSite}. */
export interface SiteMeasurementOptions {
  /** Requests of each kind. */
  requests: number;
  /** Requests at once. */
  concurrency: number;
  /** How long the daemon is watched idle. */
  idleSeconds: number;
}

/** What came out. */
export interface SiteFigures {
  /** Of a core, with one daemon and a store that changes nothing. */
  readonly idleShare: number;
  readonly millisecondsPerCall: number;
  readonly millisecondsPerShortStream: number;
  readonly microsecondsPerEvent: number;
  /** Requests with a whole answer. */
  readonly served: number;
}

interface Phase {
  readonly path: string;
  readonly headers: Record<string, string>;
  /** Of each stream. */
  readonly events: number;
}

const RUNNERS = 4;
const SHORT_EVENTS = 5;
const LONG_EVENTS = 205;
const OK = 200;
const MILLISECONDS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

const CALL: Phase = { path: '/read/a', headers: {}, events: SHORT_EVENTS };
const CHAT_HEADERS = { 'Prompt-Prefix': 'a:2500,b:6000,c:500', Model: 'm' };
const SHORT_STREAM: Phase = { path: '/chat/', headers: CHAT_HEADERS, events: SHORT_EVENTS };
const LONG_STREAM: Phase = { ...SHORT_STREAM, events: LONG_EVENTS };

/** One daemon as built, before runners of its own. */
class MeasuredDaemon {
  private readonly site = new StandInSite();

  private process: SiteProcess | undefined;

  /**
   * @param folder - for its settings.
   * @param program - as built.
   */
  constructor(
    private readonly folder: string,
    private readonly program: readonly string[],
  ) {}

  async start(events: number): Promise<void> {
    await this.site.start();
    for (let index = 0; index < RUNNERS; index += 1) {
      await this.site.addRunner({ id: `plain-${index}`, service: 'plain' });
      await this.site.addRunner({ id: `engine-${index}`, service: 'engine', events });
    }
    const settings = await this.site.settingsOf('daemon-1');
    const { folder, program } = this;
    const daemon = new SiteProcess({ settings, folder, program });
    this.process = daemon;
    daemon.start();
    await this.site.until(() => daemon.isReady());
  }

  /** @returns Processor time so far, in ms. */
  spent(): number {
    return processorMilliseconds(this.process?.id ?? 0);
  }

  /** @returns How many of the requests were served. */
  async load({ path, headers }: Phase, { requests, concurrency }: SiteMeasurementOptions) {
    const address = this.process?.settings.addresses.callers ?? '';
    const agent = new Agent({ keepAlive: true, maxSockets: concurrency });
    let left = requests;
    let served = 0;
    const worker = async () => {
      while (left > 0) {
        left -= 1;
        const { status, isComplete } = await callSite({ address, path, headers, agent });
        if (status === OK && isComplete) served += 1;
      }
    };
    await Promise.all(Array.from({ length: concurrency }, worker));
    agent.destroy();
    return served;
  }

  async stop(): Promise<void> {
    await this.process?.kill();
    await this.site.stop();
  }
}

async function measurePhase(daemon: MeasuredDaemon, phase: Phase, options: SiteMeasurementOptions) {
  try {
    await daemon.start(phase.events);
    // The first requests run code that is not compiled yet; a daemon runs for weeks.
    await daemon.load(phase, options);
    const before = daemon.spent();
    const served = await daemon.load(phase, options);
    const milliseconds = (daemon.spent() - before) / options.requests;
    const idleBefore = daemon.spent();
    await wait(options.idleSeconds * MILLISECONDS_PER_SECOND);
    const idle = (daemon.spent() - idleBefore) / (options.idleSeconds * MILLISECONDS_PER_SECOND);
    return { milliseconds, served, idle };
  } finally {
    await daemon.stop();
  }
}

/**
 * @param options - how much load.
 * @returns Processor time by what is done.
 */
export async function measureSite(options: SiteMeasurementOptions): Promise<SiteFigures> {
  const folder = mkdtempSync(join(tmpdir(), 'baobabdock-'));
  try {
    const program = buildDaemon(folder);
    const measure = (phase: Phase) =>
      measurePhase(new MeasuredDaemon(folder, program), phase, options);
    const call = await measure(CALL);
    const short = await measure(SHORT_STREAM);
    const long = await measure(LONG_STREAM);
    const events = LONG_EVENTS - SHORT_EVENTS;
    const perEvent = (long.milliseconds - short.milliseconds) / events;
    return {
      idleShare: call.idle,
      millisecondsPerCall: call.milliseconds,
      millisecondsPerShortStream: short.milliseconds,
      microsecondsPerEvent: perEvent * MICROSECONDS_PER_MILLISECOND,
      served: call.served + short.served + long.served,
    };
  } finally {
    rmSync(folder, { recursive: true });
  }
}
