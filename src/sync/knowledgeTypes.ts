/**
 * What daemons tell each other of their beliefs, and who hears of changes.
 */
import type { RoutingConfiguration } from '../routes/routeTypes.js';
import type { RunnerEntry, RunnerState } from '../runners/Runner.js';
import type { WarmPlace } from '../runners/WarmPlaces.js';
import type { DaemonEntry } from './FleetStore.js';

/** Everything in a form that can be sent to another daemon. */
export interface KnowledgeSnapshot {
  readonly revision: number;
  readonly configuration?: RoutingConfiguration | undefined;
  /** Of the configuration that the sender has, where it does not send it along. */
  readonly configurationVersion?: number | undefined;
  readonly runners: readonly RunnerEntry[];
  readonly daemons: readonly DaemonEntry[];
}

/** Hears of what has changed. */
export interface KnowledgeListener {
  /** A newer configuration is in force. */
  configurationChanged(configuration: RoutingConfiguration): void;
  /** A runner was added, changed its state, or is gone. */
  runnerChanged(entry: RunnerEntry, state: RunnerState | 'gone'): void;
  /** Another daemon has kept where shared prompts are cached. */
  warmPlacesKept(places: readonly WarmPlace[]): void;
  /** All of a read has been taken. */
  updated(): void;
  /** A fact could not be decoded. */
  unreadable(key: string, message: string): void;
}
