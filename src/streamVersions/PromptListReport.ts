/**
 * Logs and counts the lists of cached prompts that runners were asked for.
 */
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { BurstLog } from '../logging/BurstLog.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';

/** Options of a {@link PromptListReport}. */
export interface PromptListReportOptions {
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
}

/** What has come of asking a runner. */
export interface PromptListResult {
  /** Ids of the parts that it has cached; `undefined` if it gave no list, or is another incarnation than was asked. */
  readonly parts: readonly string[] | undefined;
  /** Whether the runner may have started again meanwhile, so that its list is of no use. */
  readonly isOutdated: boolean;
  /** Time until its answer, in ms. */
  readonly milliseconds: number;
}

/** `read`: its prompts are known; `none`: it gave no list; `outdated`: it gave one that may be of another incarnation. */
export type PromptListOutcome = 'read' | 'none' | 'outdated';

function outcomeOf({ parts, isOutdated }: PromptListResult): PromptListOutcome {
  if (parts === undefined) return 'none';
  return isOutdated ? 'outdated' : 'read';
}

/** Owns the counter of lists. */
export class PromptListReport {
  private readonly log: BurstLog;

  private readonly lists;

  /**
   * @param options - the log and the metrics.
   */
  constructor({ clock, log, registry }: PromptListReportOptions) {
    // A loss of daemons has all runners asked at once.
    this.log = new BurstLog({ clock, log });
    this.lists = registry.counter({
      name: 'stream_prompt_lists',
      help: 'Lists of cached prompts that runners were asked for after a loss of daemons, by outcome.',
      labels: ['outcome'] as const,
    });
  }

  /**
   * @param runner - the runner that was asked.
   * @param result - what it has answered.
   */
  write({ entry, softwareVersion }: Runner, result: PromptListResult): void {
    const outcome = outcomeOf(result);
    this.lists.increment({ outcome });
    this.log.write(forwardingLogEvents.promptsListed, {
      ...{ runner: entry.id, life: entry.life, service: entry.service, softwareVersion, outcome },
      parts: result.parts?.length,
      milliseconds: Math.round(result.milliseconds),
    });
  }
}
