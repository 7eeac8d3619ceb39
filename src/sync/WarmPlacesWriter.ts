/**
 * Saves to the store on which runners shared prompts are cached (the "warm places").
 *
 * After a power failure all daemons start without this information. Without a saved copy they would place prompts by
 * hashing over the runners that are present, and most prompts would reach runners that have to process them again:
 * first answers would be slow after each such restart although the runners' caches are full. One daemon of the fleet
 * writes what it knows at intervals, and a daemon that starts reads it with the rest of the store.
 */
import type { Log } from '../logging/Log.js';
import type { WarmPlaces } from '../runners/WarmPlaces.js';
import type { FleetStore } from './FleetStore.js';
import { syncLogEvents } from './syncFeature.js';

/** Options of a {@link WarmPlacesWriter}. */
export interface WarmPlacesWriterOptions {
  store: FleetStore;
  warmPlaces: WarmPlaces;
  log: Log;
  /** This daemon's name. */
  name: string;
  /** Names of the daemons that know all warm places. */
  daemons: () => Iterable<string>;
}

/** Interval between writes, in ms. After a loss of all daemons, prompts newer than this are processed once more. */
const INTERVAL_MILLISECONDS = 3_000;

/** Most prompts that are saved; about 60 kB, the prompts of the last minutes on a large site. */
const MAXIMUM_KEYS = 2_000;

/** Writes the warm places to the store at intervals, if this daemon is the one to do it. */
export class WarmPlacesWriter {
  private readonly options: WarmPlacesWriterOptions;

  private timer: NodeJS.Timeout | undefined;

  private lastSavedText = '';

  /**
   * @param options - the warm places to save, and the store.
   */
  constructor(options: WarmPlacesWriterOptions) {
    this.options = options;
  }

  /** Starts writing at intervals. */
  start(): void {
    this.timer = setInterval(() => {
      void this.saveIfChanged();
    }, INTERVAL_MILLISECONDS);
  }

  /** Writes the places again even if they have not changed, since the restored store may hold older ones. */
  handleRestore(): void {
    this.lastSavedText = '';
  }

  /** Stops writing. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Two daemons may both consider themselves the first one. They write the same, and the last write wins. */
  private isFirst(): boolean {
    const { name, daemons } = this.options;
    const names = [...daemons()];
    return names.includes(name) && names.every((other) => name <= other);
  }

  private async saveIfChanged(): Promise<void> {
    const { store, warmPlaces, log } = this.options;
    if (!this.isFirst()) return;
    const places = warmPlaces.export(MAXIMUM_KEYS);
    // Sorted, since the order of last use changes with every request and is no reason to write.
    const text = places
      .map(({ key, lives }) => `${key}=${lives.join()}`)
      .sort()
      .join(';');
    if (text === this.lastSavedText) return;
    try {
      await store.saveWarmPlaces(places);
      this.lastSavedText = text;
    } catch (error) {
      const fields = { during: 'warm_places', error: (error as Error).message };
      log.write(syncLogEvents.registrationFailed, fields);
    }
  }
}
