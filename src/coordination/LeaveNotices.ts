/**
 * Runners that have said in their answers that they leave: they get no more requests from any daemon, whatever the store
 * lists.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import type { RunnerConnections } from '../forwarding/RunnerConnections.js';
import { LeavingRunnersSchema, MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import { RepeatedNews } from '../news/RepeatedNews.js';
import type { Later, WaitingNews } from '../news/RepeatedNews.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import { coordinationLogEvents } from './coordinationFeature.js';

/** Options of a {@link LeaveNotices}. */
export interface LeaveNoticesOptions {
  /** This daemon's name. */
  daemon: string;
  runners: RunnerTable;
  connections: Pick<RunnerConnections, 'release'>;
  socket: Pick<FleetSocket, 'handle' | 'send'>;
  log: Log;
  /** Those that all daemons tell. */
  reportTo: () => readonly HostAndPort[];
  /** Those that this daemon tells what others have told it. */
  tellTo: () => readonly HostAndPort[];
  /** Calls later; replaced by tests. */
  later?: Later;
}

/** Lives that fit into a datagram of 1,400 bytes. */
const LIVES_IN_DATAGRAM = 24;

/** Takes the word of runners and of other daemons, and passes it on. */
export class LeaveNotices {
  private readonly options: LeaveNoticesOptions;

  private readonly news: RepeatedNews;

  /**
   * @param options - runners, and who is told.
   */
  constructor(options: LeaveNoticesOptions) {
    const { daemon, socket, later } = options;
    this.options = options;
    this.news = new RepeatedNews({ send: (news) => this.send(news), later });
    socket.handle(MessageKind.LEAVING_RUNNERS, (message) => {
      const { daemon: teller, lives } = fromBinary(LeavingRunnersSchema, message);
      if (teller !== daemon) this.learn(lives, teller);
    });
  }

  /**
   * @param life - of a runner that has told this daemon that it leaves.
   */
  heard(life: string): void {
    this.mark(life);
  }

  /**
   * @param lives - of runners that have told another daemon.
   * @param teller - that daemon.
   */
  learn(lives: readonly string[], teller: string): void {
    for (const life of lives) this.mark(life, teller);
  }

  /** Tells others no more. */
  stop(): void {
    this.news.stop();
  }

  private mark(life: string, teller?: string): void {
    const { runners, connections, log } = this.options;
    if (!runners.markLeaving(life)) return;
    connections.release(life);
    log.write(coordinationLogEvents.runnerLeaves, { life, toldBy: teller ?? 'runner' });
    this.news.add({ key: life, isSeen: teller === undefined });
  }

  private send(news: readonly WaitingNews[]): void {
    const { reportTo, tellTo } = this.options;
    this.sendTo(
      news.filter(({ isSeen }) => isSeen),
      reportTo(),
    );
    this.sendTo(news, tellTo());
  }

  private sendTo(news: readonly WaitingNews[], recipients: readonly HostAndPort[]): void {
    const { daemon, socket } = this.options;
    if (recipients.length === 0) return;
    for (let start = 0; start < news.length; start += LIVES_IN_DATAGRAM) {
      const lives = news.slice(start, start + LIVES_IN_DATAGRAM).map(({ key }) => key);
      const message = create(LeavingRunnersSchema, { daemon, lives });
      const bytes = toBinary(LeavingRunnersSchema, message);
      socket.send(MessageKind.LEAVING_RUNNERS, bytes, recipients);
    }
  }
}
