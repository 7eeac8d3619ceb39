/**
 * Relays what the store says to the daemons of a large fleet, so that a few daemons read it for all.
 *
 * What goes wrong without it: heartbeats of runners end every watch at once, so that each daemon reads the store once
 * a second whether or not anything has changed. With 80 daemons these calls cost more than everything else, and the
 * store refuses calls when it is needed. Instead the store readers, a few of the coordinators, broadcast what they
 * have read; a daemon that receives no broadcast for a while reads the store itself.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import { MessageKind, StoreChangesSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { StoreChanges } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import type { LoggedChange } from '../sync/FleetChangeLog.js';
import type { BrittleService } from '../runners/BrittleRunners.js';
import { configurationVersionOf } from '../sync/configurationVersionOf.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { FleetStore, StoreFact } from '../sync/FleetStore.js';
import { epochOf, revisionFields } from '../sync/orderedRevision.js';
import type { Clock } from '../time/Clock.js';
import { ConfigurationFetcher } from './ConfigurationFetcher.js';
import type { FetchConfiguration } from './ConfigurationFetcher.js';
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
  /** Addresses of all other daemons. */
  others: () => readonly HostAndPort[];
  /** Called for each message, with the name of the daemon that sent it. */
  onMessage?: (daemon: string) => void;
  /** Returns the services whose runners have said that they are brittle. */
  brittle?: () => readonly BrittleService[];
  /** Called for each service that another daemon says is brittle. */
  onBrittle?: (told: BrittleService) => void;
  /** Called after this daemon has broadcast to all others. */
  onBroadcast?: () => void;
  /** Reads the store once: the changes since the last read, or everything. */
  readStore: (what: 'changes' | 'everything') => void;
  /** Fetches the configuration of another daemon. */
  fetchConfiguration: FetchConfiguration;
  /** How long a broadcast counts as current, in ms. */
  freshMilliseconds: number;
  /**
   * Shortest time between two reads of the configuration, in ms: versions may change faster than is worth following.
   */
  configurationMilliseconds: number;
  /** Schedules a call after a delay in ms; replaced by tests. */
  later?: (call: () => void, milliseconds: number) => unknown;
}

/**
 * Datagrams that go to all others at once. Those that follow are delayed by the pause below, in ms, since queues on
 * the network path drop datagrams that arrive faster.
 */
const DATAGRAMS_AT_ONCE = 3;

/** Pause after each group of datagrams, in ms. */
const PACE_MILLISECONDS = 30;

/** Facts that fit into a datagram of 1,400 bytes beside its other fields; a fact has about 220 bytes as JSON. */
const FACTS_IN_DATAGRAM = 5;

/**
 * Consecutive broadcasts with a different digest before everything is read. Coordinators differ briefly while entries
 * that expired during a store outage come back.
 */
const DIFFERENCES_BEFORE_FULL_READ = 3;

/**
 * Shortest time between two reads of the store after a missed message, in ms: the first read has to complete before
 * the next.
 */
const CATCH_UP_MILLISECONDS = 400;

/**
 * Delay after which a change in one datagram is broadcast once more, in ms. For a daemon that has lost the datagram, the
 * broadcast after the next read may be too late.
 */
const REPEAT_MILLISECONDS = 100;

/** The content of one datagram. */
interface BroadcastPart {
  readonly since: number;
  readonly revision: number;
  readonly changes: readonly LoggedChange[];
  /** Digest of the whole listing; in the last part only. */
  readonly digest?: number;
}

/**
 * Divides changes among datagrams. A receiver skips the changes of revisions that it has reached, so that only the last
 * datagram with changes of a revision may reach it.
 *
 * @param changes - ordered by revision.
 * @param sinceRevision - the revision that they follow.
 * @returns The datagrams; the changes of a revision are split only if they do not fit into one.
 */
function partsOf(changes: readonly LoggedChange[], sinceRevision: number): BroadcastPart[] {
  const parts: BroadcastPart[] = [];
  let since = sinceRevision;
  let start = 0;
  while (start < changes.length) {
    let end = Math.min(start + FACTS_IN_DATAGRAM, changes.length);
    const isSplit = () => changes[end - 1]?.revision === changes[end]?.revision;
    while (end > start && isSplit()) end -= 1;
    const isTooLong = end === start;
    if (isTooLong) end = start + FACTS_IN_DATAGRAM;
    const chunk = changes.slice(start, end);
    const revision = isTooLong ? since : (chunk.at(-1)?.revision ?? since);
    parts.push({ since, revision, changes: chunk });
    since = revision;
    start = end;
  }
  return parts;
}

/** Broadcasts what this daemon has read from the store, and applies what other daemons broadcast. */
export class StoreRelay {
  private readonly options: Required<StoreRelayOptions>;

  /** When a store reader's broadcast last matched this daemon's listing, monotonic ms. */
  private confirmedAt = Number.NEGATIVE_INFINITY;

  private wasFresh = false;

  private consecutiveDifferences = 0;

  /** Consecutive broadcasts of each store reader with a different digest, by its name. */
  private readonly differences = new Map<string, number>();

  private lastCatchUpAt = Number.NEGATIVE_INFINITY;

  private readonly configurations: ConfigurationFetcher;

  /** Whether broadcasts have failed to arrive, and none has confirmed this daemon's listing since. */
  private hasLostReaders = false;

  /** The newest change and configuration in the latest broadcast. */
  private broadcastState = '';

  /**
   * @param options - the fleet state, the store and the recipients of broadcasts.
   */
  constructor(options: StoreRelayOptions) {
    this.options = {
      later: (call, milliseconds) => setTimeout(call, milliseconds).unref(),
      onMessage: () => undefined,
      onBroadcast: () => undefined,
      brittle: () => [],
      onBrittle: () => undefined,
      ...options,
    };
    const { knowledge, store, clock, log, fetchConfiguration, later } = this.options;
    this.configurations = new ConfigurationFetcher({
      ...{ knowledge, store, clock, log, fetchConfiguration, later },
      intervalMilliseconds: options.configurationMilliseconds,
    });
    options.socket.handle(MessageKind.STORE_CHANGES, (message) =>
      this.handleBroadcast(fromBinary(StoreChangesSchema, message)),
    );
  }

  /** @returns Whether this daemon can rely on broadcasts instead of reading the store itself. */
  get isFresh(): boolean {
    const { clock, freshMilliseconds, isReader, log } = this.options;
    const age = clock.monotonicMilliseconds() - this.confirmedAt;
    const isFresh = !isReader() && age < freshMilliseconds;
    if (this.wasFresh && !isFresh) this.hasLostReaders = true;
    if (isFresh !== this.wasFresh) {
      const { relayFound, relayLost } = coordinationLogEvents;
      log.write(isFresh ? relayFound : relayLost, { ageMilliseconds: Math.round(age) });
    }
    this.wasFresh = isFresh;
    return isFresh;
  }

  /** @returns When a store reader's broadcast, or an own read, last confirmed this daemon's listing, monotonic ms. */
  get listConfirmedAt(): number {
    return this.confirmedAt;
  }

  /**
   * @returns Whether the store readers have failed to broadcast since their broadcasts last confirmed this daemon's
   *   listing: the store may refuse all of them, or they may have died a moment ago.
   */
  get isLost(): boolean {
    return this.hasLostReaders && !this.isFresh;
  }

  /**
   * Handles the version of the configuration that another daemon has.
   *
   * @param daemon - the daemon's name.
   * @param version - the version.
   */
  handleVersion(daemon: string, version: number): void {
    this.configurations.handleTold(daemon, version);
  }

  /** Notes that this daemon's listing is as current as the store readers' listing. */
  confirmListing(): void {
    this.confirmedAt = this.options.clock.monotonicMilliseconds();
  }

  /** Handles a completed read of the store: a store reader broadcasts the changes. */
  handleStoreRead(): void {
    const { isReader, hasReaders } = this.options;
    this.configurations.follow();
    if (isReader()) this.broadcast();
    else if (hasReaders()) this.confirmListing();
  }

  private broadcast(): void {
    const { knowledge, clock } = this.options;
    const { sinceRevision, changes } = knowledge.changeLog.recent(clock.monotonicMilliseconds());
    const parts = partsOf(changes, sinceRevision);
    const state = `${changes.at(-1)?.revision} ${configurationVersionOf(knowledge)}`;
    const hasNews = state !== this.broadcastState;
    this.broadcastState = state;
    if (hasNews && parts.length <= 1)
      this.options.later(() => this.broadcast(), REPEAT_MILLISECONDS);
    const last = parts.pop() ?? { since: sinceRevision, changes: [] };
    const { revision, listingDigest: digest } = knowledge;
    this.sendPaced([...parts, { ...last, revision, digest }]);
    this.options.onBroadcast();
  }

  private sendPaced(parts: readonly BroadcastPart[]): void {
    for (const part of parts.slice(0, DATAGRAMS_AT_ONCE)) this.send(part);
    const rest = parts.slice(DATAGRAMS_AT_ONCE);
    if (rest.length > 0) this.options.later(() => this.sendPaced(rest), PACE_MILLISECONDS);
  }

  private send(part: BroadcastPart): void {
    const { daemon, socket, knowledge, others } = this.options;
    const message = create(StoreChangesSchema, {
      daemon,
      revision: BigInt(part.revision),
      sinceRevision: BigInt(part.since),
      digest: part.digest,
      configurationVersion: BigInt(configurationVersionOf(knowledge)),
      brittle: [...this.options.brittle()],
      facts: part.changes.map(({ fact, revision }) => JSON.stringify({ ...fact, revision })),
    });
    socket.send(MessageKind.STORE_CHANGES, toBinary(StoreChangesSchema, message), others());
  }

  private handleBroadcast(message: StoreChanges): void {
    const { daemon, knowledge, clock, onMessage, onBrittle } = this.options;
    if (message.daemon !== daemon) {
      onMessage(message.daemon);
      message.brittle.forEach((told) => onBrittle(told));
    }
    // Before its own first read a daemon has no listing that changes could be applied to.
    if (message.daemon === daemon || knowledge.revision === 0) return;
    this.configurations.handleTold(message.daemon, Number(message.configurationVersion));
    const now = clock.monotonicMilliseconds();
    // A store reader broadcasts right after its own read, so the store has just answered.
    knowledge.recordStoreAnswer(now);
    const revision = Number(message.revision);
    if (revision < knowledge.revision) {
      this.compareOlder(revision, message.digest, now);
      return;
    }
    const facts = message.facts.map((text) => JSON.parse(text) as StoreFact);
    if (knowledge.revision < Number(message.sinceRevision)) {
      if (facts.some(({ kind }) => kind === 'runner_lapsed')) knowledge.suspectOutage(now);
      this.catchUp('changes', message.daemon);
      return;
    }
    knowledge.applyRelayed({ revision, facts }, now);
    if (message.digest !== undefined) this.compare(message.daemon, message.digest, now);
  }

  /**
   * Compares a broadcast of an older revision: a matching digest confirms this daemon's listing, while a different one
   * proves nothing, nor does one from before a restore of the store.
   *
   * What goes wrong without it: daemons that start together read at the same moments. Each knows a revision that is a
   * few heartbeats newer than the one that the store readers read just before, so it would ignore all their broadcasts
   * and read the store itself.
   */
  private compareOlder(revision: number, digest: number | undefined, now: number): void {
    const { knowledge } = this.options;
    if (epochOf(revision) < epochOf(knowledge.revision)) return;
    if (knowledge.listingDigest === digest) this.recordConfirmed(now);
  }

  private recordConfirmed(now: number): void {
    this.confirmedAt = now;
    this.hasLostReaders = false;
  }

  private compare(coordinator: string, digest: number, now: number): void {
    if (this.options.knowledge.listingDigest === digest) {
      this.recordConfirmed(now);
      this.consecutiveDifferences = 0;
      this.differences.delete(coordinator);
      return;
    }
    const differences = (this.differences.get(coordinator) ?? 0) + 1;
    this.differences.set(coordinator, differences);
    this.consecutiveDifferences += 1;
    const most = Math.max(this.consecutiveDifferences, differences);
    if (most >= DIFFERENCES_BEFORE_FULL_READ) this.catchUp('everything', coordinator);
  }

  /** Reads from the store what a lost datagram would have said. */
  private catchUp(what: 'changes' | 'everything', coordinator: string): void {
    const { knowledge, clock, log, readStore } = this.options;
    const now = clock.monotonicMilliseconds();
    if (now - this.lastCatchUpAt < CATCH_UP_MILLISECONDS) return;
    this.lastCatchUpAt = now;
    this.consecutiveDifferences = 0;
    this.differences.clear();
    const fields = { coordinator, ...revisionFields(knowledge.revision), reads: what };
    log.write(coordinationLogEvents.listingDiffers, fields);
    readStore(what);
  }
}
