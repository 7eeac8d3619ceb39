/**
 * What the task that knows the versions of streams needs, and what it tells.
 */
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import type { CallScheduler } from '../news/MessageRepeater.js';
import type { Runner } from '../runners/Runner.js';
import type { DaemonEntry, FleetStore } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import type { PromptFetcher } from './PromptReader.js';

/** Options of a `StreamVersionTask`. */
export interface StreamVersionTaskOptions {
  /** This daemon's entry in the list of daemons. */
  daemon: DaemonEntry;
  socket: Pick<FleetSocket, 'handle' | 'send'>;
  /** Keeps what has to outlive all daemons. */
  store: Pick<FleetStore, 'saveVersionHistory' | 'appendStreamRecords' | 'readStreamRecords'>;
  /** Returns all listed runners. */
  runners: () => readonly Runner[];
  /** Returns the available daemons except this one. */
  daemons: () => readonly DaemonEntry[];
  /** Whether this daemon's list of runners is current. */
  isListCurrent: () => boolean;
  /** Whether this daemon hears from all listed daemons. */
  isFleetWhole: () => boolean;
  /** Whether this daemon reads the store itself, and with it the history that others save. */
  followsStore: () => boolean;
  /** Asks a runner which prompts it has cached. */
  fetchPrompts: PromptFetcher;
  /** Returns the longest time that a stream may take, in ms. */
  longestStreamMilliseconds: () => number;
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
  /** Schedules a call; replaced by tests. */
  later?: CallScheduler;
}

/** What the caller is to be told, if the version of its stream is not known yet. */
export interface TakeUpResult {
  readonly softwareVersion?: string | undefined;
  /** When more may be known, in seconds; set only if the version was not found for a reason that passes. */
  readonly retryAfterSeconds?: number | undefined;
}
