/**
 * Carries out the actions of the configuration's decisions: reads and watches of the platform's store, pulls
 * from peers and answers to their pulls. It notifies the daemon when a new revision is in force.
 */
import { create, fromBinary } from '@bufbuild/protobuf';
import { match } from 'ts-pattern';

import { DecisionTask } from '../decisions/DecisionTask.js';
import type { DecisionStep } from '../decisions/DecisionTask.js';
import { ConfigurationChangeSchema } from '../generated/baobabdock/v1/changes_pb.js';
import type { Configuration, RunnerList } from '../generated/baobabdock/v1/configuration_pb.js';
import { PullDocumentResponseSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type {
  Member,
  PullDocumentRequest,
  PullDocumentResponse,
} from '../generated/baobabdock/v1/peers_pb.js';
import type { Log } from '../logging/Log.js';
import type { PeerLink } from '../peers/PeerLink.js';
import type { PlatformStore, WatchEvent } from '../store/PlatformStore.js';
import type { Clock } from '../time/Clock.js';
import { changesUpdate } from './ConfigurationDocument.js';
import { ConfigurationDecisions } from './ConfigurationDecisions.js';
import { configurationLogEvents } from './configurationFeature.js';
import type { ConfigurationSettings } from './configurationFeature.js';
import { CHANGES_PREFIX, INSTANCES_PREFIX } from './configurationKeys.js';
import { ConfigurationRepository } from './ConfigurationRepository.js';
import type {
  ConfigurationAction,
  ConfigurationMessage,
  ConfigurationReport,
  DocumentUpdate,
  DocumentName,
} from './configurationTypes.js';
import { InstanceDirectory } from './InstanceDirectory.js';
import { toMemberRevisions } from './memberRevisions.js';
import type { DaemonLocation } from './PeerRevisions.js';
import { decodeUpdate, encodeUpdate, isDocumentName } from './pullMessages.js';

type ActionOf<Kind extends ConfigurationAction['kind']> = Extract<
  ConfigurationAction,
  { kind: Kind }
>;

const REPORTED_EVENTS = {
  applied: configurationLogEvents.applied,
  behind_refused: configurationLogEvents.behindRefused,
  content_differs: configurationLogEvents.contentDiffers,
  platform_failed: configurationLogEvents.platformFailed,
  pull_failed: configurationLogEvents.pullFailed,
  watch_started: configurationLogEvents.watchStarted,
  watch_stopped: configurationLogEvents.watchStopped,
} as const satisfies Record<ConfigurationReport, unknown>;

/** Callbacks for new revisions that are in force on this daemon; they must not throw. */
export interface ConfigurationListener {
  onConfiguration?: (configuration: Configuration, revision: number, digest: string) => void;
  onRunners?: (runners: RunnerList, revision: number) => void;
}

/** Options of a {@link ConfigurationTask}. */
export interface ConfigurationTaskOptions {
  self: DaemonLocation;
  store: PlatformStore;
  link: PeerLink;
  clock: Clock;
  log: Log;
  settings: ConfigurationSettings;
  /** Random source: at least 0, below 1. */
  random: () => number;
  listener?: ConfigurationListener;
  record?: (step: DecisionStep<ConfigurationMessage, ConfigurationAction>) => void;
}

/** Runs the configuration's decisions and does their I/O. */
export class ConfigurationTask extends DecisionTask<ConfigurationMessage, ConfigurationAction> {
  /** The decisions, which hold both documents. */
  readonly documents: ConfigurationDecisions;

  /** Access to the configuration in the store; shared with the editor. */
  readonly repository: ConfigurationRepository;

  private readonly store: PlatformStore;

  private readonly instances: InstanceDirectory;

  private readonly link: PeerLink;

  private readonly log: Log;

  private readonly pullTimeoutMilliseconds: number;

  private readonly listener: ConfigurationListener;

  private readonly watches = new Map<DocumentName, AbortController>();

  /** Resolvers of peers' pull requests that have no answer yet, by request id. */
  private readonly pendingPulls = new Map<number, (response: PullDocumentResponse) => void>();

  private lastPullRequestId = 0;

  /**
   * @param options - this daemon's location, the store, the link to peers, and settings.
   */
  constructor(options: ConfigurationTaskOptions) {
    const { self, random, settings, clock, record = () => {} } = options;
    const { watchersPerDataCentre } = settings;
    const decisions = new ConfigurationDecisions({
      self,
      random,
      timing: settings,
      watchersPerDataCentre,
    });
    super({ decisions, clock, tick: { kind: 'tick' }, record });
    const { store, link, log, listener = {} } = options;
    this.documents = decisions;
    this.store = store;
    this.repository = new ConfigurationRepository({ store, ...settings });
    this.instances = new InstanceDirectory({
      store,
      onBadInstance: (key, reason) =>
        log.write(configurationLogEvents.badInstance, { key, reason }),
    });
    this.link = link;
    this.log = log;
    this.pullTimeoutMilliseconds = settings.pullTimeoutMilliseconds;
    this.listener = listener;
  }

  /** Starts. A daemon that learns of no other daemon reads the store after a grace period. */
  start(): void {
    this.send({ kind: 'tick' });
  }

  override stop(): void {
    super.stop();
    this.watches.forEach((watch) => watch.abort());
    this.watches.clear();
    this.pendingPulls.forEach((answer) =>
      answer(create(PullDocumentResponseSchema, { kind: 'same' })),
    );
    this.pendingPulls.clear();
  }

  /**
   * Replaces the membership list.
   *
   * @param members - the whole membership list.
   */
  updateMembers(members: readonly Member[]): void {
    this.send({ kind: 'members', members: members.map(toMemberRevisions) });
  }

  /**
   * Updates one member. Most records contain no newer revision and many arrive each second, so only those that
   * matter are passed on.
   *
   * @param member - a record that arrived by gossip.
   */
  updateMember(member: Member): void {
    if (!this.mayContainUpdate(member)) return;
    this.send({ kind: 'member_revision', member: toMemberRevisions(member) });
  }

  /**
   * Handles a peer's report of the revision that it has in force.
   *
   * @param newer - the peer, the document and the revision.
   */
  handlePeerRevision(newer: { document: DocumentName; daemonId: string; revision: number }): void {
    const { document, daemonId, revision } = newer;
    this.send({ kind: 'peer_revision', document, daemonId, revision });
  }

  /**
   * Serves `PullDocument` to a peer.
   *
   * @param request - the document and the revision that the peer has.
   * @returns The update that the peer lacks; `same` for an unknown document.
   */
  pullDocument({ document, haveRevision }: PullDocumentRequest): Promise<PullDocumentResponse> {
    if (!isDocumentName(document))
      return Promise.resolve(create(PullDocumentResponseSchema, { kind: 'same' }));
    this.lastPullRequestId += 1;
    const id = this.lastPullRequestId;
    return new Promise((resolve) => {
      this.pendingPulls.set(id, resolve);
      this.send({ kind: 'pull_requested', id, document, haveRevision: Number(haveRevision) });
    });
  }

  protected override perform(action: ConfigurationAction): void {
    match(action)
      .with({ kind: 'read_platform' }, (read) => {
        this.readPlatform(read).then((message) => this.send(message));
      })
      .with({ kind: 'open_watch' }, ({ document, fromStoreRevision }) => {
        this.watch(document, fromStoreRevision);
      })
      .with({ kind: 'close_watch' }, ({ document }) => {
        this.watches.get(document)?.abort();
        this.watches.delete(document);
      })
      .with({ kind: 'pull' }, (pull) => {
        this.pull(pull).then((message) => this.send(message));
      })
      .with({ kind: 'answer_pull' }, ({ id, document, answer }) => {
        this.pendingPulls.get(id)?.(encodeUpdate(document, answer));
        this.pendingPulls.delete(id);
      })
      .with({ kind: 'applied' }, ({ document }) => this.notifyListener(document))
      .with({ kind: 'report' }, ({ event, fields }) => {
        this.log.write(REPORTED_EVENTS[event], fields);
      })
      .exhaustive();
  }

  private mayContainUpdate(member: Member): boolean {
    const { configuration, runners } = this.documents;
    const revision = Number(member.configurationRevision);
    const differs = member.configurationDigest !== configuration.digest();
    return (
      revision > configuration.revision() ||
      (revision === configuration.revision() && differs) ||
      Number(member.runnersRevision) > runners.revision()
    );
  }

  private notifyListener(document: DocumentName): void {
    const { configuration, runners } = this.documents;
    if (document === 'runners') {
      this.listener.onRunners?.(runners.list(), runners.revision());
      return;
    }
    const state = configuration.state();
    this.listener.onConfiguration?.(state.configuration(), state.revision, state.digest);
  }

  private async readPlatform(read: ActionOf<'read_platform'>): Promise<ConfigurationMessage> {
    const { document, haveRevision, haveDigest } = read;
    try {
      const { answer, storeRevision } =
        document === 'configuration'
          ? await this.repository.read(haveRevision, haveDigest)
          : await this.instances.read();
      return { kind: 'platform_answered', document, answer, storeRevision };
    } catch (error) {
      return { kind: 'platform_failed', document, reason: (error as Error).message };
    }
  }

  private async watch(document: DocumentName, fromStoreRevision: number): Promise<void> {
    const stop = new AbortController();
    this.watches.set(document, stop);
    const prefix = document === 'configuration' ? CHANGES_PREFIX : INSTANCES_PREFIX;
    let reason = "the platform's store ended the watch";
    try {
      for await (const event of this.store.watch(prefix, fromStoreRevision, stop.signal)) {
        // Ignores events that a closed watch still delivers: the decisions have already left that state.
        if (stop.signal.aborted) return;
        if (event.kind === 'compacted') {
          this.send({ kind: 'watch_ended', document, end: 'compacted', reason: 'compacted' });
          return;
        }
        this.sendWatchEvent(document, event);
      }
    } catch (error) {
      reason = (error as Error).message;
    }
    if (!stop.signal.aborted) this.send({ kind: 'watch_ended', document, end: 'lost', reason });
  }

  private sendWatchEvent(
    document: DocumentName,
    event: Exclude<WatchEvent, { kind: 'compacted' }>,
  ): void {
    const storeRevision = event.kind === 'put' ? event.entry.modifiedRevision : event.revision;
    const answer =
      document === 'runners' ? this.instances.toUpdate(event) : this.toConfigurationUpdate(event);
    if (answer) this.send({ kind: 'watch_reported', document, answer, storeRevision });
  }

  /** Returns `undefined` for deletions: these only remove changes that are too old for the history. */
  private toConfigurationUpdate(
    event: Exclude<WatchEvent, { kind: 'compacted' }>,
  ): DocumentUpdate | undefined {
    if (event.kind === 'delete') return undefined;
    return changesUpdate([fromBinary(ConfigurationChangeSchema, event.entry.value)]);
  }

  private async pull(pull: ActionOf<'pull'>): Promise<ConfigurationMessage> {
    const { document, daemonId: from, peerAddress, haveRevision } = pull;
    try {
      const response = await this.link
        .clientFor(from, peerAddress)
        .pullDocument(
          { document, haveRevision: BigInt(haveRevision) },
          { timeoutMs: this.pullTimeoutMilliseconds },
        );
      const answer = decodeUpdate(document, response);
      return { kind: 'pull_answered', document, from, answer };
    } catch (error) {
      return { kind: 'pull_failed', document, from, reason: (error as Error).message };
    }
  }
}
