/**
 * Keeps the quarantined requests in the store, for daemons that start when no other one lives.
 */
import type { Log } from '../logging/Log.js';
import type { FleetStore } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { fromPage, toPage } from './crashNewsCodec.js';
import { hashOfRequests } from './QuarantineDecisions.js';
import { quarantineLogEvents } from './quarantineFeature.js';
import type { RequestQuarantine } from './RequestQuarantine.js';

/** Options of a {@link QuarantineKeeper}. */
export interface QuarantineKeeperOptions {
  store: Pick<FleetStore, 'saveQuarantine'>;
  quarantine: RequestQuarantine;
  clock: Clock;
  log: Log;
  /** Whether this daemon writes for all. */
  isFirst: () => boolean;
}

/** Between looks at whether anything has changed, in ms. */
const INTERVAL_MILLISECONDS = 1_000;

/** Owns the timer. */
export class QuarantineKeeper {
  private readonly options: QuarantineKeeperOptions;

  private timer: NodeJS.Timeout | undefined;

  /** Of what the store holds, as far as this daemon knows. */
  private keptHash: number;

  private isWriting = false;

  /**
   * @param options - what is kept, and where.
   */
  constructor(options: QuarantineKeeperOptions) {
    this.options = options;
    this.keptHash = options.quarantine.decisions.quarantinedHash;
  }

  /** Writes each change from now on. */
  start(): void {
    this.timer = setInterval(() => {
      void this.keep();
    }, INTERVAL_MILLISECONDS);
  }

  /** Writes no more. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * @param page - as the store holds it.
   * @throws When it cannot be read.
   */
  take(page: string): void {
    const { quarantine, clock } = this.options;
    const now = clock.monotonicMilliseconds();
    const offset = this.wallOffset;
    const news = fromPage(page, (wall) => Math.min(now, wall - offset));
    quarantine.learn(news, 'store');
    this.keptHash = hashOfRequests(news);
  }

  /** Writes the list if it has changed and this daemon writes for all. */
  async keep(): Promise<void> {
    const { store, quarantine, log, isFirst } = this.options;
    const { decisions } = quarantine;
    const hash = decisions.quarantinedHash;
    if (hash === this.keptHash || this.isWriting || !isFirst()) return;
    this.isWriting = true;
    const offset = this.wallOffset;
    try {
      await store.saveQuarantine(toPage(decisions.quarantined(), (at) => Math.round(at + offset)));
      this.keptHash = hash;
    } catch (error) {
      log.write(quarantineLogEvents.keepingFailed, { error: (error as Error).message });
    } finally {
      this.isWriting = false;
    }
  }

  /** Times in the store are of the wall clock: monotonic ones mean nothing to another process. */
  private get wallOffset(): number {
    const { clock } = this.options;
    return clock.wallMilliseconds() - clock.monotonicMilliseconds();
  }
}
