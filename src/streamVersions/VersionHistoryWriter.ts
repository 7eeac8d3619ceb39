/**
 * Saves to the store which software versions each service has had lately. A daemon that starts after all of them have
 * ended sees those that have runners now, and would take them for the only ones.
 */
import type { Log } from '../logging/Log.js';
import { syncLogEvents } from '../sync/syncFeature.js';
import type { FleetStore } from '../sync/FleetStore.js';
import type { Moment, ServiceVersions } from './ServiceVersions.js';

/** Options of a {@link VersionHistoryWriter}. */
export interface VersionHistoryWriterOptions {
  store: Pick<FleetStore, 'saveVersionHistory'>;
  versions: ServiceVersions;
  log: Log;
  /** Returns the place of this daemon among those that write to the store, from 0; -1 if it is none of them. */
  place: () => number;
}

/** How long each further daemon waits for the one before to save a change, in ms. */
const PLACE_MILLISECONDS = 100;

/** Shortest time from a write that has failed to the next one, in ms. */
const RETRY_MILLISECONDS = 400;

/** Daemons that save a history again that has not changed; those after them may not hear that it has been saved. */
const RENEWING_DAEMONS = 3;

/** Owns the write in progress. */
export class VersionHistoryWriter {
  private readonly options: VersionHistoryWriterOptions;

  /** Since when the store's history has lacked something, monotonic ms. */
  private outdatedSince: number | undefined;

  private isWriting = false;

  /** When the last write that failed began, monotonic ms. */
  private failedAt = Number.NEGATIVE_INFINITY;

  private mustWrite = false;

  /**
   * @param options - the versions, and the store.
   */
  constructor(options: VersionHistoryWriterOptions) {
    this.options = options;
  }

  /** Writes the history again, since the restored store may hold an older one. */
  handleRestore(): void {
    this.mustWrite = true;
  }

  /**
   * Writes the history if it lacks something that this daemon knows, and if it is this daemon's turn.
   *
   * @param now - the current time.
   * @param retentionMilliseconds - how long versions without runners are kept.
   */
  write(now: Moment, retentionMilliseconds: number): void {
    const { versions, place } = this.options;
    const position = place();
    const isChanged =
      this.mustWrite || versions.isSavedOutdated(now.monotonic - retentionMilliseconds);
    if (!isChanged && !(position < RENEWING_DAEMONS && versions.isRenewalDue(now))) {
      this.outdatedSince = undefined;
      return;
    }
    this.outdatedSince ??= now.monotonic;
    const isDue = now.monotonic - this.outdatedSince >= position * PLACE_MILLISECONDS;
    const isPausing = now.monotonic - this.failedAt < RETRY_MILLISECONDS;
    if (this.isWriting || isPausing || position < 0 || !isDue) return;
    void this.save(now, retentionMilliseconds);
  }

  private async save(now: Moment, retentionMilliseconds: number): Promise<void> {
    const { store, versions, log } = this.options;
    const history = versions.export(now, retentionMilliseconds);
    this.isWriting = true;
    try {
      await store.saveVersionHistory(history);
      versions.recordSaved(history);
      this.mustWrite = false;
    } catch (error) {
      this.failedAt = now.monotonic;
      const fields = { during: 'version_history', error: (error as Error).message };
      log.write(syncLogEvents.registrationFailed, fields);
    }
    this.isWriting = false;
  }
}
