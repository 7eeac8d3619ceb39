/**
 * The small fleet that tests with real processes use.
 */
import { setImmediate as turn } from 'node:timers/promises';

import { CallerClient } from '../standIns/callers/CallerClient.js';
import type { DaemonProcess, RunnerProcess } from '../standIns/fleet/FleetProcesses.js';
import { FleetProcesses } from '../standIns/fleet/FleetProcesses.js';
import type { TwoFirms } from '../standIns/fleet/twoFirms.js';
import { startTwoFirms } from '../standIns/fleet/twoFirms.js';
import { ManyChats } from './ManyChats.js';

const PATIENCE_MILLISECONDS = 60_000;

/** The account that asks chats. */
export const SHOWROOM = 'litoral-showroom-centro';

/** The account that confirms handovers. */
export const AGENT = 'kutiya-agent-varna';

const MODEL = 'tile-sales';

/** At 4 ms a token an answer takes several seconds, so that faults meet streams that are open. */
const TOKENS = 1000;

/**
 * Waits for a condition.
 *
 * @param condition - checked at intervals.
 * @throws Error with the condition's text if it does not hold in time.
 */
export async function until(condition: () => boolean | Promise<boolean>): Promise<void> {
  const endsAt = performance.now() + PATIENCE_MILLISECONDS;
  while (!(await condition())) {
    if (performance.now() > endsAt) throw new Error(`This never came: ${condition.toString()}`);
    await turn();
  }
}

/** Both firms' processes, with what tests do to them. */
export class FleetUnderTest {
  readonly fleet = new FleetProcesses();

  private started: TwoFirms | undefined;

  /** Starts everything. */
  async start(): Promise<void> {
    this.started = await startTwoFirms(this.fleet);
  }

  /** Kills everything that was started. */
  stop(): Promise<void> {
    return this.fleet.stop();
  }

  /** @returns Addresses of the daemons that run. */
  entries(): string[] {
    return this.fleet.runningDaemons().map(({ callerAddress }) => callerAddress);
  }

  /**
   * @param account - the client account.
   * @param entries - addresses of daemons.
   * @returns A caller.
   */
  caller(account: string, entries: readonly string[] = this.entries()): CallerClient {
    return new CallerClient({ entries, key: this.firms.keys[account]! });
  }

  /**
   * @param entries - addresses of daemons, read again for each call.
   * @returns A load of long streams.
   */
  chats(entries: () => readonly string[] = () => this.entries()): ManyChats {
    return new ManyChats({
      entries,
      key: this.firms.keys[SHOWROOM]!,
      model: MODEL,
      tokens: TOKENS,
    });
  }

  /**
   * @param dataCentre - its data centre.
   * @returns The running daemon of that data centre.
   */
  daemonOf(dataCentre: string): DaemonProcess {
    return this.fleet.runningDaemons().find(({ id }) => id === `daemon-${dataCentre}`)!;
  }

  /**
   * @param id - the runner's id.
   * @returns The runner.
   */
  runner(id: string): RunnerProcess {
    return this.firms.runners.find((runner) => runner.id === id)!;
  }

  /**
   * Restarts a daemon under its name.
   *
   * @param daemon - a daemon that has ended.
   * @returns The new process.
   */
  restart(daemon: DaemonProcess): Promise<DaemonProcess> {
    const dataCentre = daemon.id.replace('daemon-', '');
    const region = dataCentre.split('-')[0]!;
    const firm = region === 'rosario' ? 'litoral' : 'kutiya-punkt';
    return this.fleet.startDaemon({ id: daemon.id, firm, region, dataCentre });
  }

  private get firms(): TwoFirms {
    if (!this.started) throw new Error('Start the fleet first.');
    return this.started;
  }
}
