/**
 * Exchanges reports of runner crashes with the other daemons.
 *
 * In a small fleet every daemon broadcasts to all. In a large one each daemon reports to a few that receive all
 * reports, and the first of these broadcast the requests with more than one crash. Datagrams get lost, so each report
 * is sent several times, and daemons compare their sets of quarantined requests at intervals (anti-entropy).
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import { inBatches } from '../collections/inBatches.js';
import { CrashReportSchema, MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { CrashReport } from '../generated/baobabdock/v1/news_pb.js';
import { parseAddress } from '../http/parseAddress.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import { MessageRepeater } from '../news/MessageRepeater.js';
import type { CallScheduler, RepeatedItem } from '../news/MessageRepeater.js';
import { PauseDetector } from '../requests/PauseDetector.js';
import type { Clock } from '../time/Clock.js';
import { groupAlike } from './alikeSubjects.js';
import type { AlikeSubjects } from './alikeSubjects.js';
import { fromMessage, toMessage } from './crashSummaryCodec.js';
import type { QuarantineDecisions } from './QuarantineDecisions.js';
import type { CrashSummary } from './quarantineTypes.js';

/** Options of a {@link CrashRelay}. */
export interface CrashRelayOptions {
  /** This daemon's name. */
  daemon: string;
  /** Address at which this daemon receives datagrams. */
  ownAddress: string;
  socket: Pick<FleetSocket, 'handle' | 'send'>;
  decisions: QuarantineDecisions;
  /** Merges the crash reports of another daemon. */
  merge: (news: readonly CrashSummary[], teller: string) => void;
  clock: Clock;
  /** Returns the daemons that receive all crash reports. */
  reportRecipients: () => readonly HostAndPort[];
  /** Returns the daemons to which this one broadcasts the reports of others. */
  broadcastRecipients: () => readonly HostAndPort[];
  /** Whether this daemon knows the secret of the fleet. */
  canReadMessages: () => boolean;
  /**
   * Fetches the reports of another daemon over a connection; used while this daemon cannot read datagrams.
   */
  pull: () => void;
  /** Schedules a call; replaced in tests. */
  later?: CallScheduler;
  /** Returns numbers from 0 (inclusive) to 1 (exclusive). */
  random?: () => number;
}

/** Maximum number of records in a datagram of 1,400 bytes, with four crashes each. */
const RECORDS_IN_DATAGRAM = 8;

/** Maximum number of datagrams sent to a recipient at once; network queues drop larger bursts. */
const DATAGRAMS_AT_ONCE = 6;

/** Time between two such bursts, in ms. */
const BURST_MILLISECONDS = 10;

/** Maximum number of bursts for one report; enough for all parts of a prompt. */
const MAXIMUM_BURSTS = 16;

/** Interval between comparisons with another daemon, in ms. */
const EXCHANGE_MILLISECONDS = 1_000;

/** Messages that arrive within this time after a standstill may have waited for its end, in ms. */
const STALE_MILLISECONDS = 500;

/** A group of parts fills a datagram; of single records there are a few at a time. */
function datagramsOf(records: readonly CrashSummary[]): (readonly AlikeSubjects[])[] {
  const groups = groupAlike(records);
  const single = groups.filter(({ alike }) => alike.length === 0);
  const large = groups.filter(({ alike }) => alike.length > 0);
  const batches = inBatches(single, RECORDS_IN_DATAGRAM).slice(0, DATAGRAMS_AT_ONCE);
  return [...batches, ...large.map((group) => [group])];
}

/** Owns the timers. */
export class CrashRelay {
  private readonly options: Required<CrashRelayOptions>;

  private readonly news: MessageRepeater;

  private isStopped = false;

  private readonly pauses = new PauseDetector({
    heartbeatMilliseconds: EXCHANGE_MILLISECONDS,
    settleMilliseconds: STALE_MILLISECONDS,
  });

  /**
   * @param options - the decisions, and the recipients of reports.
   */
  constructor(options: CrashRelayOptions) {
    this.options = { later: setTimeout, random: Math.random, ...options };
    this.news = new MessageRepeater({
      send: (news) => this.sendPending(news),
      later: this.options.later,
    });
    options.socket.handle(MessageKind.CRASH_REPORT, (message) =>
      this.take(fromBinary(CrashReportSchema, message)),
    );
  }

  /** Starts the periodic comparisons. */
  start(): void {
    this.pauses.recordHeartbeat(this.now);
    this.options.later(() => {
      if (this.isStopped) return;
      this.compareWithPeer();
      this.start();
    }, EXCHANGE_MILLISECONDS);
  }

  /** Stops sending and comparing. */
  stop(): void {
    this.isStopped = true;
    this.news.stop();
  }

  /** Sends the records that have changed to other daemons. */
  sendChanges(): void {
    for (const [digest, source] of this.options.decisions.takeChanged()) {
      this.news.add({ key: digest, isSeen: source === 'seen' });
    }
  }

  private sendPending(waiting: readonly RepeatedItem[]): void {
    const { decisions, reportRecipients, broadcastRecipients } = this.options;
    const seen = waiting.filter(({ isSeen }) => isSeen).map(({ key }) => decisions.summaryOf(key));
    this.send(seen, reportRecipients());
    this.send(
      waiting.map(({ key }) => decisions.broadcastSummaryOf(key)),
      broadcastRecipients(),
    );
  }

  private send(
    news: readonly (CrashSummary | undefined)[],
    recipients: readonly HostAndPort[],
    answerTo = '',
  ): void {
    const known = news
      .filter((one) => one !== undefined)
      .sort((one, other) => other.crashes.length - one.crashes.length);
    if (recipients.length === 0 || (known.length === 0 && answerTo === '')) return;
    const datagrams = datagramsOf(known);
    if (datagrams.length === 0) datagrams.push([]);
    const bursts = inBatches(datagrams, DATAGRAMS_AT_ONCE);
    for (const [index, burst] of bursts.slice(0, MAXIMUM_BURSTS).entries()) {
      const sendBurst = () => {
        for (const records of burst) this.sendDatagram(records, recipients, answerTo);
      };
      if (index === 0) sendBurst();
      else this.options.later(sendBurst, index * BURST_MILLISECONDS);
    }
  }

  private sendDatagram(
    records: readonly AlikeSubjects[],
    recipients: readonly HostAndPort[],
    answerTo: string,
  ): void {
    if (this.isStopped) return;
    const { daemon, socket, decisions } = this.options;
    const { now } = this;
    const report = create(CrashReportSchema, {
      daemon,
      records: records.map((one) => toMessage(one, now)),
      answerTo,
      quarantined: decisions.quarantinedHash,
    });
    socket.send(MessageKind.CRASH_REPORT, toBinary(CrashReportSchema, report), recipients);
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private take({ daemon, records, answerTo, quarantined }: CrashReport): void {
    const { decisions, merge } = this.options;
    const { now } = this;
    if (daemon === this.options.daemon) return;
    // The ages in what waited for this process are too small, so that its crashes would count again; it is told again.
    if (this.pauses.possibleDelay(now) > 0) return;
    merge(
      records.flatMap((record) => fromMessage(record, now)),
      daemon,
    );
    if (answerTo === '' || quarantined === decisions.quarantinedHash) return;
    this.send(decisions.broadcastable(), [parseAddress(answerTo)]);
  }

  /**
   * Compares the quarantined requests with those of another daemon, so that a daemon that has just started, was cut
   * off or was paused receives what it has missed.
   */
  private compareWithPeer(): void {
    const { decisions, canReadMessages, pull, reportRecipients, random, ownAddress } = this.options;
    decisions.expire(this.now);
    if (!canReadMessages()) {
      pull();
      return;
    }
    const others = reportRecipients();
    const other = others[Math.floor(random() * others.length)];
    if (!other) return;
    const [datagram = []] = datagramsOf(decisions.quarantined());
    this.sendDatagram(datagram, [other], ownAddress);
  }
}
