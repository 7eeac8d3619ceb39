/**
 * One daemon's configuration decisions in virtual time, over a store in memory and over its peers' decisions:
 * for tests, recorded sessions and counting. It models no network; whoever drives it says who reaches whom.
 */
import { match } from 'ts-pattern';

import { fromBinary } from '@bufbuild/protobuf';
import { ConfigurationDecisions } from '../../src/configuration/ConfigurationDecisions.js';
import type { ConfigurationDecisionsOptions } from '../../src/configuration/ConfigurationDecisions.js';
import { changesUpdate } from '../../src/configuration/ConfigurationDocument.js';
import { ConfigurationRepository } from '../../src/configuration/ConfigurationRepository.js';
import { InstanceDirectory } from '../../src/configuration/InstanceDirectory.js';
import type { DaemonLocation } from '../../src/configuration/PeerRevisions.js';
import { CHANGES_PREFIX, INSTANCES_PREFIX } from '../../src/configuration/configurationKeys.js';
import { DOCUMENT_NAMES } from '../../src/configuration/configurationTypes.js';
import type {
  ConfigurationAction,
  ConfigurationMessage,
  DocumentUpdate,
  DocumentName,
  MemberRevisions,
} from '../../src/configuration/configurationTypes.js';
import { decodeUpdate, encodeUpdate } from '../../src/configuration/pullMessages.js';
import { seededRandom } from '../../src/random/seededRandom.js';
import type { DecisionStep } from '../../src/decisions/DecisionTask.js';
import { ConfigurationChangeSchema } from '../../src/generated/baobabdock/v1/changes_pb.js';
import { CountingPlatformStore } from '../../src/store/CountingPlatformStore.js';
import type { PlatformCallMeter } from '../../src/store/PlatformCallMeter.js';
import { CompactedError, prefixEnd } from './KeyValueState.js';
import type { KeyChange } from './KeyValueState.js';
import type { MemoryPlatformStore } from './MemoryPlatformStore.js';

/** Options of a {@link FollowingDaemon}. */
export interface FollowingDaemonOptions extends Pick<
  ConfigurationDecisionsOptions,
  'watchersPerDataCentre' | 'timing'
> {
  self: DaemonLocation;
  incarnation?: number;
  seed: number;
  store: MemoryPlatformStore;
  meter: PlatformCallMeter;
  /** Another daemon, or `undefined` when it cannot be reached now. */
  reach: (daemonId: string) => FollowingDaemon | undefined;
}

type ActionOf<Kind extends ConfigurationAction['kind']> = Extract<
  ConfigurationAction,
  { kind: Kind }
>;

interface OpenWatch {
  from: number;
  readonly ended: () => void;
}

/** Follows both documents. */
export class FollowingDaemon {
  readonly decisions: ConfigurationDecisions;

  /** Its inputs and actions, in the format of a recorded session. */
  readonly steps: DecisionStep<ConfigurationMessage, ConfigurationAction>[] = [];

  /** Each configuration revision that came into force, in order. */
  readonly appliedRevisions: number[] = [];

  /** Bytes of documents that it pulled. */
  pulledBytes = 0;

  readonly self: DaemonLocation;

  /** Seed of its random source. */
  readonly seed: number;

  private readonly incarnation: number;

  private readonly store: MemoryPlatformStore;

  private readonly meter: PlatformCallMeter;

  private readonly reach: FollowingDaemonOptions['reach'];

  private readonly repository: ConfigurationRepository;

  private readonly instances: InstanceDirectory;

  private readonly watches = new Map<DocumentName, OpenWatch>();

  private readonly mailbox: ConfigurationMessage[] = [];

  /**
   * @param options - this daemon, the store, who reaches whom.
   */
  constructor({
    self,
    incarnation = 1,
    seed,
    store,
    meter,
    reach,
    ...rest
  }: FollowingDaemonOptions) {
    this.self = self;
    this.seed = seed;
    this.incarnation = incarnation;
    this.store = store;
    this.meter = meter;
    this.reach = reach;
    const counted = new CountingPlatformStore({ store, meter });
    this.repository = new ConfigurationRepository({ store: counted });
    this.instances = new InstanceDirectory({ store: counted });
    this.decisions = new ConfigurationDecisions({ self, random: seededRandom(seed), ...rest });
  }

  /** @returns What gossip says of this daemon. */
  member(): MemberRevisions {
    const { configuration, runners } = this.decisions;
    return {
      ...this.self,
      incarnation: this.incarnation,
      peerAddress: `${this.self.daemonId}:7000`,
      alive: true,
      configurationRevision: configuration.revision(),
      configurationDigest: configuration.digest(),
      runnersRevision: runners.revision(),
    };
  }

  /**
   * Hands a message to the decisions and carries out what follows from it.
   *
   * @param now - virtual milliseconds.
   * @param message - what happened.
   */
  async send(now: number, message: ConfigurationMessage): Promise<void> {
    this.mailbox.push(message);
    for (let next = this.mailbox.shift(); next; next = this.mailbox.shift()) {
      const actions = this.decisions.decide(now, next);
      this.steps.push({ at: now, message: next, actions });
      for (const action of actions) {
        const answer = await this.perform(now, action);
        if (answer) this.mailbox.push(answer);
      }
    }
  }

  /**
   * Runs the decisions whose timers are due, and delivers the events of the watches.
   *
   * @param now - virtual milliseconds.
   */
  async run(now: number): Promise<void> {
    const wake = this.steps.length === 0 ? now : this.decisions.nextWake();
    if (wake !== undefined && wake <= now) await this.send(now, { kind: 'tick' });
    for (const document of DOCUMENT_NAMES) await this.deliver(now, document);
  }

  /** Ends the watches, as the death of the process does. */
  kill(): void {
    this.watches.forEach((watch) => watch.ended());
    this.watches.clear();
  }

  /**
   * Answers a peer.
   *
   * @param now - virtual milliseconds.
   * @param document - which document.
   * @param haveRevision - what the peer has.
   * @returns What the peer lacks, and the bytes of it on the wire.
   */
  answerPull(
    now: number,
    document: DocumentName,
    haveRevision: number,
  ): { answer: DocumentUpdate; bytes: number } {
    const message = { kind: 'pull_requested', id: 1, document, haveRevision } as const;
    const actions = this.decisions.decide(now, message);
    this.steps.push({ at: now, message, actions });
    const action = actions.find(({ kind }) => kind === 'answer_pull') as ActionOf<'answer_pull'>;
    const response = encodeUpdate(document, action.answer);
    return { answer: decodeUpdate(document, response), bytes: response.content.length };
  }

  private async perform(
    now: number,
    action: ConfigurationAction,
  ): Promise<ConfigurationMessage | undefined> {
    return match(action)
      .with({ kind: 'read_platform' }, (read) => this.read(read))
      .with({ kind: 'pull' }, (pull) => this.pull(now, pull))
      .with({ kind: 'open_watch' }, ({ document, fromStoreRevision }) => {
        this.watches.set(document, { from: fromStoreRevision, ended: this.meter.openWatch() });
        return undefined;
      })
      .with({ kind: 'close_watch' }, ({ document }) => {
        this.watches.get(document)?.ended();
        this.watches.delete(document);
        return undefined;
      })
      .with({ kind: 'applied' }, ({ document, revision }) => {
        if (document === 'configuration') this.appliedRevisions.push(revision);
        return undefined;
      })
      .with({ kind: 'report' }, { kind: 'answer_pull' }, () => undefined)
      .exhaustive();
  }

  private async read(read: ActionOf<'read_platform'>): Promise<ConfigurationMessage> {
    const { document, haveRevision, haveDigest } = read;
    try {
      const found =
        document === 'configuration'
          ? await this.repository.read(haveRevision, haveDigest)
          : await this.instances.read();
      return { kind: 'platform_answered', document, ...found };
    } catch (error) {
      return { kind: 'platform_failed', document, reason: (error as Error).message };
    }
  }

  private pull(now: number, pull: ActionOf<'pull'>): ConfigurationMessage {
    const { document, daemonId: from, haveRevision } = pull;
    const peer = this.reach(from);
    if (!peer) return { kind: 'pull_failed', document, from, reason: 'not reached' };
    const { answer, bytes } = peer.answerPull(now, document, haveRevision);
    this.pulledBytes += bytes;
    return { kind: 'pull_answered', document, from, answer };
  }

  private async deliver(now: number, document: DocumentName): Promise<void> {
    const watch = this.watches.get(document);
    if (!watch) return;
    const { outage, muteWatches } = this.store.faults.lasting;
    if (muteWatches) return;
    if (outage) {
      const message = { kind: 'watch_ended', document, end: 'lost', reason: 'outage' } as const;
      await this.send(now, message);
      return;
    }
    const prefix = document === 'configuration' ? CHANGES_PREFIX : INSTANCES_PREFIX;
    const changes: KeyChange[] = [];
    try {
      this.store.state.watch(prefix, prefixEnd(prefix), watch.from, (seen) =>
        changes.push(...seen),
      )();
    } catch (error) {
      if (!(error instanceof CompactedError)) throw error;
      const reason = error.message;
      await this.send(now, { kind: 'watch_ended', document, end: 'compacted', reason });
    }
    for (const change of changes) {
      watch.from = change.revision + 1;
      const answer = this.answerOf(document, change);
      const storeRevision = change.revision;
      if (answer) await this.send(now, { kind: 'watch_reported', document, answer, storeRevision });
    }
  }

  private answerOf(document: DocumentName, change: KeyChange): DocumentUpdate | undefined {
    const { key, value, revision } = change;
    if (document === 'configuration')
      return value && changesUpdate([fromBinary(ConfigurationChangeSchema, value)]);
    if (!value) return this.instances.toUpdate({ kind: 'delete', key, revision });
    const entry = { key, value, modifiedRevision: revision };
    return this.instances.toUpdate({ kind: 'put', entry });
  }
}
