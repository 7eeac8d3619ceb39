/**
 * Asks runners which prompts they have cached, after daemons have been lost. What the lost daemons knew of their streams may
 * be nowhere else: a stream is of the version of the runner that has read its prompt.
 */
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { CallScheduler } from '../news/MessageRepeater.js';
import type { Runner } from '../runners/Runner.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { PromptListReport } from './PromptListReport.js';
import type { BegunStream } from './RecordSender.js';
import type { StreamKeepers } from './StreamKeepers.js';
import { promptKeyOf } from './streamKey.js';

/** Options of a {@link PromptReader}. */
export interface PromptReaderOptions {
  /** Name of this daemon. */
  daemon: string;
  /** Returns the available daemons except this one. */
  daemons: () => readonly DaemonEntry[];
  /** Orders the daemons for each runner. */
  keepers: Pick<StreamKeepers, 'askableFor'>;
  /** Returns all listed runners. */
  runners: () => readonly Runner[];
  /** Returns whether a stream of the service may be of more than one version. */
  isNeeded: (service: string) => boolean;
  /** Asks a runner for the ids of all parts that it has cached; calls back with `undefined` if it does not say. */
  fetchPrompts: PromptFetcher;
  /** Called with the prompts that a runner has cached. */
  onPrompts: (prompts: readonly BegunStream[]) => void;
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
  /** Schedules a call. */
  later: CallScheduler;
}

/** Asks a runner for the ids of all parts of prompts that it has cached. */
export type PromptFetcher = (
  runner: Runner,
  done: (parts: readonly string[] | undefined) => void,
) => void;

/** Daemons that ask the same runner, because one of them may be about to be found lost. */
const READERS = 2;

/** How often a runner is asked that does not answer, or serves no list. */
const MAXIMUM_TRIES = 4;

/** How long after a loss callers take up streams of lost daemons, in ms. */
const WINDOW_MILLISECONDS = 10_000;

/** Shortest time between two lists of one runner, in ms, since a list delays its work. */
const PAUSE_MILLISECONDS = 1_000;

/** Most runners that are asked at the same time. */
const MAXIMUM_ASKED = 8;

/** What has come of asking one runner. */
interface Reading {
  /** When it was asked last, monotonic ms. */
  readonly askedAt: number;
  /** How often it has been asked since the last loss without an answer. */
  readonly failures: number;
}

const NOT_ASKED: Reading = { askedAt: Number.NEGATIVE_INFINITY, failures: 0 };

/** Owns the lists that are being read. */
export class PromptReader {
  private readonly options: PromptReaderOptions;

  private readonly report: PromptListReport;

  private readonly readings = new Map<Runner, Reading>();

  private asked = 0;

  private knownDaemons: ReadonlySet<string> = new Set();

  /** When daemons were lost last, this one among them before its start; monotonic ms. */
  private lostAt: number;

  /**
   * @param options - the runners, and which of them are this daemon's to ask.
   */
  constructor(options: PromptReaderOptions) {
    this.options = options;
    this.report = new PromptListReport(options);
    this.lostAt = this.now;
  }

  /** Asks the runners that have to be asked now. */
  look(): void {
    const { runners, isNeeded } = this.options;
    this.noteDaemons();
    if (this.now - this.lostAt >= WINDOW_MILLISECONDS) {
      this.readings.clear();
      return;
    }
    for (const runner of runners()) {
      if (this.asked >= MAXIMUM_ASKED) return;
      if (this.isDue(runner) && isNeeded(runner.entry.service) && this.isReaderOf(runner))
        this.ask(runner);
    }
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  /** Daemons that are listed again have begun nothing that is not known, and read lists themselves. */
  private noteDaemons(): void {
    const names = this.options.daemons().map(({ name }) => name);
    const still = names.filter((name) => this.knownDaemons.has(name));
    if (still.length === names.length && still.length === this.knownDaemons.size) return;
    if (still.length < this.knownDaemons.size) this.lostAt = this.now;
    this.knownDaemons = new Set(names);
  }

  /** A runner that may have started again may be of another version than its entry says. */
  private isDue(runner: Runner): boolean {
    const { askedAt, failures } = this.readings.get(runner) ?? NOT_ASKED;
    if (runner.restart.isSuspected || this.now - askedAt < PAUSE_MILLISECONDS) return false;
    return askedAt < this.lostAt || (failures > 0 && failures < MAXIMUM_TRIES);
  }

  private isReaderOf({ entry }: Runner): boolean {
    const { daemon, keepers } = this.options;
    const key = promptKeyOf({ service: entry.service, part: entry.id });
    return keepers
      .askableFor(key)
      .slice(0, READERS)
      .some(({ name }) => name === daemon);
  }

  private ask(runner: Runner): void {
    const { fetchPrompts, onPrompts, later } = this.options;
    const { service } = runner.entry;
    const askedAt = this.now;
    const before = this.readings.get(runner) ?? NOT_ASKED;
    // Counts as failed until it answers, so that a runner in doubt is asked again.
    const failures = before.askedAt < this.lostAt ? 1 : before.failures + 1;
    this.readings.set(runner, { askedAt, failures });
    this.asked += 1;
    fetchPrompts(runner, (parts) => {
      this.asked -= 1;
      // Others may wait for their turn.
      later(() => this.look(), 0);
      const isOutdated = runner.restart.isSuspected || runner.successor !== undefined;
      this.report.write(runner, { parts, isOutdated, milliseconds: this.now - askedAt });
      if (!parts || isOutdated) return;
      this.readings.set(runner, { askedAt, failures: 0 });
      const { softwareVersion } = runner;
      onPrompts(
        parts.map((part) => ({ service, stream: promptKeyOf({ service, part }), softwareVersion })),
      );
    });
  }
}
