/**
 * Handles changes in what a daemon knows of the fleet: logs them, and passes them on to the parts that keep state for a
 * runner or a configuration.
 */
import type { RunnerConnections } from '../forwarding/RunnerConnections.js';
import type { Log } from '../logging/Log.js';
import type { CallerLimits, RoutingConfiguration } from '../routes/routeTypes.js';
import type { RunnerEntry, RunnerState } from '../runners/Runner.js';
import type { WarmPlace, WarmPlaces } from '../runners/WarmPlaces.js';
import type { SavedHistory } from '../streamVersions/streamVersionTypes.js';
import type { KnowledgeListener, StoreRestore } from '../sync/knowledgeTypes.js';
import { revisionFields, storePositionOf } from '../sync/orderedRevision.js';
import { syncLogEvents } from '../sync/syncFeature.js';

/** Options of a {@link KnowledgeChangeHandler}. */
export interface KnowledgeChangeHandlerOptions {
  connections: RunnerConnections;
  warmPlaces: WarmPlaces;
  log: Log;
  /** Names of the data centres that this daemon's settings know. */
  dataCentres: readonly string[];
  /** The ordered revision of the store up to which the daemon has applied changes. */
  revision: () => number;
  /** Takes the incarnations of runners that announced to another daemon that they are leaving. */
  applyLeavingRunners: (incarnations: readonly string[]) => void;
  /** Takes the list of quarantined requests in the form in which the store holds it. */
  applyQuarantine: (page: string) => void;
  /** Takes the software versions that services have had lately. */
  applyVersionHistory: (history: SavedHistory) => void;
  /** Applies the limits for callers from a configuration that has come into force. */
  applyLimits: (limits: CallerLimits) => void;
  /** Called after the store has been restored from an older copy: what this daemon wrote to it may be lost. */
  onStoreRestored: () => void;
  /** Called after all changes of one read of the store have been applied. */
  onUpdate: () => void;
}

/** Most daemon names in one log line: all daemons of a large fleet may come or go at once. */
const MAXIMUM_LOGGED_DAEMONS = 12;

/** Most runners of one read that get a log line each; a start lists thousands, more than the log writes in a second. */
const MAXIMUM_LOGGED_RUNNERS = 40;

/** A runner and its new state, for the log. */
interface ChangedRunner {
  readonly entry: RunnerEntry;
  readonly state: RunnerState | 'lapsed' | 'gone';
}

function countByState(changed: readonly ChangedRunner[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { state } of changed) counts[state] = (counts[state] ?? 0) + 1;
  return counts;
}

/** Logs changes once per read, and forwards each of them to the part concerned. */
export class KnowledgeChangeHandler implements KnowledgeListener {
  private readonly options: KnowledgeChangeHandlerOptions;

  /** Names of daemons that were listed or removed since the last log line about daemons. */
  private changedDaemons: Record<'listed' | 'gone', string[]> = { listed: [], gone: [] };

  /** Runners that changed during the read in progress. */
  private changedRunners: ChangedRunner[] = [];

  /**
   * @param options - the parts to which changes are passed on.
   */
  constructor(options: KnowledgeChangeHandlerOptions) {
    this.options = options;
  }

  /** @param configuration - the configuration that has come into force. */
  configurationChanged({ version, routes, limits }: RoutingConfiguration): void {
    const { applyLimits, log } = this.options;
    applyLimits(limits);
    const fields = { version, routes: routes.length, ...this.positionFields };
    log.write(syncLogEvents.configurationInForce, fields);
  }

  /**
   * Releases the connections of a runner that takes no new requests, and forgets the cache contents of one that is gone. A
   * `lapsed` runner may come back, so that its connections and its known cache contents are kept.
   *
   * @param entry - the runner's entry.
   * @param state - its new state.
   */
  runnerChanged(entry: RunnerEntry, state: RunnerState | 'lapsed' | 'gone'): void {
    const { connections, warmPlaces } = this.options;
    const { life } = entry;
    if (state !== 'ready' && state !== 'lapsed') connections.release(life);
    if (state === 'gone') warmPlaces.forgetRunner(life);
    this.changedRunners.push({ entry, state });
  }

  /**
   * @param name - the daemon's name.
   * @param state - whether the store lists the daemon now.
   */
  daemonChanged(name: string, state: 'listed' | 'gone'): void {
    this.changedDaemons[state].push(name);
  }

  /**
   * Logs only: requests that runners of the data centre already have run to their end.
   *
   * @param dataCentre - name of the data centre, as the operators wrote it.
   * @param state - whether its evacuation has begun or is over.
   */
  evacuationChanged(dataCentre: string, state: 'begun' | 'over'): void {
    const { log, dataCentres } = this.options;
    const fields = { dataCentre, state, ...this.positionFields };
    if (!dataCentres.includes(dataCentre)) {
      log.write(syncLogEvents.evacuationUnknown, fields);
      return;
    }
    log.write(syncLogEvents.evacuationChanged, fields);
  }

  /** @param places - runners on which shared prompts are cached, as another daemon saved them in the store. */
  warmPlacesSaved(places: readonly WarmPlace[]): void {
    this.options.warmPlaces.import(places);
  }

  /** @param incarnations - incarnations of runners that announced to another daemon that they are leaving. */
  runnersLeaving(incarnations: readonly string[]): void {
    this.options.applyLeavingRunners(incarnations);
  }

  /** @param page - the list of quarantined requests, as another daemon saved it in the store. */
  quarantineSaved(page: string): void {
    this.options.applyQuarantine(page);
  }

  /** @param history - the software versions of each service, as another daemon saved them in the store. */
  versionHistorySaved(history: SavedHistory): void {
    this.options.applyVersionHistory(history);
  }

  /** @param revision - revision of a full read that is older than what is known. */
  outdatedRead(revision: number): void {
    const { log } = this.options;
    const known = storePositionOf(this.options.revision());
    const fields = { knownEpoch: known.epoch, knownRevision: known.revision };
    log.write(syncLogEvents.readOutdated, { ...storePositionOf(revision), ...fields });
  }

  /** @param restore - the positions before and after a restore of the store, and what was kept. */
  storeRestored({ knownRevision, revision, ...kept }: StoreRestore): void {
    const { log, onStoreRestored } = this.options;
    const known = storePositionOf(knownRevision);
    const fields = { knownEpoch: known.epoch, knownRevision: known.revision, ...kept };
    log.write(syncLogEvents.storeRestored, { ...storePositionOf(revision), ...fields });
    onStoreRestored();
  }

  /** Called after all changes of one read have been reported: writes the log lines. */
  updated(): void {
    this.logRunners();
    this.logDaemons();
    this.options.onUpdate();
  }

  /**
   * @param key - the store key whose value cannot be decoded.
   * @param message - why it cannot be decoded.
   */
  unreadable(key: string, message: string): void {
    this.options.log.write(syncLogEvents.factUnreadable, { key, message });
  }

  /** Where in the store's history this daemon is, for log lines. */
  private get positionFields(): ReturnType<typeof revisionFields> {
    return revisionFields(this.options.revision());
  }

  private logRunners(): void {
    const changed = this.changedRunners;
    this.changedRunners = [];
    const { log } = this.options;
    const position = this.positionFields;
    for (const { entry, state } of changed.slice(0, MAXIMUM_LOGGED_RUNNERS)) {
      const { id: runner, life, service, coldMilliseconds } = entry;
      const fields = { runner, life, state, service, coldMilliseconds, ...position };
      log.write(syncLogEvents.runnerChanged, fields);
    }
    const rest = changed.slice(MAXIMUM_LOGGED_RUNNERS);
    if (rest.length === 0) return;
    log.write(syncLogEvents.moreRunnersChanged, { ...countByState(rest), ...position });
  }

  private logDaemons(): void {
    const { listed, gone } = this.changedDaemons;
    if (listed.length + gone.length === 0) return;
    this.changedDaemons = { listed: [], gone: [] };
    this.options.log.write(syncLogEvents.daemonsChanged, {
      listed: listed.slice(0, MAXIMUM_LOGGED_DAEMONS),
      listedCount: listed.length,
      gone: gone.slice(0, MAXIMUM_LOGGED_DAEMONS),
      goneCount: gone.length,
      ...this.positionFields,
    });
  }
}
