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
  /** Ids of those whose entries are missing, and may be back. */
  readonly lapsed?: readonly string[];
  /** Lives of those that have said that they leave, whatever their entries say. */
  readonly leaving?: readonly string[];
  /** For how long the sender knows of nobody whom the store has answered, in ms. */
  readonly storeSilentMilliseconds?: number;
  readonly daemons: readonly DaemonEntry[];
  /** Names of evacuated data centres; missing where the sender does not know of evacuations. */
  readonly evacuated?: readonly string[];
}

/** Hears of what has changed. */
export interface KnowledgeListener {
  /** A newer configuration is in force. */
  configurationChanged(configuration: RoutingConfiguration): void;
  /** A runner was added or is back, changed its state, has no entry any more and may be back, or is gone. */
  runnerChanged(entry: RunnerEntry, state: RunnerState | 'lapsed' | 'gone'): void;
  /** A daemon was listed, or is listed no more. */
  daemonChanged(name: string, state: 'listed' | 'gone'): void;
  /** Operators have evacuated a data centre, or have taken that back. */
  evacuationChanged(dataCentre: string, state: 'begun' | 'over'): void;
  /** Another daemon has kept where shared prompts are cached. */
  warmPlacesKept(places: readonly WarmPlace[]): void;
  /** Runners have told another daemon that they leave. */
  runnersLeaving(lives: readonly string[]): void;
  /** Another daemon has kept which requests reach no runners. */
  quarantineKept(page: string): void;
  /** All of a read has been taken. */
  updated(): void;
  /** A fact could not be decoded. */
  unreadable(key: string, message: string): void;
}
