/**
 * Tells the other daemons which runners may have started again: a daemon without a connection to such a runner has no
 * evidence of its own, and would let a stream go on there at another software version.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import { inBatches } from '../collections/inBatches.js';
import { MessageKind, SuspectedRestartsSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { SuspectedRestarts } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import { MessageRepeater } from '../news/MessageRepeater.js';
import type { CallScheduler, RepeatedItem } from '../news/MessageRepeater.js';
import type { Runner } from '../runners/Runner.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { RestartDoubts } from './RestartDoubts.js';

/** Options of {@link RestartNotices}. */
export interface RestartNoticesOptions {
  /** This daemon's name. */
  daemon: string;
  runners: Pick<RunnerTable, 'list' | 'ofLife'>;
  socket: Pick<FleetSocket, 'handle' | 'send'>;
  /** Keeps the doubts that are told. */
  doubts: RestartDoubts;
  /** Daemons that every daemon reports to. */
  reportRecipients: () => readonly HostAndPort[];
  /** Daemons that this daemon forwards others' reports to. */
  broadcastRecipients: () => readonly HostAndPort[];
  /** Schedules a call; replaced by tests. */
  later?: CallScheduler;
}

/** Largest share of all runners that may have started again; if it is more, this daemon's own link has failed. */
const LARGEST_SHARE = 1 / 3;

/**
 * How long a daemon with requests at the runner waits for data from it before it tells others of a closed connection, in ms,
 * unless one of them breaks off first.
 */
const PROOF_MILLISECONDS = 1_200;

/** Incarnations that fit into a datagram of 1,400 bytes. */
const LIVES_IN_DATAGRAM = 24;

/** Marks the runners, and forwards the notices. */
export class RestartNotices {
  private readonly options: RestartNoticesOptions;

  private readonly news: MessageRepeater;

  /** Notices of doubts that have lasted for a while. */
  private readonly lasting: MessageRepeater;

  private readonly later: CallScheduler;

  /** Runners whose notices wait for proof of their life, and when they lost the connection, monotonic ms. */
  private readonly held = new Map<Runner, number>();

  /**
   * @param options - the runners and the daemons to notify.
   */
  constructor(options: RestartNoticesOptions) {
    const { daemon, socket, doubts, later = setTimeout } = options;
    this.options = options;
    this.later = later;
    this.news = new MessageRepeater({ send: (news) => this.send(news, false), later });
    this.lasting = new MessageRepeater({ send: (news) => this.send(news, true), later });
    socket.handle(MessageKind.SUSPECTED_RESTARTS, (message) => {
      const notice = fromBinary(SuspectedRestartsSchema, message);
      if (notice.daemon !== daemon) this.recordFromDaemon(notice);
    });
    // A daemon that has started since does not know of the doubt, which may last as long as the store does not answer.
    doubts.whileLasting(({ entry: { life: key } }, isSeen) => this.lasting.add({ key, isSeen }));
  }

  /**
   * Records that the instance of a runner has closed an idle connection, or refused one.
   *
   * @param runner - the runner.
   * @param cause - which of them.
   */
  recordLost(runner: Runner, cause: 'connection_closed' | 'refused'): void {
    const isNew = this.options.doubts.begin(runner, cause);
    const { lostAt } = runner.restart;
    if (isNew) this.held.set(runner, lostAt);
    if (cause === 'refused' || runner.inFlight === 0) this.tell(runner);
    else if (isNew) this.later(() => this.tellUnproven(runner, lostAt), PROOF_MILLISECONDS);
  }

  /**
   * Records that the connection of a request at a runner was lost, so that it proves nothing any more.
   *
   * @param runner - the runner.
   */
  recordBroken(runner: Runner): void {
    if (runner.restart.isSuspected) this.tell(runner);
  }

  /**
   * Takes the report of a runner that was asked for its incarnation.
   *
   * @param runner - the runner.
   * @param life - incarnation that it names.
   * @param askedAt - when it was asked, monotonic ms.
   */
  recordLife(runner: Runner, life: string, askedAt: number): void {
    const { restart, entry } = runner;
    const wasKnown = restart.hasRestarted;
    this.options.doubts.recordLife(runner, life, askedAt);
    if (wasKnown || !restart.hasRestarted) return;
    this.held.delete(runner);
    this.news.add({ key: entry.life, isSeen: true });
  }

  /** Stops sending notices. */
  stop(): void {
    this.news.stop();
    this.lasting.stop();
    this.options.doubts.stop();
  }

  private tell(runner: Runner): void {
    if (this.held.delete(runner)) this.news.add({ key: runner.entry.life, isSeen: true });
  }

  private tellUnproven(runner: Runner, lostAt: number): void {
    // A request has broken off there, or another doubt has begun.
    if (this.held.get(runner) !== lostAt) return;
    if (runner.restart.isSameLifeAt(lostAt)) this.held.delete(runner);
    else this.tell(runner);
  }

  private recordFromDaemon({ daemon, lives, isLasting }: SuspectedRestarts): void {
    const { runners, doubts, broadcastRecipients } = this.options;
    const news = isLasting ? this.lasting : this.news;
    for (const life of lives) {
      const runner = runners.ofLife(life);
      const isNew = runner !== undefined && doubts.begin(runner, 'notice', { daemon, isLasting });
      if (isNew) news.add({ key: life, isSeen: false });
      // One that forwards notices renews them for all others.
      else if (runner && broadcastRecipients().length === 0) doubts.postponeRenewal(runner);
    }
  }

  private get isOwnLinkSuspect(): boolean {
    const all = this.options.runners.list();
    const suspected = all.filter(({ restart }) => restart.isSuspected);
    return suspected.length > all.length * LARGEST_SHARE;
  }

  private send(news: readonly RepeatedItem[], isLasting: boolean): void {
    const { runners, reportRecipients, broadcastRecipients } = this.options;
    const { isOwnLinkSuspect } = this;
    // The word of a runner that it has started again does not depend on this daemon's link.
    const isCertain = (life: string) => runners.ofLife(life)?.restart.hasRestarted === true;
    const seen = news.filter(({ isSeen, key }) => isSeen && (!isOwnLinkSuspect || isCertain(key)));
    this.sendTo(seen, isLasting, reportRecipients());
    this.sendTo(news, isLasting, broadcastRecipients());
  }

  private sendTo(
    news: readonly RepeatedItem[],
    isLasting: boolean,
    recipients: readonly HostAndPort[],
  ): void {
    const { daemon, socket } = this.options;
    if (recipients.length === 0) return;
    for (const batch of inBatches(news, LIVES_IN_DATAGRAM)) {
      const lives = batch.map(({ key }) => key);
      const message = create(SuspectedRestartsSchema, { daemon, lives, isLasting });
      const bytes = toBinary(SuspectedRestartsSchema, message);
      socket.send(MessageKind.SUSPECTED_RESTARTS, bytes, recipients);
    }
  }
}
