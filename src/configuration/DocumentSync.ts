/**
 * Keeps a daemon's copy of one document up to date: by a watch on the platform's store if the daemon is one
 * of its data centre's watchers, and by gossip and pulls from peers otherwise.
 *
 * It does no I/O: callers pass in the time and the random source, and carry out the actions that it returns.
 */
import { ChartInterpreter } from '../charts/ChartInterpreter.js';
import type { EventOf, StateOf } from '../charts/chartTypes.js';
import chart from './configuration.chart.json' with { type: 'json' };
import type {
  ConfigurationAction,
  ConfigurationReport,
  DocumentUpdate,
  DocumentSource,
  MemberRevisions,
  WatchEnd,
} from './configurationTypes.js';
import { PeerRevisions } from './PeerRevisions.js';
import type { DaemonLocation } from './PeerRevisions.js';
import { SyncSchedule } from './SyncSchedule.js';
import type { SyncTiming } from './SyncSchedule.js';
import type { SyncedDocument, ApplyResult } from './SyncedDocument.js';

type SyncState = StateOf<typeof chart>;
type SyncEvent = EventOf<typeof chart>;

const interpreter = new ChartInterpreter<SyncState, SyncEvent>({ chart });

/** Options of a {@link DocumentSync}. */
export interface DocumentSyncOptions {
  document: SyncedDocument;
  self: DaemonLocation;
  timing: SyncTiming;
  watchersPerDataCentre: number;
  /** Seeded random source: at least 0, below 1. */
  random: () => number;
}

/** Result of receiving an update: the document's own result, or refused as older than what the fleet has. */
type ReceiveResult = ApplyResult | 'behind';

/** State machine that synchronizes one document; its states are in configuration.chart.json. */
export class DocumentSync {
  private readonly document: SyncedDocument;

  private readonly watchersPerDataCentre: number;

  private readonly peers: PeerRevisions;

  private readonly schedule: SyncSchedule;

  private state: SyncState = interpreter.initial();

  /** Store revision up to which changes have been received; 0 if unknown. */
  private storeRevision = 0;

  /** Id of the peer that a pull is in progress from. */
  private pullingFrom: string | undefined;

  /** Set when changes cannot be applied to the local content: the whole document has to be fetched. */
  private needsWholeDocument = false;

  /** Revision whose digest a read of the store has confirmed. */
  private confirmedRevision = 0;

  private actions: ConfigurationAction[] = [];

  /**
   * @param options - the document, this daemon's location, timing, number of watchers and random source.
   */
  constructor({ document, self, timing, watchersPerDataCentre, random }: DocumentSyncOptions) {
    this.document = document;
    this.watchersPerDataCentre = watchersPerDataCentre;
    this.peers = new PeerRevisions({ document: document.name, self, random });
    this.schedule = new SyncSchedule({ timing, random });
  }

  /** @returns The current state; see configuration.chart.json. */
  get syncState(): SyncState {
    return this.state;
  }

  /** @returns When the next task is due, in monotonic milliseconds; `undefined` if none is. */
  nextWake(): number | undefined {
    return this.schedule.nextWake();
  }

  /** Replaces the whole membership list. */
  replaceMembers(now: number, members: readonly MemberRevisions[]): void {
    this.peers.replaceMembers(members);
    members.forEach((member) => this.compareDigest(now, member));
    this.runDueTasks(now);
  }

  /** Updates one member from a record that arrived by gossip. */
  updateMember(now: number, member: MemberRevisions): void {
    this.peers.updateMember(member);
    this.compareDigest(now, member);
    this.schedulePull(now);
  }

  /** Records a revision that a peer has reported for itself. */
  raisePeerRevision(now: number, daemonId: string, revision: number): void {
    this.peers.raiseRevision(daemonId, revision);
    this.schedulePull(now);
  }

  /** Updates the watcher role and runs all tasks that are due. */
  runDueTasks(now: number): void {
    this.updateRole(now);
    if (this.schedule.takeDue('retry', now))
      this.transition(
        now,
        this.storeRevision > 0 && !this.needsWholeDocument ? 'resume_due' : 'retry_due',
      );
    if (this.schedule.takeDue('check', now)) this.transition(now, 'check_due');
    if (this.schedule.takeDue('compare', now)) this.requestPlatformRead();
    if (this.schedule.takeDue('pull', now)) this.requestPull(now);
    this.schedulePull(now);
  }

  /** Handles the result of a read of the store. */
  handlePlatformAnswer(now: number, answer: DocumentUpdate, storeRevision: number): void {
    const result = this.receive(answer, 'platform');
    const confirmed = answer.kind === 'same' && answer.revision === this.document.revision();
    if (confirmed) this.confirmedRevision = answer.revision;
    this.needsWholeDocument = result === 'differs';
    if (this.state !== 'reading') return;
    this.storeRevision = storeRevision;
    this.transition(now, result === 'differs' || result === 'behind' ? 'failed' : 'read_done');
    this.schedulePull(now);
  }

  /** Handles a failed read of the store. */
  handlePlatformFailure(now: number, reason: string): void {
    this.report('platform_failed', { reason });
    this.transition(now, 'failed');
  }

  /** Handles an update that the watch reported. */
  handleWatchReport(now: number, answer: DocumentUpdate, storeRevision: number): void {
    const result = this.receive(answer, 'watch');
    if (this.state !== 'watching') return;
    this.schedule.resetBackOff();
    this.storeRevision = Math.max(this.storeRevision, storeRevision);
    if (result === 'differs') this.needsWholeDocument = true;
    if (result !== 'applied' && result !== 'nothing') this.transition(now, 'gap_found');
    this.schedulePull(now);
  }

  /** Handles the end of the watch. */
  handleWatchEnd(now: number, end: WatchEnd, reason: string): void {
    if (this.state !== 'watching') return;
    this.report('platform_failed', { reason });
    this.transition(now, end === 'lost' ? 'watch_lost' : 'watch_compacted');
  }

  /** Handles a peer's response to a pull. */
  handlePullAnswer(now: number, from: string, answer: DocumentUpdate): void {
    if (this.pullingFrom === from) this.pullingFrom = undefined;
    const result = this.receive(answer, 'peer');
    if (result === 'applied') {
      this.needsWholeDocument = false;
      // Peers were ahead of this daemon's own watch, which should have reported the change first: the watch
      // may be open but no longer deliver events, so the store is read and a new watch opened.
      this.transition(now, 'gap_found');
    } else {
      if (result === 'gap' || result === 'differs') this.needsWholeDocument = true;
      else this.peers.lowerRevision(from, answer.revision);
      this.peers.avoidPeer(from, now + this.schedule.timing.peerAvoidMilliseconds);
    }
    this.schedulePull(now);
  }

  /** Handles a failed pull. */
  handlePullFailure(now: number, from: string, reason: string): void {
    if (this.pullingFrom === from) this.pullingFrom = undefined;
    this.report('pull_failed', { from, reason });
    this.peers.avoidPeer(from, now + this.schedule.timing.peerAvoidMilliseconds);
    this.schedulePull(now);
  }

  /** Applies a change that this daemon itself committed to the store. */
  applyCommitted(now: number, answer: DocumentUpdate): void {
    this.receive(answer, 'commit');
    this.schedulePull(now);
  }

  /** @returns The actions requested since the last call. */
  takeActions(): ConfigurationAction[] {
    const { actions } = this;
    this.actions = [];
    return actions;
  }

  private updateRole(now: number): void {
    // A daemon that has just started knows no other daemon and would choose itself as the only watcher. After
    // a restart of the whole fleet, all daemons would then read the whole document from the store at once.
    const waited = this.schedule.isStartGraceOver(now);
    if (!this.peers.hasLivePeers && !waited) return;
    const chosen = this.peers.isWatcher(this.watchersPerDataCentre);
    this.transition(now, chosen ? 'chosen' : 'not_chosen');
  }

  private transition(now: number, event: SyncEvent): void {
    const before = this.state;
    const { state, accepted } = interpreter.next(before, event);
    if (!accepted) return;
    this.state = state;
    const document = this.document.name;
    if (before === 'watching') {
      this.schedule.watchEnded(now);
      this.actions.push({ kind: 'close_watch', document });
      this.report('watch_stopped', { cause: event });
    }
    if (state === 'reading') this.requestPlatformRead();
    if (state === 'backing_off') this.schedule.backOff(now);
    else this.schedule.cancel('retry');
    if (state !== 'watching') return;
    this.schedule.watchStarted(now);
    const fromStoreRevision = this.storeRevision + 1;
    this.actions.push({ kind: 'open_watch', document, fromStoreRevision });
    this.report('watch_started', { fromStoreRevision });
  }

  private requestPlatformRead(): void {
    this.actions.push({
      kind: 'read_platform',
      document: this.document.name,
      haveRevision: this.needsWholeDocument ? 0 : this.document.revision(),
      haveDigest: this.document.digest(),
    });
  }

  private receive(answer: DocumentUpdate, source: DocumentSource): ReceiveResult {
    const offered = answer.revision;
    const fleetRevision = this.peers.highestKnownRevision();
    const have = this.document.revision();
    // A restarted daemon has no revision of its own to compare with. The store, or a peer that was cut off,
    // may offer an older revision than the fleet has in force; applying it would make a withdrawn key valid
    // again on this daemon.
    const isBehindFleet = have === 0 && offered < fleetRevision;
    if (isBehindFleet || (source === 'platform' && offered < have))
      this.report('behind_refused', { source, offered, known: Math.max(fleetRevision, have) });
    if (isBehindFleet) return 'behind';
    const result = this.applySafely(answer);
    if (result === 'differs') this.report('content_differs', { source, offered });
    if (this.document.revision() === have && result !== 'applied') return result;
    const { name: document } = this.document;
    const [revision, digest] = [this.document.revision(), this.document.digest()];
    this.actions.push({ kind: 'applied', document, revision, digest, source });
    this.report('applied', { revision, before: have, source });
    return result;
  }

  /** Treats a malformed update like one with wrong content, so that it does not crash the daemon. */
  private applySafely(answer: DocumentUpdate): ApplyResult {
    try {
      return this.document.apply(answer);
    } catch {
      return 'differs';
    }
  }

  /**
   * Compares this daemon's digest with a peer's at the same revision, and schedules a read of the store if
   * they differ. Otherwise some daemons would apply different accounts and limits without anybody noticing.
   */
  private compareDigest(now: number, member: MemberRevisions): void {
    const revision = this.document.revision();
    const comparable =
      this.document.digest() !== '' &&
      member.configurationDigest !== '' &&
      member.configurationRevision === revision &&
      revision > this.confirmedRevision;
    if (!comparable || member.configurationDigest === this.document.digest()) return;
    if (this.schedule.scheduleCompare(now))
      this.report('content_differs', { source: member.daemonId, offered: revision });
  }

  private schedulePull(now: number): void {
    const newer =
      this.peers.highestLiveRevision() > this.document.revision() || this.needsWholeDocument;
    if (!newer) this.schedule.cancel('pull');
    else if (this.pullingFrom === undefined)
      this.schedule.schedulePull(now, this.state === 'watching' && !this.needsWholeDocument);
  }

  private requestPull(now: number): void {
    const have = this.document.revision();
    const lowestAtStart = have === 0 ? this.peers.highestLiveRevision() : 0;
    const peer = this.peers.choosePeer(
      now,
      Math.max(lowestAtStart, this.needsWholeDocument ? have : have + 1),
    );
    if (!peer) return;
    this.pullingFrom = peer.daemonId;
    const { daemonId, peerAddress } = peer;
    const haveRevision = this.needsWholeDocument ? 0 : have;
    const document = this.document.name;
    this.actions.push({ kind: 'pull', document, daemonId, peerAddress, haveRevision });
  }

  private report(
    event: ConfigurationReport,
    fields: Readonly<Record<string, string | number | boolean>>,
  ): void {
    const document = this.document.name;
    this.actions.push({ kind: 'report', event, fields: { document, ...fields } });
  }
}
