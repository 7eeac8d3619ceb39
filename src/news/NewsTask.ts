/**
 * Sends this daemon's news to the others and takes theirs, in datagrams: each message holds all counts, so that
 * a lost one is made good by the next.
 */
import { randomInt } from 'node:crypto';

import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';

import { DaemonNewsSchema, MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { DaemonNews, WarmPartSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { WarmPlaces } from '../runners/WarmPlaces.js';
import type { Clock } from '../time/Clock.js';
import type { ForeignLoads } from './ForeignLoads.js';
import { FleetSocket } from './FleetSocket.js';

/** Options of a {@link NewsTask}. */
export interface NewsTaskOptions {
  daemon: string;
  runners: RunnerTable;
  loads: ForeignLoads;
  warmPlaces: WarmPlaces;
  clock: Clock;
  log: Log;
  /** The store's revision of the latest change that bears on requests, as far as it is known here. */
  changedAtRevision: () => number;
  /** Hears what another daemon knows of that. */
  onRevision: (revision: number) => void;
  /** The daemons that are told. */
  others: () => readonly HostAndPort[];
  /** All daemons of the fleet; each of them tells those that are told. */
  daemons?: () => number;
  /** The secret of the fleet, once it is known. */
  secret: () => string | undefined;
  /** Requests that coordinators gave runners to, as far as the loads include them. */
  countedGrants?: () => MessageInitShape<typeof DaemonNewsSchema>['grants'];
  /** Whether this daemon is in a planned stop. */
  isLeaving?: () => boolean;
  /** Where bytes of datagrams are counted. */
  registry: MetricRegistry;
  /** Hears what another daemon has told. */
  onNews?: (news: DaemonNews) => void;
}

/** Between messages to up to eight others, in ms; a request lasts about three of them. */
const INTERVAL_MILLISECONDS = 100;

/**
 * Others for which the interval is kept; with more of them it grows in proportion, so that a daemon sends the
 * same number of datagrams a second at any size of the fleet: 80, about 20 µs each.
 */
const OTHERS_AT_INTERVAL = 8;

/** Datagrams with news that a daemon takes a second; about 60 µs each. */
const TAKEN_PER_SECOND = 320;

const MILLISECONDS_PER_SECOND = 1_000;

/** Unchanged counts are told again after this time, so that they do not lapse; in ms. */
const REPEAT_MILLISECONDS = 1_000;

/** A timer may be this much early, in ms: the message would be sent an interval later, as if it had been lost. */
const TIMER_SLACK_MILLISECONDS = 20;

/** New warm places in one message: it has to fit into a datagram of 1,400 bytes. */
const MAXIMUM_WARM = 8;

/** Warm places that wait to be told; older ones are dropped, others will find them by hashing. */
const MAXIMUM_WAITING = 400;

/** Two lives of one daemon get the same number once in this many restarts. */
const LIVES = 2 ** 32;

/** Owns the socket. */
export class NewsTask {
  /** Carries the other kinds of messages between daemons too. */
  readonly socket: FleetSocket;

  private readonly options: Required<NewsTaskOptions>;

  private readonly life = randomInt(LIVES);

  private readonly waiting: MessageInitShape<typeof WarmPartSchema>[] = [];

  private timer: NodeJS.Timeout | undefined;

  private number = 0;

  private lastTold = '';

  private lastSentAt = 0;

  /** Of the latest change that this daemon was the first to tell of. */
  private toldRevision = 0;

  /** Of the latest change that another daemon has told of. */
  private heardRevision = 0;

  /**
   * @param options - what is told, and to whom.
   */
  constructor(options: NewsTaskOptions) {
    this.options = {
      daemons: () => 1,
      countedGrants: () => [],
      isLeaving: () => false,
      onNews: () => undefined,
      ...options,
    };
    const sentBytes = options.registry.counter({
      name: 'datagram_bytes',
      help: 'Bytes of datagrams sent to other daemons, by kind of message.',
      labels: ['kind'] as const,
    });
    this.socket = new FleetSocket({ ...options, sentBytes });
    this.socket.handle(MessageKind.UNSPECIFIED, (message) => this.take(message));
  }

  /**
   * @param address - of this daemon for news.
   * @returns Once news is taken.
   */
  async listen(address: HostAndPort): Promise<void> {
    await this.socket.listen(address);
    this.schedule();
  }

  /** @returns The port at which news is taken. */
  get port(): number {
    return this.socket.port;
  }

  /**
   * @param key - a shared part of prompts.
   * @param life - of the runner where it was sent for the first time.
   */
  tellWarm(key: string, life: string): void {
    this.waiting.push({ key, runner: life });
    if (this.waiting.length > MAXIMUM_WAITING) this.waiting.shift();
  }

  /**
   * Tells of a change at once if nobody else has: whichever daemon reads it first spares the others their wait.
   * Who learnt of it from a message stays silent, or each change would be told by all to all.
   */
  tellChange(): void {
    const revision = this.options.changedAtRevision();
    if (revision <= Math.max(this.heardRevision, this.toldRevision)) return;
    this.toldRevision = revision;
    this.send();
  }

  /** Neither sends nor takes from now on. */
  close(): void {
    clearTimeout(this.timer);
    this.socket.close();
  }

  /** @returns Longest pause between two messages where nothing changes, in ms. */
  get longestPauseMilliseconds(): number {
    const interval = this.intervalMilliseconds;
    return interval * Math.ceil(REPEAT_MILLISECONDS / interval);
  }

  private get intervalMilliseconds(): number {
    const { others, daemons } = this.options;
    const forSending = INTERVAL_MILLISECONDS * Math.max(1, others().length / OTHERS_AT_INTERVAL);
    const forTaking = (daemons() * MILLISECONDS_PER_SECOND) / TAKEN_PER_SECOND;
    return Math.max(forSending, forTaking);
  }

  private schedule(): void {
    this.timer = setTimeout(() => {
      this.send();
      this.schedule();
    }, this.intervalMilliseconds);
  }

  private send(): void {
    const { daemon, runners, others, secret, clock, changedAtRevision } = this.options;
    const now = clock.monotonicMilliseconds();
    this.options.loads.expire(now);
    if (secret() === undefined) return;
    const busy = runners.list().filter(({ inFlight }) => inFlight > 0);
    const loads = busy.map(({ entry, inFlight }) => ({ runner: entry.life, requests: inFlight }));
    const grants = this.options.countedGrants();
    const isLeaving = this.options.isLeaving();
    const told = JSON.stringify([loads, changedAtRevision(), grants, isLeaving]);
    const isDue = now - this.lastSentAt >= REPEAT_MILLISECONDS - TIMER_SLACK_MILLISECONDS;
    if (told === this.lastTold && this.waiting.length === 0 && !isDue) return;
    this.lastTold = told;
    this.lastSentAt = now;
    this.number += 1;
    const warm = this.waiting.splice(0, MAXIMUM_WARM);
    const { life, number } = this;
    const revision = BigInt(changedAtRevision());
    const state = { loads, warm, revision, grants, isLeaving };
    const news = create(DaemonNewsSchema, { daemon, life, number, ...state });
    this.socket.send(MessageKind.UNSPECIFIED, toBinary(DaemonNewsSchema, news), others());
  }

  private take(message: Uint8Array): void {
    const { loads, warmPlaces, clock, daemon, onRevision, onNews } = this.options;
    const news = fromBinary(DaemonNewsSchema, message);
    if (news.daemon === daemon) return;
    if (loads.take(news, clock.monotonicMilliseconds())) onNews(news);
    for (const { key: parts, runner } of news.warm) warmPlaces.learn(parts, runner);
    this.heardRevision = Math.max(this.heardRevision, Number(news.revision));
    onRevision(this.heardRevision);
  }
}
