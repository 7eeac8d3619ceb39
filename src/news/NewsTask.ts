/**
 * Broadcasts this daemon's state to the other daemons and receives theirs, in datagrams. Each message holds all
 * counts, so the next message makes up for a lost one.
 */
import { randomInt } from 'node:crypto';

import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';

import { SpeedReports } from '../capacity/SpeedReports.js';
import { DaemonNewsSchema, MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { DaemonNews, WarmPartSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { BrittleService } from '../runners/BrittleRunners.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { WarmPlaces } from '../runners/WarmPlaces.js';
import type { Clock } from '../time/Clock.js';
import type { PeerLoads } from './PeerLoads.js';
import { FleetSocket } from './FleetSocket.js';

/** Options of a {@link NewsTask}. */
export interface NewsTaskOptions {
  daemon: string;
  runners: RunnerTable;
  loads: PeerLoads;
  warmPlaces: WarmPlaces;
  clock: Clock;
  log: Log;
  /** Returns the store's revision of the latest known change that affects requests. */
  changedAtRevision: () => number;
  /** Returns the version of the configuration in force. */
  configurationVersion?: () => number;
  /**
   * Returns the addresses of the daemons to which a change is announced at once, by default the recipients of all
   * messages. To many others the announcement is delayed at random, so that only the first daemons make it.
   */
  announcementRecipients?: () => readonly HostAndPort[];
  /** Returns the addresses of the daemons to which the state is broadcast. */
  others: () => readonly HostAndPort[];
  /**
   * Returns the number of all daemons of the fleet, each of which broadcasts to the same recipients.
   */
  daemons?: () => number;
  /** Returns the fleet's secret, or `undefined` while it is unknown. */
  secret: () => string | undefined;
  /** Returns the latest grants of the coordinators that the reported loads include. */
  countedGrants?: () => MessageInitShape<typeof DaemonNewsSchema>['grants'];
  /** Whether this daemon is in a planned stop. */
  isLeaving?: () => boolean;
  /** Whether this daemon reaches no runner. */
  hasNoPath?: () => boolean;
  /** Returns the services whose runners have told this daemon that they are brittle. */
  brittle?: () => readonly BrittleService[];
  /** Speeds of runners that this daemon has heard of. */
  speedReports?: SpeedReports;
  /** Registry for the counter of sent bytes. */
  registry: MetricRegistry;
  /** Called with each new message of another daemon. */
  onNews?: (news: DaemonNews) => void;
  /** Sends and receives the datagrams; replaced by tests. */
  socket?: FleetSocket;
  /** Schedules a call after a delay in ms; replaced by tests. */
  later?: (call: () => void, milliseconds: number) => unknown;
  /** Returns random numbers from 0 up to 1; replaced by tests. */
  random?: () => number;
}

/**
 * Interval between messages with up to eight recipients, in ms; a request lasts about three intervals.
 */
const INTERVAL_MILLISECONDS = 100;

/**
 * Number of recipients up to which the interval applies. With more recipients the interval grows in proportion, so
 * that a daemon sends the same number of datagrams per second at any fleet size: 80, about 20 µs each.
 */
const RECIPIENTS_AT_INTERVAL = 8;

/** Maximum number of these datagrams that a daemon receives per second; about 60 µs each. */
const MAXIMUM_RECEIVED_PER_SECOND = 320;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Interval at which unchanged counts are sent again, in ms, so that the recipients do not drop them.
 */
const REPEAT_MILLISECONDS = 1_000;

/**
 * A timer may fire this much too early, in ms. Without this tolerance the message would be sent an interval later, as
 * if one had been lost.
 */
const TIMER_SLACK_MILLISECONDS = 20;

/**
 * Maximum number of new warm places in one message, which has to fit into a datagram of 1,400 bytes.
 */
const MAXIMUM_WARM = 8;

/**
 * Maximum number of warm places waiting to be sent. The oldest ones are dropped; other daemons find them by hashing.
 */
const MAXIMUM_WAITING_WARM = 400;

/** Longest random delay of an announcement to more recipients than report to each other, in ms. */
const ANNOUNCEMENT_MILLISECONDS = 150;

/**
 * Number of possible incarnation numbers: two incarnations of a daemon get the same one once in this many restarts.
 */
const INCARNATION_NUMBERS = 2 ** 32;

/** Owns the socket and the timer. */
export class NewsTask {
  /** The socket; it also carries the other kinds of messages between daemons. */
  readonly socket: FleetSocket;

  private readonly options: Required<Omit<NewsTaskOptions, 'socket'>>;

  private readonly life = randomInt(INCARNATION_NUMBERS);

  private readonly waitingWarm: MessageInitShape<typeof WarmPartSchema>[] = [];

  private isClosed = false;

  private number = 0;

  private lastSent = '';

  private lastSentAt = 0;

  /** Revision of the latest change that this daemon reported before any other. */
  private reportedRevision = 0;

  /** Revision of the latest change that another daemon has reported. */
  private receivedRevision = 0;

  /**
   * @param options - the state to broadcast, and its recipients.
   */
  constructor(options: NewsTaskOptions) {
    this.options = {
      daemons: () => 1,
      countedGrants: () => [],
      isLeaving: () => false,
      hasNoPath: () => false,
      brittle: () => [],
      speedReports: new SpeedReports(),
      onNews: () => undefined,
      configurationVersion: () => 0,
      announcementRecipients: options.others,
      later: (call, milliseconds) => setTimeout(call, milliseconds).unref(),
      random: Math.random,
      ...options,
    };
    const sentBytes = options.registry.counter({
      name: 'datagram_bytes',
      help: 'Bytes of datagrams sent to other daemons, by kind of message.',
      labels: ['kind'] as const,
    });
    this.socket = options.socket ?? new FleetSocket({ ...options, sentBytes });
    this.socket.handle(MessageKind.UNSPECIFIED, (message) => this.receive(message));
  }

  /**
   * Opens the socket and starts to broadcast.
   *
   * @param address - address at which this daemon receives datagrams.
   * @returns Once the socket is bound.
   */
  async listen(address: HostAndPort): Promise<void> {
    await this.socket.listen(address);
    this.schedule();
  }

  /** @returns The port at which datagrams are received. */
  get port(): number {
    return this.socket.port;
  }

  /**
   * Adds a warm place to the next messages.
   *
   * @param key - key of a shared prompt part.
   * @param life - incarnation of the runner to which it was sent for the first time.
   */
  addWarmPlace(key: string, life: string): void {
    this.waitingWarm.push({ key, runner: life });
    if (this.waitingWarm.length > MAXIMUM_WAITING_WARM) this.waitingWarm.shift();
  }

  /**
   * Broadcasts a change at once, if no other daemon has reported it: the first daemon that reads it saves the others
   * the wait for their next read of the store. A daemon that learnt of the change from a message does not broadcast
   * it, because otherwise every daemon would send each change to every other.
   */
  broadcastChange(): void {
    const revision = this.options.changedAtRevision();
    if (revision <= Math.max(this.receivedRevision, this.reportedRevision)) return;
    this.reportedRevision = revision;
    const { announcementRecipients, others, later, random } = this.options;
    const recipients = announcementRecipients();
    this.send();
    if (recipients.length <= others().length) return;
    later(() => {
      if (revision > this.receivedRevision) this.sendTo(recipients);
    }, random() * ANNOUNCEMENT_MILLISECONDS);
  }

  /** Stops sending and receiving. */
  close(): void {
    this.isClosed = true;
    this.socket.close();
  }

  /** @returns Longest pause between two messages while nothing changes, in ms. */
  get longestPauseMilliseconds(): number {
    const interval = this.intervalMilliseconds;
    return interval * Math.ceil(REPEAT_MILLISECONDS / interval);
  }

  /** @returns Mean age of what another daemon has reported, in ms. */
  get reportAge(): number {
    return this.intervalMilliseconds / 2;
  }

  private get intervalMilliseconds(): number {
    const { others, daemons } = this.options;
    const forSending =
      INTERVAL_MILLISECONDS * Math.max(1, others().length / RECIPIENTS_AT_INTERVAL);
    const forReceiving = (daemons() * MILLISECONDS_PER_SECOND) / MAXIMUM_RECEIVED_PER_SECOND;
    return Math.max(forSending, forReceiving);
  }

  private schedule(): void {
    this.options.later(() => {
      if (this.isClosed) return;
      this.send();
      this.schedule();
    }, this.intervalMilliseconds);
  }

  private send(): void {
    const { others, secret, clock, changedAtRevision } = this.options;
    const now = clock.monotonicMilliseconds();
    this.options.loads.expire(now);
    if (secret() === undefined) return;
    const { state } = this;
    const content = JSON.stringify([state, changedAtRevision()]);
    const isDue = now - this.lastSentAt >= REPEAT_MILLISECONDS - TIMER_SLACK_MILLISECONDS;
    const hasNew = this.waitingWarm.length > 0 || !this.options.speedReports.isEmpty;
    if (content === this.lastSent && !hasNew && !isDue) return;
    this.lastSent = content;
    this.lastSentAt = now;
    this.sendTo(others(), state);
  }

  private sendTo(recipients: readonly HostAndPort[], state = this.state): void {
    const { daemon, changedAtRevision, configurationVersion, speedReports, clock } = this.options;
    this.number += 1;
    const warm = this.waitingWarm.splice(0, MAXIMUM_WARM);
    const news = create(DaemonNewsSchema, {
      ...{ daemon, life: this.life, number: this.number, warm, ...state },
      revision: BigInt(changedAtRevision()),
      configurationVersion: BigInt(configurationVersion()),
      speeds: speedReports.take(clock.monotonicMilliseconds()),
    });
    this.socket.send(MessageKind.UNSPECIFIED, toBinary(DaemonNewsSchema, news), recipients);
  }

  /** What this daemon has at runners, and what it knows of them and of itself. */
  private get state() {
    const { runners, countedGrants, isLeaving, hasNoPath, brittle } = this.options;
    const busy = runners.list().filter(({ inFlight }) => inFlight > 0);
    return {
      loads: busy.map(({ entry, inFlight, pendingTokens, memoryTokens }) => ({
        runner: entry.life,
        requests: inFlight,
        promptTokens: pendingTokens,
        memoryTokens,
      })),
      grants: countedGrants(),
      isLeaving: isLeaving(),
      hasNoPath: hasNoPath(),
      brittle: [...brittle()],
    };
  }

  private receive(message: Uint8Array): void {
    const { loads, warmPlaces, clock, daemon, onNews } = this.options;
    const news = fromBinary(DaemonNewsSchema, message);
    if (news.daemon === daemon) return;
    this.receivedRevision = Math.max(this.receivedRevision, Number(news.revision));
    if (loads.take(news, clock.monotonicMilliseconds())) onNews(news);
    for (const { key: parts, runner } of news.warm) warmPlaces.learn(parts, runner);
  }
}
