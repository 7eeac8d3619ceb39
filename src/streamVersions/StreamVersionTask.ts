/**
 * Shares with the fleet which software version began each stream, so that any daemon can go on with a stream that its
 * caller takes up again. What two versions write does not fit together, and runners do not check it.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import {
  MessageKind,
  StreamVersionAnswerSchema,
  StreamVersionQuestionSchema,
  StreamVersionsSchema,
} from '../generated/baobabdock/v1/news_pb.js';
import type { StreamVersionQuestion } from '../generated/baobabdock/v1/news_pb.js';
import { parseAddress } from '../http/parseAddress.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import type { CallScheduler } from '../news/MessageRepeater.js';
import type { Runner } from '../runners/Runner.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { ServiceVersions } from './ServiceVersions.js';
import { StreamKeepers } from './StreamKeepers.js';
import { streamKeyOf } from './streamKey.js';
import type { StreamName } from './streamKey.js';
import { StreamRecords } from './StreamRecords.js';
import { decideTakeUp } from './takeUpDecision.js';
import type { StreamVersionView, TakeUpDecision } from './takeUpDecision.js';
import { VersionQuestions } from './VersionQuestions.js';

/** Options of a {@link StreamVersionTask}. */
export interface StreamVersionTaskOptions {
  /** This daemon's entry in the list of daemons. */
  daemon: DaemonEntry;
  socket: Pick<FleetSocket, 'handle' | 'send'>;
  /** Returns all listed runners. */
  runners: () => readonly Runner[];
  /** Returns the available daemons except this one. */
  daemons: () => readonly DaemonEntry[];
  /** Whether this daemon's list of runners is current. */
  isListCurrent: () => boolean;
  /** Returns the longest time that a stream may take, in ms. */
  longestStreamMilliseconds: () => number;
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
  /** Schedules a call; replaced by tests. */
  later?: CallScheduler;
}

/** A stream that a caller takes up, for the log. */
export interface TakeUpQuestion extends StreamName {
  /** Id of the caller's attempt that takes it up. */
  readonly request: string;
}

/** How long after its end a stream may be taken up, in ms: callers come back after a refusal or two. */
const TAKE_UP_MILLISECONDS = 10_000;

/** Interval between looks at the list of runners, in ms. */
const LOOK_MILLISECONDS = 500;

/** Records in one datagram of 1,400 bytes. */
const STREAMS_IN_DATAGRAM = 120;

interface BegunStream {
  readonly stream: bigint;
  readonly service: string;
  readonly softwareVersion: string;
}

/** Owns the records. */
export class StreamVersionTask {
  private readonly options: StreamVersionTaskOptions;

  private readonly later: CallScheduler;

  private readonly records = new StreamRecords();

  private readonly versions = new ServiceVersions();

  private readonly keepers = new StreamKeepers();

  /** Streams in progress that no other daemon knows of, because their services had one version only; by key. */
  private readonly untold = new Map<bigint, BegunStream>();

  private readonly questions: VersionQuestions;

  private readonly takeUps;

  /** How long a stream may be taken up after it has begun, in ms. */
  private retentionMilliseconds = Number.POSITIVE_INFINITY;

  private isStopped = false;

  /**
   * @param options - this daemon, the runners and the other daemons.
   */
  constructor(options: StreamVersionTaskOptions) {
    const { daemon, socket, registry, later = setTimeout } = options;
    this.options = options;
    this.later = later;
    this.questions = new VersionQuestions({ daemon, socket, keepers: this.keepers, later });
    this.takeUps = registry.counter({
      name: 'stream_take_ups',
      help: 'Streams that callers took up again, by how the software version that began them was found.',
      labels: ['evidence'] as const,
    });
    socket.handle(MessageKind.STREAM_VERSIONS, (message) => this.handleRecords(message));
    socket.handle(MessageKind.STREAM_VERSION_QUESTION, (message) =>
      this.answer(fromBinary(StreamVersionQuestionSchema, message)),
    );
  }

  /** Starts to look at the list of runners. */
  start(): void {
    this.look();
  }

  /** Ends it. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Records the version that begins a stream, or that goes on with one that was taken up.
   *
   * @param name - service, account and id of the stream.
   * @param softwareVersion - version of the runner.
   * @returns Key of the stream.
   */
  begin(name: StreamName, softwareVersion: string): bigint {
    const stream = streamKeyOf(name);
    const begun = { stream, service: name.service, softwareVersion };
    this.records.record(stream, softwareVersion);
    this.versions.note(name.service, softwareVersion, this.now);
    if (this.hasOneVersion(name.service)) this.untold.set(stream, begun);
    else this.tell([begun]);
    return stream;
  }

  /**
   * @param stream - key of a stream that has ended at this daemon.
   */
  end(stream: bigint): void {
    this.untold.delete(stream);
  }

  /**
   * Finds the version that began a stream.
   *
   * @param name - the stream, and the request that takes it up.
   * @param done - called once, synchronously or later.
   */
  find(name: TakeUpQuestion, done: (decision: TakeUpDecision) => void): void {
    const startedAt = this.now;
    const { service } = name;
    const stream = streamKeyOf(name);
    const finish = (others: readonly StreamVersionView[]) => {
      const decision = this.decide(stream, service, others);
      if (decision.evidence === 'recorded') this.records.record(stream, decision.softwareVersion);
      this.report(name, decision, startedAt);
      done(decision);
    };
    this.see();
    const isAlone = this.options.daemons().length === 0;
    if (isAlone || this.records.versionOf(stream) !== undefined) finish([]);
    else this.questions.ask(stream, service, finish);
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  /** Looks at the list of runners again and again: a version may come and go while no stream begins. */
  private look(): void {
    if (this.isStopped) return;
    this.retentionMilliseconds = this.options.longestStreamMilliseconds() + TAKE_UP_MILLISECONDS;
    this.see();
    this.records.expire(this.now, this.retentionMilliseconds);
    const known = [...this.untold.values()].filter(({ service }) => !this.hasOneVersion(service));
    for (const { stream } of known) this.untold.delete(stream);
    this.tell(known);
    this.later(() => this.look(), LOOK_MILLISECONDS);
  }

  private see(): void {
    const { daemon, daemons, runners } = this.options;
    this.versions.see(runners(), this.now);
    this.keepers.update([daemon, ...daemons()]);
  }

  /** Whether the version of a stream of the service follows without a record, as long as no other one comes. */
  private hasOneVersion(service: string): boolean {
    const from = this.now - this.retentionMilliseconds;
    const only = this.versions.onlyVersionOf(service, from);
    return only !== undefined && this.versions.isKnownSince(service, from);
  }

  private tell(streams: readonly BegunStream[]): void {
    if (streams.length === 0) return;
    const { daemon, daemons } = this.options;
    this.keepers.update([daemon, ...daemons()]);
    const groups = new Map<string, { recipients: HostAndPort[]; begun: BegunStream[] }>();
    for (const one of streams) {
      const keepers = this.keepers.keepersOf(one.stream).filter(({ name }) => name !== daemon.name);
      const addresses = keepers.map(({ newsAddress }) => newsAddress);
      const known = groups.get(addresses.join());
      if (known) known.begun.push(one);
      else {
        const recipients = addresses.map((address) => parseAddress(address));
        groups.set(addresses.join(), { recipients, begun: [one] });
      }
    }
    for (const { recipients, begun } of groups.values()) {
      for (let start = 0; start < begun.length; start += STREAMS_IN_DATAGRAM) {
        this.send(begun.slice(start, start + STREAMS_IN_DATAGRAM), recipients);
      }
    }
  }

  private send(streams: readonly BegunStream[], recipients: readonly HostAndPort[]): void {
    const versions = new Set(streams.map(({ softwareVersion }) => softwareVersion));
    const groups = [...versions].map((softwareVersion) => ({
      softwareVersion,
      streams: streams
        .filter((begun) => begun.softwareVersion === softwareVersion)
        .map(({ stream }) => stream),
    }));
    const message = toBinary(StreamVersionsSchema, create(StreamVersionsSchema, { groups }));
    this.options.socket.send(MessageKind.STREAM_VERSIONS, message, recipients);
  }

  private handleRecords(message: Uint8Array): void {
    for (const { softwareVersion, streams } of fromBinary(StreamVersionsSchema, message).groups) {
      for (const stream of streams) this.records.record(stream, softwareVersion);
    }
  }

  private viewOf(stream: bigint, service: string): StreamVersionView {
    const from = this.now - this.retentionMilliseconds;
    return {
      recorded: this.records.versionOf(stream),
      only: this.versions.onlyVersionOf(service, from),
    };
  }

  private decide(
    stream: bigint,
    service: string,
    others: readonly StreamVersionView[],
  ): TakeUpDecision {
    const isListCurrent = this.options.isListCurrent();
    return decideTakeUp({ own: this.viewOf(stream, service), others, isListCurrent });
  }

  private answer({ address, number, stream, service }: StreamVersionQuestion): void {
    this.see();
    const { recorded, only } = this.viewOf(stream, service);
    // A daemon that knows no runner of the service has nothing to say of it.
    if (recorded === undefined && !this.versions.isKnownSince(service, this.now)) return;
    const message = create(StreamVersionAnswerSchema, {
      daemon: this.options.daemon.name,
      number,
      ...(recorded !== undefined && { softwareVersion: recorded }),
      ...(only !== undefined && { onlyVersion: only }),
    });
    const bytes = toBinary(StreamVersionAnswerSchema, message);
    this.options.socket.send(MessageKind.STREAM_VERSION_ANSWER, bytes, [parseAddress(address)]);
  }

  private report(name: TakeUpQuestion, decision: TakeUpDecision, startedAt: number): void {
    const { evidence, softwareVersion } = decision;
    this.takeUps.increment({ evidence });
    const event =
      evidence === 'unknown' ? forwardingLogEvents.versionUnknown : forwardingLogEvents.takenUp;
    this.options.log.write(event, {
      request: name.request,
      stream: name.id,
      service: name.service,
      evidence,
      softwareVersion,
      milliseconds: Math.round(this.now - startedAt),
    });
  }
}
