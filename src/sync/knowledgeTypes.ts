/**
 * The snapshot of a daemon's knowledge that daemons send to each other, and the listener for changes of the knowledge.
 */
import type { RoutingConfiguration } from '../routes/routeTypes.js';
import type { RunnerEntry, RunnerState } from '../runners/Runner.js';
import type { WarmPlace } from '../runners/WarmPlaces.js';
import type { SavedHistory } from '../streamVersions/streamVersionTypes.js';
import type { DaemonEntry } from './FleetStore.js';

/** What a daemon knows of the fleet, as it is sent to another daemon as JSON. */
export interface KnowledgeSnapshot {
  readonly revision: number;
  readonly configuration?: RoutingConfiguration | undefined;
  /** Version of the configuration that the sender has, also if the snapshot does not contain it. */
  readonly configurationVersion?: number | undefined;
  readonly runners: readonly RunnerEntry[];
  /** Ids of the lapsed runners: their entries are missing but may come back. */
  readonly lapsed?: readonly string[];
  /** Incarnations of the runners that have announced that they leave, whatever their entries say. */
  readonly leaving?: readonly string[];
  /** Time since the latest answer of the store to any daemon that the sender knows of, in ms. */
  readonly storeSilentMilliseconds?: number | undefined;
  readonly daemons: readonly DaemonEntry[];
  /** Names of evacuated data centres; missing if the sender does not support evacuations. */
  readonly evacuated?: readonly string[];
  /** The secret of the fleet; without it a daemon that the store has refused since its start hears no announcement. */
  readonly secret?: string | undefined;
}

/** What a daemon answers to another one that has the same listing. */
export interface UnchangedListing extends Pick<
  KnowledgeSnapshot,
  'revision' | 'configuration' | 'configurationVersion' | 'storeSilentMilliseconds'
> {
  readonly isUnchanged: true;
}

/** Answer of a daemon to another one that asks for what it knows. */
export type KnowledgeAnswer = (KnowledgeSnapshot | UnchangedListing) & {
  /** Time since the store last answered the sender itself, in ms; missing if the sender does not tell. */
  readonly readMilliseconds?: number;
};

/** What a daemon made of the first state that it has seen of a restored store. */
export interface StoreRestore {
  /** Ordered revision that was known before. */
  readonly knownRevision: number;
  /** Ordered revision of the restored store. */
  readonly revision: number;
  /** Number of runners whose entries are missing; they are kept for a while. */
  readonly lapsedRunners: number;
  /** Number of runners that are listed again although they had left; they get no requests. */
  readonly heldBackRunners: number;
}

/** Listener for changes of a daemon's knowledge. */
export interface KnowledgeListener {
  /** A newer configuration is in force. */
  configurationChanged(configuration: RoutingConfiguration): void;
  /** A runner was added, came back, changed its state, lapsed (its entry is missing but may come back), or was dropped. */
  runnerChanged(entry: RunnerEntry, state: RunnerState | 'lapsed' | 'gone'): void;
  /** A daemon was added to the list or removed from it. */
  daemonChanged(name: string, state: 'listed' | 'gone'): void;
  /** Operators have evacuated a data centre, or have ended its evacuation. */
  evacuationChanged(dataCentre: string, state: 'begun' | 'over'): void;
  /** A daemon has saved to the store where shared prompts are cached. */
  warmPlacesSaved(places: readonly WarmPlace[]): void;
  /** Runners, given by their incarnations, have announced to another daemon that they leave. */
  runnersLeaving(lives: readonly string[]): void;
  /** A daemon has saved to the store which requests are quarantined. */
  quarantineSaved(page: string): void;
  /** A daemon has saved to the store which software versions services have had lately. */
  versionHistorySaved(history: SavedHistory): void;
  /** A full read of the store was older than what is known, so that its listing was not applied. */
  outdatedRead(revision: number): void;
  /** The store has been restored from an older copy; called once its first state has been applied. */
  storeRestored(restore: StoreRestore): void;
  /** All facts of a read have been applied. */
  updated(): void;
  /** An entry of the store could not be decoded. */
  unreadable(key: string, message: string): void;
}
