/**
 * Runners that have announced their shutdown in an answer. No daemon sends them further requests, whatever state the
 * store lists them in.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import { inBatches } from '../collections/inBatches.js';
import type { RunnerConnections } from '../forwarding/RunnerConnections.js';
import { LeavingRunnersSchema, MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import { MessageRepeater } from '../news/MessageRepeater.js';
import type { CallScheduler, RepeatedItem } from '../news/MessageRepeater.js';
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
  /** Daemons that every daemon reports to. */
  reportRecipients: () => readonly HostAndPort[];
  /** Daemons that this daemon forwards others' reports to. */
  broadcastRecipients: () => readonly HostAndPort[];
  /** Schedules a call; replaced by tests. */
  later?: CallScheduler;
}

/** Incarnations that fit into a datagram of 1,400 bytes. */
const LIVES_IN_DATAGRAM = 24;

/** Marks leaving runners, learnt from the runners themselves or from other daemons, and forwards the notices. */
export class LeaveNotices {
  private readonly options: LeaveNoticesOptions;

  private readonly news: MessageRepeater;

  /**
   * @param options - the runners and the daemons to notify.
   */
  constructor(options: LeaveNoticesOptions) {
    const { daemon, socket, later } = options;
    this.options = options;
    this.news = new MessageRepeater({ send: (news) => this.send(news), later });
    socket.handle(MessageKind.LEAVING_RUNNERS, (message) => {
      const { daemon: teller, lives } = fromBinary(LeavingRunnersSchema, message);
      if (teller !== daemon) this.recordFromDaemon(lives, teller);
    });
  }

  /**
   * Records a notice that this daemon received from the runner itself.
   *
   * @param life - incarnation of the leaving runner.
   */
  recordFromRunner(life: string): void {
    this.mark(life);
  }

  /**
   * Records notices that another daemon has sent.
   *
   * @param lives - incarnations of the leaving runners.
   * @param sender - name of the daemon that sent the notices.
   */
  recordFromDaemon(lives: readonly string[], sender: string): void {
    for (const life of lives) this.mark(life, sender);
  }

  /** Stops sending notices. */
  stop(): void {
    this.news.stop();
  }

  private mark(life: string, sender?: string): void {
    const { runners, connections, log } = this.options;
    if (!runners.markLeaving(life)) return;
    connections.release(life);
    log.write(coordinationLogEvents.runnerLeaves, { life, toldBy: sender ?? 'runner' });
    this.news.add({ key: life, isSeen: sender === undefined });
  }

  private send(news: readonly RepeatedItem[]): void {
    const { reportRecipients, broadcastRecipients } = this.options;
    this.sendTo(
      news.filter(({ isSeen }) => isSeen),
      reportRecipients(),
    );
    this.sendTo(news, broadcastRecipients());
  }

  private sendTo(news: readonly RepeatedItem[], recipients: readonly HostAndPort[]): void {
    const { daemon, socket } = this.options;
    if (recipients.length === 0) return;
    for (const batch of inBatches(news, LIVES_IN_DATAGRAM)) {
      const lives = batch.map(({ key }) => key);
      const message = create(LeavingRunnersSchema, { daemon, lives });
      const bytes = toBinary(LeavingRunnersSchema, message);
      socket.send(MessageKind.LEAVING_RUNNERS, bytes, recipients);
    }
  }
}
