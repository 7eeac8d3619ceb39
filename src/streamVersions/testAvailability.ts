/**
 * Which daemons of a simulated fleet each one takes for available.
 */
import type { DaemonEntry } from '../sync/FleetStore.js';
import type { TestStreamDaemon } from './testStreamFleetTypes.js';

/** Time until other daemons know that one has ended, in ms. */
const DETECTION_MILLISECONDS = 1_200;

/** Options of {@link TestAvailability}. */
export interface TestAvailabilityOptions {
  /** All daemons of the fleet. */
  daemons: readonly TestStreamDaemon[];
  /** Returns the virtual time, ms. */
  now: () => number;
  /** Schedules a call. */
  after: (milliseconds: number, call: () => void) => void;
}

/** Keeps the lists until they change, since hundreds of daemons look at them all the time. */
export class TestAvailability {
  private readonly options: TestAvailabilityOptions;

  private readonly lists = new Map<TestStreamDaemon, readonly DaemonEntry[]>();

  /**
   * @param options - the daemons, and the clock.
   */
  constructor(options: TestAvailabilityOptions) {
    this.options = options;
  }

  /** A fault begins or ends now; others know of one that begins once they have detected it. */
  change(): void {
    this.lists.clear();
    this.options.after(DETECTION_MILLISECONDS, () => this.lists.clear());
  }

  /**
   * @param daemon - a daemon.
   * @returns The others that it takes for available.
   */
  listFor(daemon: TestStreamDaemon): readonly DaemonEntry[] {
    const known = this.lists.get(daemon);
    if (known) return known;
    const list = this.options.daemons
      .filter((other) => other !== daemon && !this.isUnheard(daemon) && !this.isLost(other))
      .map(({ entry }) => entry);
    this.lists.set(daemon, list);
    return list;
  }

  private isLost(daemon: TestStreamDaemon): boolean {
    const isEnded = !daemon.isUp && this.options.now() - daemon.endedAt >= DETECTION_MILLISECONDS;
    return isEnded || this.isUnheard(daemon);
  }

  private isUnheard({ isCut, cutAt }: TestStreamDaemon): boolean {
    return isCut && this.options.now() - cutAt >= DETECTION_MILLISECONDS;
  }
}
