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

/** How long after the list of available daemons has changed callers take up streams of lost daemons, in ms. */
const WINDOW_MILLISECONDS = 10_000;

/** Shortest time between two lists of one runner, in ms, since a list delays its work. */
const PAUSE_MILLISECONDS = 1_000;

/** How often a runner that has not answered is asked again. */
const MAXIMUM_REPEATS = 3;

/** Most runners that are asked at the same time. */
const MAXIMUM_ASKED = 8;

/** A runner that has been asked. */
interface AskedRunner {
  /** When it was asked last, monotonic ms. */
  readonly askedAt: number;
  /** How often it has not answered since it last did. */
  readonly failures: number;
}

const NEVER_ASKED: AskedRunner = { askedAt: Number.NEGATIVE_INFINITY, failures: 0 };

/** Owns the lists that are being read. */
export class PromptReader {
  private readonly options: PromptReaderOptions;

  private readonly report: PromptListReport;

  private readonly questions = new WeakMap<Runner, AskedRunner>();

  private asked = 0;

  private knownDaemons = '';

  /** When the list of available daemons changed last, monotonic ms. */
  private changedAt: number;

  /**
   * @param options - the runners, and which of them are this daemon's to ask.
   */
  constructor(options: PromptReaderOptions) {
    this.options = options;
    this.report = new PromptListReport(options);
    this.changedAt = this.now;
  }

  /** Asks the runners that have to be asked now. */
  look(): void {
    const { runners, isNeeded } = this.options;
    this.noteDaemons();
    if (this.now - this.changedAt >= WINDOW_MILLISECONDS) return;
    for (const runner of runners()) {
      if (this.asked >= MAXIMUM_ASKED) return;
      if (this.isDue(runner) && isNeeded(runner.entry.service) && this.isReaderOf(runner))
        this.ask(runner);
    }
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private noteDaemons(): void {
    const daemons = this.options.daemons().map(({ name }) => name);
    const known = daemons.sort().join();
    if (known === this.knownDaemons) return;
    this.knownDaemons = known;
    this.changedAt = this.now;
  }

  /** A runner that may have started again may be of another version than its entry says. */
  private isDue(runner: Runner): boolean {
    const { askedAt, failures } = this.questions.get(runner) ?? NEVER_ASKED;
    if (runner.restart.isSuspected || this.now - askedAt < PAUSE_MILLISECONDS) return false;
    return askedAt < this.changedAt || (failures > 0 && failures <= MAXIMUM_REPEATS);
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
    const { failures } = this.questions.get(runner) ?? NEVER_ASKED;
    this.questions.set(runner, { askedAt, failures });
    this.asked += 1;
    fetchPrompts(runner, (parts) => {
      this.asked -= 1;
      this.questions.set(runner, { askedAt, failures: parts ? 0 : failures + 1 });
      // Others may wait for their turn.
      later(() => this.look(), 0);
      const isOutdated = runner.restart.isSuspected || runner.successor !== undefined;
      this.report.write(runner, { parts, isOutdated, milliseconds: this.now - askedAt });
      if (!parts || isOutdated) return;
      const { softwareVersion } = runner;
      const streams = parts.map((part) => promptKeyOf({ service, part }));
      onPrompts(streams.map((stream) => ({ service, stream, softwareVersion })));
    });
  }
}
