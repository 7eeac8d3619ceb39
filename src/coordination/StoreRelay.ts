/**
 * Tells what the store says to the daemons of a large fleet, so that a few read it for all.
 *
 * What goes wrong without it: runners' heartbeats end every watch at once, so that each daemon reads the store once
 * a second whether anything has changed or not. With 80 daemons these calls cost more than everything else, and one
 * would see the store refuse calls when it is needed. Readers, a few of the coordinators, send what they have read to
 * all others; a daemon that hears of none for a while reads the store itself.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import { MessageKind, StoreChangesSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { StoreChanges } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import type { LoggedChange } from '../sync/ChangeLog.js';
import type { RoutingConfiguration } from '../routes/routeTypes.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { FleetStore, StoreFact } from '../sync/FleetStore.js';
import { syncLogEvents } from '../sync/syncFeature.js';
import type { Clock } from '../time/Clock.js';
import { coordinationLogEvents } from './coordinationFeature.js';

/** Options of a {@link StoreRelay}. */
export interface StoreRelayOptions {
  /** This daemon's name. */
  daemon: string;
  socket: FleetSocket;
  knowledge: FleetKnowledge;
  store: Pick<FleetStore, 'readConfiguration'>;
  clock: Clock;
  log: Log;
  /** Whether this daemon reads the store for others. */
  isReader: () => boolean;
  /** Whether any daemon reads the store for others. */
  hasReaders: () => boolean;
  /** All other daemons. */
  others: () => readonly HostAndPort[];
  /** Another daemon has told something. */
  onHeard?: (daemon: string) => void;
  /** This daemon has told all others. */
  onTold?: () => void;
  /** Reads the store once: what has changed since the last read, or everything. */
  readStore: (what: 'changes' | 'everything') => void;
  /** Asks another daemon for its configuration. */
  fetchConfiguration: (peerAddress: string) => Promise<RoutingConfiguration>;
  /** What is told is good for this long, in ms. */
  freshMilliseconds: number;
  /** Between two reads of the configuration, in ms: versions may follow each other faster than they matter. */
  configurationMilliseconds: number;
  /** Calls later; replaced by tests. */
  later?: (call: () => void, milliseconds: number) => void;
}

/**
 * Datagrams that go to all others at once, and the pause before the next ones, in ms: queues on the way drop what comes
 * faster.
 */
const DATAGRAMS_AT_ONCE = 3;

const PACE_MILLISECONDS = 30;

/** Facts that fit into a datagram of 1,400 bytes beside the rest; one has about 220 bytes as JSON. */
const FACTS_IN_DATAGRAM = 5;

/**
 * Messages in a row with another listing before everything is read: coordinators differ for a moment while entries
 * that lapsed with the store come back.
 */
const DIFFERENCES = 3;

/** Between two reads of the store for something that was missed, in ms: the first one has to come back before. */
const CATCH_UP_MILLISECONDS = 400;

/** What one datagram says. */
interface ToldPart {
  readonly since: number;
  readonly revision: number;
  readonly changes: readonly LoggedChange[];
  /** Of the whole list, in the last part only. */
  readonly digest?: number;
}

function chunksOf(changes: readonly LoggedChange[]): LoggedChange[][] {
  const chunks: LoggedChange[][] = [];
  for (let index = 0; index < changes.length; index += FACTS_IN_DATAGRAM) {
    chunks.push(changes.slice(index, index + FACTS_IN_DATAGRAM));
  }
  return chunks;
}

function revisionOf(changes: readonly LoggedChange[]): number {
  return Math.max(...changes.map(({ revision }) => revision));
}

/** Sends what this daemon has read, and takes what others have. */
export class StoreRelay {
  private readonly options: Required<StoreRelayOptions>;

  /** When a coordinator last told what this daemon lists too, monotonic ms. */
  private agreedAt = Number.NEGATIVE_INFINITY;

  private wasFresh = false;

  private differences = 0;

  /** The newest version of the configuration that anybody has told of, and who did last. */
  private toldVersion = 0;

  private toldBy = '';

  private isReadingConfiguration = false;

  private caughtUpAt = Number.NEGATIVE_INFINITY;

  private configurationReadAt = Number.NEGATIVE_INFINITY;

  /**
   * @param options - beliefs, and who is told.
   */
  constructor(options: StoreRelayOptions) {
    this.options = {
      later: setTimeout,
      onHeard: () => undefined,
      onTold: () => undefined,
      ...options,
    };
    options.socket.handle(MessageKind.STORE_CHANGES, (message) =>
      this.take(fromBinary(StoreChangesSchema, message)),
    );
  }

  /** @returns Whether coordinators read the store for this daemon. */
  get isFresh(): boolean {
    const { clock, freshMilliseconds, isReader, log } = this.options;
    const age = clock.monotonicMilliseconds() - this.agreedAt;
    const isFresh = !isReader() && age < freshMilliseconds;
    if (isFresh !== this.wasFresh) {
      const { relayFound, relayLost } = coordinationLogEvents;
      log.write(isFresh ? relayFound : relayLost, { ageMilliseconds: Math.round(age) });
    }
    this.wasFresh = isFresh;
    return isFresh;
  }

  /** What this daemon lists is as new as what a reader tells. */
  learntList(): void {
    this.agreedAt = this.options.clock.monotonicMilliseconds();
  }

  /** This daemon has read the store: its changes are told where it does so for others. */
  readDone(): void {
    const { isReader, hasReaders } = this.options;
    this.followConfiguration();
    if (isReader()) this.tell();
    else if (hasReaders()) this.learntList();
  }

  private tell(): void {
    const { knowledge, clock } = this.options;
    const { sinceRevision, changes } = knowledge.changeLog.recent(clock.monotonicMilliseconds());
    const parts: ToldPart[] = [];
    let since = sinceRevision;
    for (const chunk of chunksOf(changes)) {
      const revision = revisionOf(chunk);
      parts.push({ since, revision, changes: chunk });
      since = revision;
    }
    const last = parts.pop() ?? { since, changes: [] };
    const { revision, listingDigest: digest } = knowledge;
    this.sendPaced([...parts, { ...last, revision, digest }]);
    this.options.onTold();
  }

  private sendPaced(parts: readonly ToldPart[]): void {
    for (const part of parts.slice(0, DATAGRAMS_AT_ONCE)) this.send(part);
    const rest = parts.slice(DATAGRAMS_AT_ONCE);
    if (rest.length > 0) this.options.later(() => this.sendPaced(rest), PACE_MILLISECONDS);
  }

  private send(part: ToldPart): void {
    const { daemon, socket, knowledge, others } = this.options;
    const message = create(StoreChangesSchema, {
      daemon,
      revision: BigInt(part.revision),
      sinceRevision: BigInt(part.since),
      digest: part.digest,
      configurationVersion: BigInt(knowledge.routes?.configuration.version ?? 0),
      facts: part.changes.map(({ fact, revision }) => JSON.stringify({ ...fact, revision })),
    });
    socket.send(MessageKind.STORE_CHANGES, toBinary(StoreChangesSchema, message), others());
  }

  private take(message: StoreChanges): void {
    const { daemon, knowledge, clock, onHeard } = this.options;
    if (message.daemon !== daemon) onHeard(message.daemon);
    // Before the first read of its own a daemon lists nothing that changes could be added to.
    if (message.daemon === daemon || knowledge.revision === 0) return;
    this.toldVersion = Math.max(this.toldVersion, Number(message.configurationVersion));
    this.toldBy = message.daemon;
    this.followConfiguration();
    const now = clock.monotonicMilliseconds();
    // A reader tells right after a read of its own.
    knowledge.storeServed(now);
    const revision = Number(message.revision);
    if (revision < knowledge.revision) {
      this.compareOlder(message.digest, now);
      return;
    }
    const facts = message.facts.map((text) => JSON.parse(text) as StoreFact);
    if (knowledge.revision < Number(message.sinceRevision)) {
      if (facts.some(({ kind }) => kind === 'runner_lapsed')) knowledge.suspectOutage(now);
      this.catchUp('changes', message.daemon);
      return;
    }
    knowledge.applyTold({ revision, facts }, now);
    if (message.digest !== undefined) this.compare(message.daemon, message.digest, now);
  }

  /**
   * What a reader lists at an older revision says nothing against this daemon's list, but may confirm it.
   *
   * What goes wrong otherwise: daemons that started at once read at the same moments. Each knows a revision that is a
   * few heartbeats newer than the one that the readers have read just before, takes none of their messages, and
   * reads the store itself.
   */
  private compareOlder(digest: number | undefined, now: number): void {
    if (this.options.knowledge.listingDigest === digest) this.agreedAt = now;
  }

  private compare(coordinator: string, digest: number, now: number): void {
    if (this.options.knowledge.listingDigest === digest) {
      this.agreedAt = now;
      this.differences = 0;
      return;
    }
    this.differences += 1;
    if (this.differences >= DIFFERENCES) this.catchUp('everything', coordinator);
  }

  /** A datagram was lost: the store has what it said. */
  private catchUp(what: 'changes' | 'everything', coordinator: string): void {
    const { knowledge, clock, log, readStore } = this.options;
    const now = clock.monotonicMilliseconds();
    if (now - this.caughtUpAt < CATCH_UP_MILLISECONDS) return;
    this.caughtUpAt = now;
    this.differences = 0;
    const { revision } = knowledge;
    log.write(coordinationLogEvents.listingDiffers, { coordinator, revision, reads: what });
    readStore(what);
  }

  /**
   * Asks who has told of a newer configuration for it, and the store where that fails.
   *
   * What goes wrong otherwise: a daemon has learnt from another that the store has reached a revision, and reads only
   * what came after it. A version that lay before would never be in force there; so it is read until it is known.
   */
  private followConfiguration(): void {
    const { knowledge, clock, configurationMilliseconds } = this.options;
    const known = knowledge.routes?.configuration.version ?? 0;
    const now = clock.monotonicMilliseconds();
    const isDue = now - this.configurationReadAt >= configurationMilliseconds;
    if (this.toldVersion <= known || !isDue || this.isReadingConfiguration) return;
    this.configurationReadAt = now;
    this.isReadingConfiguration = true;
    void this.readConfiguration().finally(() => {
      this.isReadingConfiguration = false;
    });
  }

  private async readConfiguration(): Promise<void> {
    const { knowledge, log, store, fetchConfiguration } = this.options;
    const address = knowledge.daemons.get(this.toldBy)?.peerAddress;
    try {
      if (address === undefined) throw new Error('it is not listed');
      knowledge.applyConfiguration(await fetchConfiguration(address));
    } catch (error) {
      log.write(syncLogEvents.peerFailed, { address, error: (error as Error).message });
      await this.readConfigurationFromStore(store);
    }
  }

  private async readConfigurationFromStore(
    store: Pick<FleetStore, 'readConfiguration'>,
  ): Promise<void> {
    const { knowledge, log } = this.options;
    try {
      const configuration = await store.readConfiguration();
      if (configuration) knowledge.applyConfiguration(configuration);
    } catch (error) {
      const fields = { error: (error as Error).message, during: 'configuration' };
      log.write(syncLogEvents.storeLost, fields);
    }
  }
}
