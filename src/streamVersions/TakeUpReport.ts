/**
 * Logs and counts the streams that callers take up again.
 */
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Clock } from '../time/Clock.js';
import type { ServiceVersions } from './ServiceVersions.js';
import type { StreamName } from './streamKey.js';
import type { SeenVersion, TakeUpDecision } from './takeUpDecision.js';
import type { QuestionResult } from './VersionQuestions.js';

/** A stream that a caller takes up. */
export interface TakeUpQuestion extends StreamName {
  /** Id of the caller's attempt that takes it up. */
  readonly request: string;
  /** Id of the last part of its prompt, if it has one. */
  readonly promptPart?: string | undefined;
}

/** What was decided about it, and from what. */
export interface TakeUpOutcome {
  readonly decision: TakeUpDecision;
  readonly result: QuestionResult;
  /** Whether more may be known later. */
  readonly mayPass: boolean;
  /** When the caller's request was taken, monotonic ms. */
  readonly startedAt: number;
  /** Whether this daemon has read what the store has of streams and versions. */
  readonly isLoaded: boolean;
  /** Versions of the runners that have the stream's prompt cached, as far as this daemon has been told. */
  readonly promptVersions: readonly string[];
}

/** Options of a {@link TakeUpReport}. */
export interface TakeUpReportOptions {
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
  /** When this daemon started, monotonic ms. */
  startedAt: number;
  /** The versions of all services, and how old their saved history was when this daemon started. */
  versions: Pick<ServiceVersions, 'wasCompleteAtStart' | 'savedAgeAtStart'>;
  /** Returns the versions that a service has had lately. */
  versionsOf: (service: string) => readonly SeenVersion[];
}

/** Owns the counter of streams that are taken up. */
export class TakeUpReport {
  private readonly options: TakeUpReportOptions;

  private readonly takeUps;

  /**
   * @param options - the log, the metrics, and what this daemon knows of versions.
   */
  constructor(options: TakeUpReportOptions) {
    this.options = options;
    this.takeUps = options.registry.counter({
      name: 'stream_take_ups',
      help: 'Streams that callers took up again, by how the software version that began them was found.',
      labels: ['evidence'] as const,
    });
  }

  /**
   * @param name - the stream, and the request that takes it up.
   * @param outcome - what was decided.
   */
  write(
    { request, id: stream, service, promptPart }: TakeUpQuestion,
    { decision, result, mayPass, startedAt, isLoaded, ...own }: TakeUpOutcome,
  ): void {
    const { clock, log, versions: known, versionsOf, startedAt: runningSince } = this.options;
    const { wasCompleteAtStart, savedAgeAtStart } = known;
    const { evidence, softwareVersion } = decision;
    const now = clock.monotonicMilliseconds();
    this.takeUps.increment({ evidence });
    const event =
      evidence === 'unknown' ? forwardingLogEvents.versionUnknown : forwardingLogEvents.takenUp;
    const versions = versionsOf(service);
    const told = [own, ...result.answers].flatMap(({ promptVersions }) => promptVersions);
    log.write(event, {
      ...{ request, stream, service, evidence, softwareVersion },
      milliseconds: Math.round(now - startedAt),
      asked: result.asked,
      answered: result.answers.length,
      versions: versions.map((one) => one.softwareVersion),
      promptVersions: promptPart === undefined ? undefined : [...new Set(told)],
      newVersions: versions.filter((one) => one.isNewSinceStart).length,
      runningMilliseconds: Math.round(now - runningSince),
      isHistoryComplete: wasCompleteAtStart,
      historyAgeMilliseconds: savedAgeAtStart,
      isLoaded,
      mayPass,
    });
  }
}
