/**
 * Sends the records of streams that begin at this daemon to the daemons that keep them.
 */
import { create, toBinary } from '@bufbuild/protobuf';

import { inBatches } from '../collections/inBatches.js';
import { MessageKind, StreamVersionsSchema } from '../generated/baobabdock/v1/news_pb.js';
import { parseAddress } from '../http/parseAddress.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import type { CallScheduler } from '../news/MessageRepeater.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { RecordCollector } from './RecordCollector.js';
import { bucketOf } from './streamBuckets.js';
import type { StreamKeepers } from './StreamKeepers.js';
import type { StreamRecordGroup } from './streamVersionTypes.js';

/** A stream that began at this daemon, or goes on there. */
export interface BegunStream {
  readonly service: string;
  readonly stream: bigint;
  readonly softwareVersion: string;
}

/** Options of a {@link RecordSender}. */
export interface RecordSenderOptions {
  /** Name of this daemon. */
  daemon: string;
  socket: Pick<FleetSocket, 'send'>;
  keepers: StreamKeepers;
  /** Schedules a call. */
  later: CallScheduler;
}

/** Records in one datagram of 1,400 bytes. */
const STREAMS_IN_DATAGRAM = 120;

/** Delay after which a record is sent once more, in ms, because datagrams get lost. */
const REPEAT_MILLISECONDS = 200;

/**
 * How long records are collected that are not urgent, in ms: less than most streams take to their first event, without
 * which no caller takes one up.
 */
const FIRST_COLLECT_MILLISECONDS = 10;
const COLLECT_MILLISECONDS = 50;

/** How long they are collected for the other keepers of a small fleet, in ms. */
const LATE_COLLECT_MILLISECONDS = 500;

/**
 * Groups streams by the version that began them.
 *
 * @param streams - streams of any version.
 * @returns One group for each version.
 */
export function groupByVersion(
  streams: readonly Pick<BegunStream, 'stream' | 'softwareVersion'>[],
): StreamRecordGroup[] {
  const groups = new Map<string, bigint[]>();
  for (const { softwareVersion, stream } of streams) {
    const known = groups.get(softwareVersion);
    if (known) known.push(stream);
    else groups.set(softwareVersion, [stream]);
  }
  return [...groups].map(([softwareVersion, keys]) => ({ softwareVersion, streams: keys }));
}

/** Decides which daemons get a record, and when. */
export class RecordSender {
  private readonly options: RecordSenderOptions;

  /** Records for those that get them first. */
  private readonly early: RecordCollector;

  /** Records for all other keepers of a small fleet. */
  private readonly late: RecordCollector;

  /**
   * @param options - this daemon, and who keeps records.
   */
  constructor(options: RecordSenderOptions) {
    const { later } = options;
    this.options = options;
    this.early = new RecordCollector({
      firstMilliseconds: FIRST_COLLECT_MILLISECONDS,
      pauseMilliseconds: COLLECT_MILLISECONDS,
      send: (begun) => this.send(begun, (stream) => this.firstHoldersOf(stream)),
      later,
    });
    this.late = new RecordCollector({
      firstMilliseconds: LATE_COLLECT_MILLISECONDS,
      pauseMilliseconds: LATE_COLLECT_MILLISECONDS,
      send: (begun) => this.send(begun, (stream) => this.otherHoldersOf(stream)),
      later,
    });
  }

  /**
   * Sends a record at once, and once more.
   *
   * @param begun - the stream.
   */
  sendNow(begun: BegunStream): void {
    this.drop(begun.stream);
    this.sendTwice([begun]);
  }

  /**
   * Sends a record with others, unless the stream has ended by then.
   *
   * @param begun - the stream.
   */
  collect(begun: BegunStream): void {
    this.early.add(begun);
    if (this.options.keepers.isSmall) this.late.add(begun);
  }

  /**
   * Sends where prompts are cached to those that are asked for it, and once more.
   *
   * @param prompts - prompts with the version of a runner that has them cached.
   */
  sendPrompts(prompts: readonly BegunStream[]): void {
    this.sendTwice(prompts, MessageKind.PROMPT_VERSIONS);
  }

  /** Sends all records that are collected, because they have become urgent. */
  flush(): void {
    this.sendTwice([...new Set([...this.early.takeAll(), ...this.late.takeAll()])]);
  }

  /**
   * Drops the record of a stream that is over, if it has not been sent yet.
   *
   * @param stream - key of the stream.
   */
  drop(stream: bigint): void {
    this.early.drop(stream);
    this.late.drop(stream);
  }

  private sendTwice(begun: readonly BegunStream[], kind = MessageKind.STREAM_VERSIONS): void {
    const holdersOf = (stream: bigint) => this.options.keepers.holdersOf(stream);
    const send = () => this.send(begun, holdersOf, kind);
    if (begun.length === 0) return;
    send();
    this.options.later(send, REPEAT_MILLISECONDS);
  }

  /** In a large fleet, fewer daemons get the records that are not urgent, in fewer and longer messages. */
  private firstHoldersOf(stream: bigint): readonly DaemonEntry[] {
    const { keepers, daemon } = this.options;
    if (keepers.isSmall) return keepers.firstKeepersOf(daemon);
    const first = keepers.keepersOf(stream).slice(0, 1);
    return [...new Set([...first, ...keepers.writersOf(bucketOf(stream))])];
  }

  private otherHoldersOf(stream: bigint): readonly DaemonEntry[] {
    const { keepers, daemon } = this.options;
    const first = keepers.firstKeepersOf(daemon);
    return keepers.keepersOf(stream).filter((keeper) => !first.includes(keeper));
  }

  private send(
    streams: readonly BegunStream[],
    recipientsOf: (stream: bigint) => readonly DaemonEntry[],
    kind = MessageKind.STREAM_VERSIONS,
  ): void {
    const bySet = new Map<string, { recipients: HostAndPort[]; begun: BegunStream[] }>();
    for (const one of streams) {
      const others = recipientsOf(one.stream).filter(({ name }) => name !== this.options.daemon);
      const addresses = others.map(({ newsAddress }) => newsAddress);
      const known = bySet.get(addresses.join());
      if (known) known.begun.push(one);
      else {
        const recipients = addresses.map((address) => parseAddress(address));
        bySet.set(addresses.join(), { recipients, begun: [one] });
      }
    }
    for (const { recipients, begun } of bySet.values()) this.sendTo(recipients, begun, kind);
  }

  private sendTo(
    recipients: readonly HostAndPort[],
    begun: readonly BegunStream[],
    kind: MessageKind,
  ): void {
    if (recipients.length === 0) return;
    for (const part of inBatches(begun, STREAMS_IN_DATAGRAM)) {
      const services = new Set(part.map(({ service }) => service));
      const groups = [...services].flatMap((service) =>
        groupByVersion(part.filter((one) => one.service === service)).map(
          ({ softwareVersion, streams }) => ({ service, softwareVersion, streams: [...streams] }),
        ),
      );
      const content = create(StreamVersionsSchema, { groups });
      const message = toBinary(StreamVersionsSchema, content);
      this.options.socket.send(kind, message, recipients);
    }
  }
}
