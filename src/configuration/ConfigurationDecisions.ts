/**
 * Decides how a daemon keeps its copies of the configuration and of the list of runners up to date.
 */
import { match } from 'ts-pattern';

import { Decisions } from '../decisions/Decisions.js';
import { ConfigurationDocument } from './ConfigurationDocument.js';
import type {
  ConfigurationAction,
  ConfigurationMessage,
  DocumentName,
} from './configurationTypes.js';
import { DocumentSync } from './DocumentSync.js';
import type { DaemonLocation } from './PeerRevisions.js';
import { RunnerListDocument } from './RunnerListDocument.js';
import { DEFAULT_SYNC_TIMING } from './SyncSchedule.js';
import type { SyncTiming } from './SyncSchedule.js';

/** Watchers in each data centre: with two, one may fail without delaying changes. */
export const DEFAULT_WATCHERS_PER_DATA_CENTRE = 2;

/** Options of {@link ConfigurationDecisions}. */
export interface ConfigurationDecisionsOptions {
  self: DaemonLocation;
  /** Seeded random source: at least 0, below 1. */
  random: () => number;
  timing?: Partial<SyncTiming>;
  watchersPerDataCentre?: number;
}

/**
 * Decision logic for both documents. It does no I/O and takes the time from its caller, so measurements and
 * replays of recorded sessions drive it as well as the daemon.
 */
export class ConfigurationDecisions extends Decisions<ConfigurationMessage, ConfigurationAction> {
  /** The configuration in force on this daemon. */
  readonly configuration = new ConfigurationDocument();

  /** The list of runners in force on this daemon. */
  readonly runners = new RunnerListDocument();

  private readonly syncs: Readonly<Record<DocumentName, DocumentSync>>;

  /**
   * @param options - this daemon's location, the random source, timing and the number of watchers.
   */
  constructor({
    self,
    random,
    timing = {},
    watchersPerDataCentre = DEFAULT_WATCHERS_PER_DATA_CENTRE,
  }: ConfigurationDecisionsOptions) {
    super();
    const times = { ...DEFAULT_SYNC_TIMING, ...timing };
    const runnersTimes = { ...times, checkMilliseconds: times.runnersCheckMilliseconds };
    const common = { self, random, watchersPerDataCentre };
    this.syncs = {
      configuration: new DocumentSync({ ...common, timing: times, document: this.configuration }),
      runners: new DocumentSync({ ...common, timing: runnersTimes, document: this.runners }),
    };
  }

  override decide(now: number, message: ConfigurationMessage): readonly ConfigurationAction[] {
    const answers = this.dispatch(now, message);
    return [
      ...this.syncs.configuration.takeActions(),
      ...this.syncs.runners.takeActions(),
      ...answers,
    ];
  }

  override nextWake(): number | undefined {
    const wakes = Object.values(this.syncs).flatMap((sync) => sync.nextWake() ?? []);
    return wakes.length === 0 ? undefined : Math.min(...wakes);
  }

  /**
   * @param document - the document's name.
   * @returns The state of the document's synchronization; see configuration.chart.json.
   */
  syncState(document: DocumentName): DocumentSync['syncState'] {
    return this.syncs[document].syncState;
  }

  private dispatch(now: number, message: ConfigurationMessage): ConfigurationAction[] {
    const all = Object.values(this.syncs);
    match(message)
      .with({ kind: 'tick' }, () => all.forEach((sync) => sync.runDueTasks(now)))
      .with({ kind: 'members' }, ({ members }) => {
        all.forEach((sync) => sync.replaceMembers(now, members));
      })
      .with({ kind: 'member_revision' }, ({ member }) => {
        all.forEach((sync) => sync.updateMember(now, member));
      })
      .with({ kind: 'peer_revision' }, ({ document, daemonId, revision }) => {
        this.syncs[document].raisePeerRevision(now, daemonId, revision);
      })
      .with({ kind: 'platform_answered' }, ({ document, answer, storeRevision }) => {
        this.syncs[document].handlePlatformAnswer(now, answer, storeRevision);
      })
      .with({ kind: 'platform_failed' }, ({ document, reason }) => {
        this.syncs[document].handlePlatformFailure(now, reason);
      })
      .with({ kind: 'watch_reported' }, ({ document, answer, storeRevision }) => {
        this.syncs[document].handleWatchReport(now, answer, storeRevision);
      })
      .with({ kind: 'watch_ended' }, ({ document, end, reason }) => {
        this.syncs[document].handleWatchEnd(now, end, reason);
      })
      .with({ kind: 'pull_answered' }, ({ document, from, answer }) => {
        this.syncs[document].handlePullAnswer(now, from, answer);
      })
      .with({ kind: 'pull_failed' }, ({ document, from, reason }) => {
        this.syncs[document].handlePullFailure(now, from, reason);
      })
      .with({ kind: 'committed' }, ({ answer }) => {
        this.syncs.configuration.applyCommitted(now, answer);
      })
      .with({ kind: 'pull_requested' }, () => {})
      .exhaustive();
    if (message.kind !== 'pull_requested') return [];
    const { id, document, haveRevision } = message;
    const source = document === 'configuration' ? this.configuration : this.runners;
    return [{ kind: 'answer_pull', id, document, answer: source.updateSince(haveRevision) }];
  }
}
