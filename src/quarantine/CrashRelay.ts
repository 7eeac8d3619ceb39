/**
 * Tells other daemons of crashes, and takes what they tell.
 *
 * In a small fleet all tell all. In a large one each daemon reports to those that hear all, and the first of these tell
 * everybody what more than one crash speaks against. Datagrams get lost, so that each is repeated, and daemons compare
 * what they keep from runners now and then.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import { CrashReportSchema, MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { CrashReport } from '../generated/baobabdock/v1/news_pb.js';
import { parseAddress } from '../http/parseAddress.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import { RepeatedNews } from '../news/RepeatedNews.js';
import type { Later, WaitingNews } from '../news/RepeatedNews.js';
import type { Clock } from '../time/Clock.js';
import { fromMessage, toMessage } from './crashNewsCodec.js';
import type { QuarantineDecisions } from './QuarantineDecisions.js';
import { isNotable } from './QuarantineDecisions.js';
import type { CrashNews } from './quarantineTypes.js';

/** Options of a {@link CrashRelay}. */
export interface CrashRelayOptions {
  /** This daemon's name. */
  daemon: string;
  /** Where it takes datagrams. */
  ownAddress: string;
  socket: Pick<FleetSocket, 'handle' | 'send'>;
  decisions: QuarantineDecisions;
  /** Takes what another daemon tells. */
  learn: (news: readonly CrashNews[], teller: string) => void;
  clock: Clock;
  /** Those that hear all crashes. */
  reportTo: () => readonly HostAndPort[];
  /** Those that this daemon tells what others have reported. */
  tellTo: () => readonly HostAndPort[];
  /** Whether this daemon knows the secret of the fleet. */
  canTalk: () => boolean;
  /** Asks another daemon over a connection, while this one cannot read messages. */
  pull: () => void;
  /** Calls later; replaced by tests. */
  later?: Later;
  /** Gives numbers from 0 up to 1. */
  random?: () => number;
}

/** Records of four crashes in a datagram of 1,400 bytes. */
const RECORDS_IN_DATAGRAM = 16;

/** Datagrams to each recipient at once; queues on the way drop what comes faster. */
const DATAGRAMS_AT_ONCE = 3;

/** Between comparisons with another daemon, in ms. */
const EXCHANGE_MILLISECONDS = 1_000;

/** Owns the timers. */
export class CrashRelay {
  private readonly options: Required<CrashRelayOptions>;

  private readonly news: RepeatedNews;

  private isStopped = false;

  /**
   * @param options - decisions, and who is told.
   */
  constructor(options: CrashRelayOptions) {
    this.options = { later: setTimeout, random: Math.random, ...options };
    this.news = new RepeatedNews({
      send: (news) => this.sendNews(news),
      later: this.options.later,
    });
    options.socket.handle(MessageKind.CRASH_REPORT, (message) =>
      this.take(fromBinary(CrashReportSchema, message)),
    );
  }

  /** Compares with others from now on. */
  start(): void {
    this.options.later(() => {
      if (this.isStopped) return;
      this.exchange();
      this.start();
    }, EXCHANGE_MILLISECONDS);
  }

  /** Tells and compares no more. */
  stop(): void {
    this.isStopped = true;
    this.news.stop();
  }

  /** Tells others what has changed. */
  tellChanges(): void {
    for (const [digest, source] of this.options.decisions.takeChanged()) {
      this.news.add({ key: digest, isSeen: source === 'seen' });
    }
  }

  private sendNews(waiting: readonly WaitingNews[]): void {
    const { decisions, reportTo, tellTo } = this.options;
    const seen = waiting.filter(({ isSeen }) => isSeen).map(({ key }) => decisions.newsOf(key));
    const known = waiting.map(({ key }) => decisions.newsOf(key));
    this.send(seen, reportTo());
    this.send(
      known.filter((news) => news && isNotable(news)),
      tellTo(),
    );
  }

  private send(
    news: readonly (CrashNews | undefined)[],
    recipients: readonly HostAndPort[],
    answerTo = '',
  ): void {
    const { daemon, socket, clock, decisions } = this.options;
    const now = clock.monotonicMilliseconds();
    const known = news
      .filter((one) => one !== undefined)
      .sort((one, other) => other.crashes.length - one.crashes.length)
      .slice(0, RECORDS_IN_DATAGRAM * DATAGRAMS_AT_ONCE);
    if (recipients.length === 0 || (known.length === 0 && answerTo === '')) return;
    for (let start = 0; start === 0 || start < known.length; start += RECORDS_IN_DATAGRAM) {
      const records = known.slice(start, start + RECORDS_IN_DATAGRAM);
      const report = create(CrashReportSchema, {
        daemon,
        records: records.map((one) => toMessage(one, now)),
        answerTo,
        quarantined: decisions.quarantinedHash,
      });
      socket.send(MessageKind.CRASH_REPORT, toBinary(CrashReportSchema, report), recipients);
    }
  }

  private take({ daemon, records, answerTo, quarantined }: CrashReport): void {
    const { decisions, clock, learn } = this.options;
    if (daemon === this.options.daemon) return;
    const now = clock.monotonicMilliseconds();
    learn(
      records.map((record) => fromMessage(record, now)),
      daemon,
    );
    if (answerTo === '' || quarantined === decisions.quarantinedHash) return;
    this.send(decisions.notable(), [parseAddress(answerTo)]);
  }

  /** One that has just started, was cut off or stood still learns what it has missed. */
  private exchange(): void {
    const { decisions, clock, canTalk, pull, reportTo, random, ownAddress } = this.options;
    decisions.expire(clock.monotonicMilliseconds());
    if (!canTalk()) {
      pull();
      return;
    }
    const others = reportTo();
    const other = others[Math.floor(random() * others.length)];
    if (!other) return;
    this.send(decisions.quarantined().slice(0, RECORDS_IN_DATAGRAM), [other], ownAddress);
  }
}
