/**
 * Carries out what the configuration's decisions ask for: reads and watches at the platform, pulls from
 * peers, answers to peers; and tells the daemon what is in force.
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
import { changesAnswer } from './ConfigurationDocument.js';
import { ConfigurationDecisions } from './ConfigurationDecisions.js';
import { configurationLogEvents } from './configurationFeature.js';
import type { ConfigurationSettings } from './configurationFeature.js';
import { CHANGES_PREFIX, INSTANCES_PREFIX } from './configurationKeys.js';
import { ConfigurationRepository } from './ConfigurationRepository.js';
import type {
  ConfigurationAction,
  ConfigurationMessage,
  ConfigurationReport,
  DocumentAnswer,
  DocumentName,
} from './configurationTypes.js';
import { InstanceDirectory } from './InstanceDirectory.js';
import { toMemberRevisions } from './memberRevisions.js';
import type { DaemonPlace } from './PeerRevisions.js';
import { decodeAnswer, encodeAnswer, isDocumentName } from './pullMessages.js';

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

/** Who hears of what comes into force here; none of it may throw. */
export interface ConfigurationListener {
  onConfiguration?: (configuration: Configuration, revision: number, digest: string) => void;
  onRunners?: (runners: RunnerList, revision: number) => void;
}

/** Options of a {@link ConfigurationTask}. */
export interface ConfigurationTaskOptions {
  self: DaemonPlace;
  store: PlatformStore;
  link: PeerLink;
  clock: Clock;
  log: Log;
  settings: ConfigurationSettings;
  /** From 0 up to 1. */
  random: () => number;
  listener?: ConfigurationListener;
  record?: (step: DecisionStep<ConfigurationMessage, ConfigurationAction>) => void;
}

/** Owns the watches at the platform and the pulls from peers. */
export class ConfigurationTask extends DecisionTask<ConfigurationMessage, ConfigurationAction> {
  /** What is in force here, and why. */
  readonly documents: ConfigurationDecisions;

  /** The configuration at the platform; shared with the editor. */
  readonly repository: ConfigurationRepository;

  private readonly store: PlatformStore;

  private readonly instances: InstanceDirectory;

  private readonly link: PeerLink;

  private readonly log: Log;

  private readonly pullTimeoutMilliseconds: number;

  private readonly listener: ConfigurationListener;

  private readonly watches = new Map<DocumentName, AbortController>();

  private readonly asked = new Map<number, (response: PullDocumentResponse) => void>();

  private askedCounter = 0;

  /**
   * @param options - this daemon, the platform, the peers.
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

  /** Begins; a daemon that hears of no other one reads the platform after a while. */
  start(): void {
    this.send({ kind: 'tick' });
  }

  override stop(): void {
    super.stop();
    this.watches.forEach((watch) => watch.abort());
    this.watches.clear();
    this.asked.forEach((answer) => answer(create(PullDocumentResponseSchema, { kind: 'same' })));
    this.asked.clear();
  }

  /**
   * @param members - the whole picture of the membership.
   */
  updateMembers(members: readonly Member[]): void {
    this.send({ kind: 'members', members: members.map(toMemberRevisions) });
  }

  /**
   * Takes one record that gossip brought. Most of them say nothing new, and there are many a second.
   *
   * @param member - the record.
   */
  peerRevision(member: Member): void {
    if (!this.isNews(member)) return;
    this.send({ kind: 'member_revision', member: toMemberRevisions(member) });
  }

  /**
   * @param newer - a daemon that said it has something newer in force.
   */
  newerRevision(newer: { document: DocumentName; daemonId: string; revision: number }): void {
    const { document, daemonId, revision } = newer;
    this.send({ kind: 'peer_revision', document, daemonId, revision });
  }

  /**
   * Serves `PullDocument` to a peer.
   *
   * @param request - what the peer has.
   * @returns What it lacks; for an unknown document, nothing newer.
   */
  pullDocument({ document, haveRevision }: PullDocumentRequest): Promise<PullDocumentResponse> {
    if (!isDocumentName(document))
      return Promise.resolve(create(PullDocumentResponseSchema, { kind: 'same' }));
    this.askedCounter += 1;
    const id = this.askedCounter;
    return new Promise((resolve) => {
      this.asked.set(id, resolve);
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
        this.asked.get(id)?.(encodeAnswer(document, answer));
        this.asked.delete(id);
      })
      .with({ kind: 'applied' }, ({ document }) => this.tellApplied(document))
      .with({ kind: 'report' }, ({ event, fields }) => {
        this.log.write(REPORTED_EVENTS[event], fields);
      })
      .exhaustive();
  }

  private isNews(member: Member): boolean {
    const { configuration, runners } = this.documents;
    const revision = Number(member.configurationRevision);
    const differs = member.configurationDigest !== configuration.digest();
    return (
      revision > configuration.revision() ||
      (revision === configuration.revision() && differs) ||
      Number(member.runnersRevision) > runners.revision()
    );
  }

  private tellApplied(document: DocumentName): void {
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
    let reason = 'the platform ended the watch';
    try {
      for await (const event of this.store.watch(prefix, fromStoreRevision, stop.signal)) {
        // What a closed watch still delivers belongs to a state that the decisions have left.
        if (stop.signal.aborted) return;
        if (event.kind === 'compacted') {
          this.send({ kind: 'watch_ended', document, end: 'compacted', reason: 'compacted' });
          return;
        }
        this.report(document, event);
      }
    } catch (error) {
      reason = (error as Error).message;
    }
    if (!stop.signal.aborted) this.send({ kind: 'watch_ended', document, end: 'lost', reason });
  }

  private report(document: DocumentName, event: Exclude<WatchEvent, { kind: 'compacted' }>): void {
    const storeRevision = event.kind === 'put' ? event.entry.modifiedRevision : event.revision;
    const answer = document === 'runners' ? this.instances.changeOf(event) : this.changeOf(event);
    if (answer) this.send({ kind: 'watch_reported', document, answer, storeRevision });
  }

  /** Deletions are of changes that fell out of the history. */
  private changeOf(event: Exclude<WatchEvent, { kind: 'compacted' }>): DocumentAnswer | undefined {
    if (event.kind === 'delete') return undefined;
    return changesAnswer([fromBinary(ConfigurationChangeSchema, event.entry.value)]);
  }

  private async pull(pull: ActionOf<'pull'>): Promise<ConfigurationMessage> {
    const { document, daemonId: from, peerAddress, haveRevision } = pull;
    try {
      const response = await this.link
        .to(from, peerAddress)
        .pullDocument(
          { document, haveRevision: BigInt(haveRevision) },
          { timeoutMs: this.pullTimeoutMilliseconds },
        );
      const answer = decodeAnswer(document, response);
      return { kind: 'pull_answered', document, from, answer };
    } catch (error) {
      return { kind: 'pull_failed', document, from, reason: (error as Error).message };
    }
  }
}
