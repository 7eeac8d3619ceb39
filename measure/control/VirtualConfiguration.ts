/**
 * The configuration's part of a measured daemon: its decisions, the platform, the pulls from others.
 */
import { match } from 'ts-pattern';

import { ConfigurationDecisions } from '../../src/configuration/ConfigurationDecisions.js';
import type { ConfigurationDocument } from '../../src/configuration/ConfigurationDocument.js';
import type {
  ConfigurationAction,
  ConfigurationMessage,
  DocumentUpdate,
  MemberRevisions,
} from '../../src/configuration/configurationTypes.js';
import type { LocalNews, MemberRecord } from '../../src/membership/membershipTypes.js';
import type { VirtualTime } from '../routing/VirtualTime.js';
import type { VirtualStore } from './VirtualStore.js';
import { Wake } from './Wake.js';
import type { SizeOf, Wire } from './Wire.js';
import { REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES } from './wireSize.js';

/** What the configurations of all daemons share. */
export interface VirtualConfigurationParts {
  readonly time: VirtualTime;
  readonly wire: Wire;
  readonly store: VirtualStore;
  readonly configurationAt: (peerAddress: string) => VirtualConfiguration | undefined;
}

/** Options of a {@link VirtualConfiguration}. */
export interface VirtualConfigurationOptions {
  self: MemberRecord;
  parts: VirtualConfigurationParts;
  isKilled: () => boolean;
  /** Told when a revision came into force here. */
  onApplied: (revision: number) => void;
}

/** Delay after which changes of the membership are passed to the configuration's decisions, in one batch; in ms. */
const MEMBERS_DELAY_MILLISECONDS = 50;

const PULL_REQUEST_BYTES = REQUEST_OVERHEAD_BYTES + 20;

/** Stops with its daemon. */
export class VirtualConfiguration {
  /** Processor time of the decisions, in ms of this machine. */
  decidingMilliseconds = 0;

  private readonly decisions: ConfigurationDecisions;

  private readonly self: MemberRecord;

  private readonly parts: VirtualConfigurationParts;

  private readonly isKilled: () => boolean;

  private readonly onApplied: (revision: number) => void;

  private readonly wake: Wake;

  private readonly pulls = new Map<number, (answer: DocumentUpdate) => void>();

  private readonly revisions = new Map<string, MemberRevisions>();

  private exchanges = 0;

  private membersTold = false;

  /**
   * @param options - whose it is, and what all share.
   */
  constructor({ self, parts, isKilled, onApplied }: VirtualConfigurationOptions) {
    this.self = self;
    this.parts = parts;
    this.isKilled = isKilled;
    this.onApplied = onApplied;
    this.wake = new Wake(parts.time, () => this.tell({ kind: 'tick' }));
    this.decisions = new ConfigurationDecisions({ self, random: () => parts.wire.random() });
  }

  /** @returns The configuration in force here. */
  get document(): ConfigurationDocument {
    return this.decisions.configuration;
  }

  /**
   * @param message - for the decisions.
   */
  tell(message: ConfigurationMessage): void {
    if (this.isKilled()) return;
    const before = performance.now();
    const actions = this.decisions.decide(this.parts.time.now, message);
    this.decidingMilliseconds += performance.now() - before;
    for (const action of actions) this.perform(action);
    this.wake.arm(this.decisions.nextWake());
  }

  /**
   * @param member - what membership believes of a daemon.
   * @param news - and what it knows of its revisions.
   */
  noteMember(member: MemberRecord, news: LocalNews | undefined): void {
    const { daemonId, incarnation, peerAddress, region, dataCentre, state } = member;
    const before = this.revisions.get(daemonId);
    const alive = state === 'alive';
    const revisions: MemberRevisions = {
      daemonId,
      incarnation,
      peerAddress,
      region,
      dataCentre,
      alive,
      configurationRevision: news?.configurationRevision ?? 0,
      configurationDigest: news?.configurationDigest ?? '',
      runnersRevision: 0,
    };
    this.revisions.set(daemonId, revisions);
    if (before?.alive !== alive) this.planMembers();
    const isNews = before?.configurationRevision !== revisions.configurationRevision;
    if (isNews) this.tell({ kind: 'member_revision', member: revisions });
  }

  /**
   * @param daemonId - a daemon that membership forgot.
   */
  forgetMember(daemonId: string): void {
    this.revisions.delete(daemonId);
    this.planMembers();
  }

  private planMembers(): void {
    if (this.membersTold) return;
    this.membersTold = true;
    this.parts.time.after(MEMBERS_DELAY_MILLISECONDS, () => {
      this.membersTold = false;
      this.tell({ kind: 'members', members: [...this.revisions.values()] });
    });
  }

  private perform(action: ConfigurationAction): void {
    const { store } = this.parts;
    const { daemonId } = this.self;
    if ('document' in action && action.document === 'runners') return;
    match(action)
      .with({ kind: 'read_platform' }, ({ document, haveRevision }) =>
        store.read(haveRevision, (answer, storeRevision) =>
          this.tell({ kind: 'platform_answered', document, answer, storeRevision }),
        ),
      )
      .with({ kind: 'open_watch' }, ({ document }) =>
        store.watch(daemonId, (answer, storeRevision) =>
          this.tell({ kind: 'watch_reported', document, answer, storeRevision }),
        ),
      )
      .with({ kind: 'close_watch' }, () => store.unwatch(daemonId))
      .with({ kind: 'pull' }, (pull) => this.pull(pull))
      .with({ kind: 'answer_pull' }, ({ id, answer }) => {
        this.pulls.get(id)?.(answer);
        this.pulls.delete(id);
      })
      .with({ kind: 'applied' }, ({ revision }) => this.onApplied(revision))
      .with({ kind: 'report' }, () => {})
      .exhaustive();
  }

  private pull(pull: Extract<ConfigurationAction, { kind: 'pull' }>): void {
    const { document, daemonId, peerAddress, haveRevision } = pull;
    const target = this.parts.configurationAt(peerAddress);
    if (!target) return;
    this.parts.wire.call({
      from: this.self,
      to: target.self,
      size: () => PULL_REQUEST_BYTES,
      timeoutMilliseconds: 2_000,
      deliver: (answer) =>
        target.answerPull(haveRevision, (given, size) =>
          answer(size, () =>
            this.tell({
              kind: 'pull_answered',
              document,
              from: daemonId,
              answer: given,
            }),
          ),
        ),
      fail: () => this.tell({ kind: 'pull_failed', document, from: daemonId, reason: 'lost' }),
    });
  }

  private answerPull(
    haveRevision: number,
    answer: (given: DocumentUpdate, size: SizeOf) => void,
  ): void {
    this.exchanges += 1;
    const id = this.exchanges;
    this.pulls.set(id, (given) => answer(given, () => this.pullBytes(haveRevision, given)));
    this.tell({ kind: 'pull_requested', id, document: 'configuration', haveRevision });
  }

  private pullBytes(haveRevision: number, given: DocumentUpdate): number {
    if (given.kind === 'same') return RESPONSE_OVERHEAD_BYTES;
    if (given.kind === 'whole') return RESPONSE_OVERHEAD_BYTES + given.whole.length;
    let bytes = RESPONSE_OVERHEAD_BYTES;
    for (let revision = haveRevision + 1; revision <= given.revision; revision += 1) {
      bytes += this.parts.store.changeBytes.get(revision) ?? 0;
    }
    return bytes;
  }
}
