/**
 * Keeps in the store where shared prompts are cached.
 *
 * What goes wrong without it: after a loss of power all daemons start knowing nothing, place prompts by hashing
 * over the runners that are there now, and most land on runners that have to read them. One would see slow
 * first answers after each return although the runners' caches are full. One daemon of the fleet writes what
 * it knows now and then; who starts reads it with everything else.
 */
import type { Log } from '../logging/Log.js';
import type { WarmPlaces } from '../runners/WarmPlaces.js';
import type { FleetStore } from './FleetStore.js';
import { syncLogEvents } from './syncFeature.js';

/** Options of a {@link WarmPlacesKeeper}. */
export interface WarmPlacesKeeperOptions {
  store: FleetStore;
  warmPlaces: WarmPlaces;
  log: Log;
  /** This daemon's name. */
  name: string;
  /** Names of the daemons that know all warm places. */
  daemons: () => Iterable<string>;
}

/** Between writes, in ms: a prompt that is newer than this is read once more after a loss of all daemons. */
const INTERVAL_MILLISECONDS = 3_000;

/** About 60 kB; the prompts of the last minutes on a large site. */
const MAXIMUM_KEYS = 2_000;

/** Owns the timer. */
export class WarmPlacesKeeper {
  private readonly options: WarmPlacesKeeperOptions;

  private timer: NodeJS.Timeout | undefined;

  private lastText = '';

  /**
   * @param options - what is kept, and where.
   */
  constructor(options: WarmPlacesKeeperOptions) {
    this.options = options;
  }

  /** Writes now and then from now on. */
  start(): void {
    this.timer = setInterval(() => {
      void this.keep();
    }, INTERVAL_MILLISECONDS);
  }

  /** Writes no more. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Two daemons that both take themselves for the first write the same; the last write wins. */
  private isFirst(): boolean {
    const { name, daemons } = this.options;
    const names = [...daemons()];
    return names.includes(name) && names.every((other) => name <= other);
  }

  private async keep(): Promise<void> {
    const { store, warmPlaces, log } = this.options;
    if (!this.isFirst()) return;
    const places = warmPlaces.export(MAXIMUM_KEYS);
    // The order of last use changes with every request and is no reason to write.
    const text = places
      .map(({ key, lives }) => `${key}=${lives.join()}`)
      .sort()
      .join(';');
    if (text === this.lastText) return;
    try {
      await store.saveWarmPlaces(places);
      this.lastText = text;
    } catch (error) {
      const fields = { during: 'warm_places', error: (error as Error).message };
      log.write(syncLogEvents.registrationFailed, fields);
    }
  }
}
