/**
 * Fetches a newer configuration from the daemons that are known to have it, or from the store where they fail.
 *
 * A daemon that learns from a broadcast that the store has reached some revision reads only later changes from then on. A
 * configuration that was written before that revision would never be in force there, so it is fetched until it is known.
 */
import type { Log } from '../logging/Log.js';
import type { RoutingConfiguration } from '../routes/routeTypes.js';
import { configurationVersionOf } from '../sync/configurationVersionOf.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { FleetStore } from '../sync/FleetStore.js';
import { startHedged } from '../sync/startHedged.js';
import { syncLogEvents } from '../sync/syncFeature.js';
import type { Clock } from '../time/Clock.js';

/** Fetches the configuration of another daemon; `onResponse` is called when the response begins. */
export type FetchConfiguration = (
  peerAddress: string,
  onResponse?: () => void,
) => Promise<RoutingConfiguration>;

/** Options of a {@link ConfigurationFetcher}. */
export interface ConfigurationFetcherOptions {
  knowledge: FleetKnowledge;
  store: Pick<FleetStore, 'readConfiguration'>;
  clock: Clock;
  log: Log;
  fetchConfiguration: FetchConfiguration;
  /** Shortest time between two runs, in ms: versions may change faster than is worth following. */
  intervalMilliseconds: number;
  /** Schedules a call after a delay in ms. */
  later: (call: () => void, milliseconds: number) => unknown;
}

/** Time without a response after which the next daemon is asked as well, in ms. */
const HEDGE_MILLISECONDS = 250;

/** Longest time between two runs that found nothing newer, as a multiple of the shortest one. */
const LONGEST_RETRY = 8;

/** Owns the requests for configurations. */
export class ConfigurationFetcher {
  private readonly options: ConfigurationFetcherOptions;

  /** The version that each daemon has told last, by its name; the latest one comes last. */
  private readonly told = new Map<string, number>();

  private isFetching = false;

  private isScheduled = false;

  private startedAt = Number.NEGATIVE_INFINITY;

  private failedRuns = 0;

  /**
   * @param options - the knowledge to update, the store and the other daemons.
   */
  constructor(options: ConfigurationFetcherOptions) {
    this.options = options;
  }

  /**
   * Records which version another daemon has, and fetches it if it is newer.
   *
   * @param daemon - the daemon's name.
   * @param version - of its configuration.
   */
  handleTold(daemon: string, version: number): void {
    if (version > this.wantedVersion) this.failedRuns = 0;
    this.told.delete(daemon);
    if (version > this.knownVersion) this.told.set(daemon, version);
    this.follow();
  }

  /** Fetches the newest version that any daemon is known to have, unless it is in force here. */
  follow(): void {
    if (this.isFetching || this.wantedVersion <= this.knownVersion) return;
    const { clock } = this.options;
    const now = clock.monotonicMilliseconds();
    const dueAt = this.startedAt + this.pauseMilliseconds;
    if (now < dueAt) {
      this.followLater(dueAt - now);
      return;
    }
    this.startedAt = now;
    this.isFetching = true;
    void this.fetch().finally(() => {
      this.isFetching = false;
      const isFound = this.wantedVersion <= this.knownVersion;
      this.failedRuns = isFound ? 0 : this.failedRuns + 1;
      this.follow();
    });
  }

  private get knownVersion(): number {
    return configurationVersionOf(this.options.knowledge);
  }

  private get wantedVersion(): number {
    return Math.max(this.options.knowledge.toldVersion, ...this.told.values());
  }

  private get pauseMilliseconds(): number {
    return this.options.intervalMilliseconds * Math.min(LONGEST_RETRY, 2 ** this.failedRuns);
  }

  private followLater(milliseconds: number): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.options.later(() => {
      this.isScheduled = false;
      this.follow();
    }, milliseconds);
  }

  /** Asks the daemons that have told a newer version, the latest first; the next one also if a response is slow. */
  private async fetch(): Promise<void> {
    const known = this.knownVersion;
    const newer = [...this.told].filter(([, version]) => version > known);
    const requests: Promise<boolean>[] = [];
    for (const [daemon] of newer.reverse()) {
      const { outcome, settledOrSlow } = startHedged({
        send: (onResponse) => this.fetchFrom(daemon, onResponse),
        slowMilliseconds: HEDGE_MILLISECONDS,
        later: this.options.later,
      });
      requests.push(outcome);
      if ((await settledOrSlow) === true) return;
    }
    const results = await Promise.all(requests);
    if (!results.includes(true)) await this.readFromStore();
  }

  private async fetchFrom(daemon: string, onResponse: () => void): Promise<boolean> {
    const { knowledge, log, fetchConfiguration } = this.options;
    const address = knowledge.daemons.get(daemon)?.peerAddress;
    try {
      if (address === undefined)
        throw new Error('the daemon that announced the configuration is not listed');
      knowledge.applyConfiguration(await fetchConfiguration(address, onResponse));
      return true;
    } catch (error) {
      this.told.delete(daemon);
      log.write(syncLogEvents.peerFailed, { address, error: (error as Error).message });
      return false;
    }
  }

  private async readFromStore(): Promise<void> {
    const { knowledge, log, store } = this.options;
    try {
      const configuration = await store.readConfiguration();
      if (configuration) knowledge.applyConfiguration(configuration);
    } catch (error) {
      const fields = { error: (error as Error).message, during: 'configuration' };
      log.write(syncLogEvents.storeLost, fields);
    }
  }
}
