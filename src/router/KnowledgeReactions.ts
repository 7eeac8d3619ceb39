/**
 * What a daemon does about changes of its beliefs: a log line for each, and what other parts keep of a runner or a
 * configuration follows.
 */
import type { RunnerConnections } from '../forwarding/RunnerConnections.js';
import type { Log } from '../logging/Log.js';
import type { CallerLimits, RoutingConfiguration } from '../routes/routeTypes.js';
import type { RunnerEntry, RunnerState } from '../runners/Runner.js';
import type { WarmPlace, WarmPlaces } from '../runners/WarmPlaces.js';
import type { KnowledgeListener } from '../sync/knowledgeTypes.js';
import { syncLogEvents } from '../sync/syncFeature.js';

/** Options of a {@link KnowledgeReactions}. */
export interface KnowledgeReactionsOptions {
  connections: RunnerConnections;
  warmPlaces: WarmPlaces;
  log: Log;
  /** Names of the data centres that this daemon's settings know. */
  dataCentres: readonly string[];
  /** The store's revision that the daemon's beliefs have reached. */
  revision: () => number;
  /** Takes lives of runners that have told another daemon that they leave. */
  takeLeaving: (lives: readonly string[]) => void;
  /** Takes the list of quarantined requests, as the store holds it. */
  takeQuarantine: (page: string) => void;
  /** Takes the limits for callers of a configuration that has come into force. */
  applyLimits: (limits: CallerLimits) => void;
  /** Called once all of a read has been taken. */
  onUpdate: () => void;
}

/** Names in one line of the log: all daemons of a large fleet may come or go at once. */
const MAXIMUM_NAMES = 12;

/** Runners of one read that get a line each; a start lists thousands, more than a log takes within a second. */
const MAXIMUM_RUNNER_LINES = 40;

/** What a line tells of a runner. */
interface ChangedRunner {
  readonly entry: RunnerEntry;
  readonly state: RunnerState | 'lapsed' | 'gone';
}

function countStates(changed: readonly ChangedRunner[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { state } of changed) counts[state] = (counts[state] ?? 0) + 1;
  return counts;
}

/** See the module's comment. */
export class KnowledgeReactions implements KnowledgeListener {
  private readonly options: KnowledgeReactionsOptions;

  /** Daemons that have come and gone since the last line about them. */
  private changedDaemons: Record<'listed' | 'gone', string[]> = { listed: [], gone: [] };

  /** Runners that have changed since the last read. */
  private changedRunners: ChangedRunner[] = [];

  /**
   * @param options - the parts that follow.
   */
  constructor(options: KnowledgeReactionsOptions) {
    this.options = options;
  }

  /** @param configuration - that is in force from now on. */
  configurationChanged({ version, routes, limits }: RoutingConfiguration): void {
    const { applyLimits, log, revision } = this.options;
    applyLimits(limits);
    const fields = { version, routes: routes.length, revision: revision() };
    log.write(syncLogEvents.configurationInForce, fields);
  }

  /**
   * A runner that may be back keeps its connections, and what it has cached counts.
   *
   * @param entry - of the runner.
   * @param state - from now on.
   */
  runnerChanged(entry: RunnerEntry, state: RunnerState | 'lapsed' | 'gone'): void {
    const { connections, warmPlaces } = this.options;
    const { life } = entry;
    if (state !== 'ready' && state !== 'lapsed') connections.release(life);
    if (state === 'gone') warmPlaces.forgetRunner(life);
    this.changedRunners.push({ entry, state });
  }

  /**
   * @param name - of a daemon.
   * @param state - from now on.
   */
  daemonChanged(name: string, state: 'listed' | 'gone'): void {
    this.changedDaemons[state].push(name);
  }

  /**
   * Requests that its runners have go on to their end.
   *
   * @param dataCentre - that is evacuated, or not any more.
   * @param state - from now on.
   */
  evacuationChanged(dataCentre: string, state: 'begun' | 'over'): void {
    const { log, revision, dataCentres } = this.options;
    if (!dataCentres.includes(dataCentre)) {
      log.write(syncLogEvents.evacuationUnknown, { dataCentre, state, revision: revision() });
      return;
    }
    log.write(syncLogEvents.evacuationChanged, { dataCentre, state, revision: revision() });
  }

  /** @param places - where another daemon knows shared prompts to be cached. */
  warmPlacesKept(places: readonly WarmPlace[]): void {
    this.options.warmPlaces.import(places);
  }

  /** @param lives - of runners that have told another daemon that they leave. */
  runnersLeaving(lives: readonly string[]): void {
    this.options.takeLeaving(lives);
  }

  /** @param page - of quarantined requests, as another daemon has written it. */
  quarantineKept(page: string): void {
    this.options.takeQuarantine(page);
  }

  /** All of a read has been taken. */
  updated(): void {
    this.logRunners();
    this.logDaemons();
    this.options.onUpdate();
  }

  /**
   * @param key - of an entry that cannot be read.
   * @param message - what is wrong with it.
   */
  unreadable(key: string, message: string): void {
    this.options.log.write(syncLogEvents.factUnreadable, { key, message });
  }

  private logRunners(): void {
    const changed = this.changedRunners;
    this.changedRunners = [];
    const { log } = this.options;
    const revision = this.options.revision();
    for (const { entry, state } of changed.slice(0, MAXIMUM_RUNNER_LINES)) {
      const { id: runner, life, service, coldMilliseconds } = entry;
      const fields = { runner, life, state, service, coldMilliseconds, revision };
      log.write(syncLogEvents.runnerChanged, fields);
    }
    const rest = changed.slice(MAXIMUM_RUNNER_LINES);
    if (rest.length === 0) return;
    log.write(syncLogEvents.moreRunnersChanged, { ...countStates(rest), revision });
  }

  private logDaemons(): void {
    const { listed, gone } = this.changedDaemons;
    if (listed.length + gone.length === 0) return;
    this.changedDaemons = { listed: [], gone: [] };
    this.options.log.write(syncLogEvents.daemonsChanged, {
      listed: listed.slice(0, MAXIMUM_NAMES),
      listedCount: listed.length,
      gone: gone.slice(0, MAXIMUM_NAMES),
      goneCount: gone.length,
      revision: this.options.revision(),
    });
  }
}
