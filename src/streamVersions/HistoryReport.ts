/**
 * Logs which versions the store named when this daemon started.
 */
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import type { Log } from '../logging/Log.js';
import type { ServiceVersions } from './ServiceVersions.js';

/** Options of a {@link HistoryReport}. */
export interface HistoryReportOptions {
  log: Log;
  versions: Pick<
    ServiceVersions,
    'isKnown' | 'savedAtStart' | 'savedAgeAtStart' | 'wasCompleteAtStart'
  >;
}

/** Most services whose versions the line names. */
const MAXIMUM_SERVICES = 10;

/** Writes one line in the life of a daemon. */
export class HistoryReport {
  private readonly options: HistoryReportOptions;

  private isWritten = false;

  /**
   * @param options - the log, and the versions of all services.
   */
  constructor(options: HistoryReportOptions) {
    this.options = options;
  }

  /** Writes the line once the history is known, which comes before the first list of runners, or is missing. */
  look(): void {
    const { log, versions } = this.options;
    if (this.isWritten || !versions.isKnown) return;
    this.isWritten = true;
    const { savedAtStart, savedAgeAtStart, wasCompleteAtStart } = versions;
    const services = [...(savedAtStart ?? [])].map(([service, known]) => ({
      service,
      versions: [...known.keys()],
    }));
    log.write(forwardingLogEvents.historyTaken, {
      isHistorySaved: savedAtStart !== undefined,
      isHistoryComplete: wasCompleteAtStart,
      historyAgeMilliseconds: savedAgeAtStart,
      services: services.slice(0, MAXIMUM_SERVICES),
      moreServices: Math.max(0, services.length - MAXIMUM_SERVICES),
    });
  }
}
