/**
 * Saves the quarantined requests in the store, for daemons that start while no other daemon is running.
 */
import type { Log } from '../logging/Log.js';
import type { FleetStore } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { decodeDocument, encodeDocument } from './crashSummaryCodec.js';
import { hashOfSubjects } from './QuarantineDecisions.js';
import { quarantineLogEvents } from './quarantineFeature.js';
import type { RequestQuarantine } from './RequestQuarantine.js';

/** Options of a {@link QuarantinePersistence}. */
export interface QuarantinePersistenceOptions {
  store: Pick<FleetStore, 'saveQuarantine'>;
  quarantine: RequestQuarantine;
  clock: Clock;
  log: Log;
  /** Whether this daemon is the one that writes to the store for the fleet. */
  isWriter: () => boolean;
}

/** Interval between checks for changes, in ms. */
const INTERVAL_MILLISECONDS = 1_000;

/** Owns the timer. */
export class QuarantinePersistence {
  private readonly options: QuarantinePersistenceOptions;

  private timer: NodeJS.Timeout | undefined;

  /** Hash of the list in the store, as far as this daemon knows; `undefined` if the store may have lost it. */
  private storedHash: number | undefined;

  private isWriting = false;

  /**
   * @param options - the quarantine and the store.
   */
  constructor(options: QuarantinePersistenceOptions) {
    this.options = options;
    this.storedHash = options.quarantine.decisions.quarantinedHash;
  }

  /** Starts to write changes to the store. */
  start(): void {
    this.timer = setInterval(() => {
      void this.save();
    }, INTERVAL_MILLISECONDS);
  }

  /** Writes the list again even if it has not changed, since the restored store may hold an older one. */
  handleRestore(): void {
    this.storedHash = undefined;
  }

  /** Stops writing. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Merges the list from the store.
   *
   * @param page - the list as the store holds it.
   * @throws When it cannot be parsed.
   */
  load(page: string): void {
    const { quarantine, clock } = this.options;
    const now = clock.monotonicMilliseconds();
    const offset = this.wallOffset;
    const news = decodeDocument(page, (wall) => Math.min(now, wall - offset));
    quarantine.merge(news, 'store');
    this.storedHash = hashOfSubjects(news);
  }

  /** Writes the list if it has changed and this daemon writes for the fleet. */
  async save(): Promise<void> {
    const { store, quarantine, log, isWriter } = this.options;
    const { decisions } = quarantine;
    const hash = decisions.quarantinedHash;
    if (hash === this.storedHash || this.isWriting || !isWriter()) return;
    this.isWriting = true;
    const offset = this.wallOffset;
    try {
      await store.saveQuarantine(
        encodeDocument(decisions.quarantined(), (at) => Math.round(at + offset)),
      );
      this.storedHash = hash;
    } catch (error) {
      log.write(quarantineLogEvents.keepingFailed, { error: (error as Error).message });
    } finally {
      this.isWriting = false;
    }
  }

  /**
   * Difference between wall clock and monotonic clock, in ms. The store holds wall clock times, because monotonic
   * times mean nothing to another process.
   */
  private get wallOffset(): number {
    const { clock } = this.options;
    return clock.wallMilliseconds() - clock.monotonicMilliseconds();
  }
}
