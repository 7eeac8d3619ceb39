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
import type {
  StreamVersionAnswer,
  StreamVersionQuestion,
} from '../generated/baobabdock/v1/news_pb.js';
import { parseAddress } from '../http/parseAddress.js';
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

/** How long the keepers of a record may take to answer, in ms: a round trip, and the queue for a busy processor. */
const FIRST_ANSWER_MILLISECONDS = 60;

/** How long all that are asked after them may take, in ms. */
const SECOND_ANSWER_MILLISECONDS = 140;

/** Records in one datagram of 1,400 bytes. */
const STREAMS_IN_DATAGRAM = 120;

interface BegunStream {
  readonly stream: bigint;
  readonly service: string;
  readonly softwareVersion: string;
}

interface PendingQuestion {
  readonly stream: bigint;
  readonly service: string;
  readonly views: StreamVersionView[];
  readonly unanswered: Set<string>;
  isSecond: boolean;
  readonly done: (decision: TakeUpDecision) => void;
}

/** Owns the records, and the questions in progress. */
export class StreamVersionTask {
  private readonly options: StreamVersionTaskOptions;

  private readonly later: CallScheduler;

  private readonly records = new StreamRecords();

  private readonly versions = new ServiceVersions();

  private readonly keepers = new StreamKeepers();

  /** Streams in progress that no other daemon knows of, because their services had one version only; by key. */
  private readonly untold = new Map<bigint, BegunStream>();

  private readonly pending = new Map<number, PendingQuestion>();

  private readonly takeUps;

  private lastNumber = 0;

  /** How long a stream may be taken up after it has begun, in ms. */
  private retentionMilliseconds = Number.POSITIVE_INFINITY;

  private isStopped = false;

  /**
   * @param options - this daemon, the runners and the other daemons.
   */
  constructor(options: StreamVersionTaskOptions) {
    const { socket, registry, later = setTimeout } = options;
    this.options = options;
    this.later = later;
    this.takeUps = registry.counter({
      name: 'stream_take_ups',
      help: 'Streams that callers took up again, by how the software version that began them was found.',
      labels: ['evidence'] as const,
    });
    socket.handle(MessageKind.STREAM_VERSIONS, (message) => this.handleRecords(message));
    socket.handle(MessageKind.STREAM_VERSION_QUESTION, (message) =>
      this.answer(fromBinary(StreamVersionQuestionSchema, message)),
    );
    socket.handle(MessageKind.STREAM_VERSION_ANSWER, (message) =>
      this.handleAnswer(fromBinary(StreamVersionAnswerSchema, message)),
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
   */
  begin(name: StreamName, softwareVersion: string): void {
    const stream = streamKeyOf(name);
    const begun = { stream, service: name.service, softwareVersion };
    this.records.record(stream, softwareVersion);
    this.versions.note(name.service, softwareVersion, this.now);
    if (this.hasOneVersion(name.service)) this.untold.set(stream, begun);
    else this.tell([begun]);
  }

  /**
   * @param name - stream that has ended at this daemon.
   */
  end(name: StreamName): void {
    if (this.untold.size > 0) this.untold.delete(streamKeyOf(name));
  }

  /**
   * Finds the version that began a stream.
   *
   * @param name - the stream, and the request that takes it up.
   * @param done - called once, synchronously or later.
   */
  find(name: TakeUpQuestion, done: (decision: TakeUpDecision) => void): void {
    const startedAt = this.now;
    const stream = streamKeyOf(name);
    const finish = (decision: TakeUpDecision) => {
      this.report(name, decision, startedAt);
      done(decision);
    };
    this.see();
    const others = this.options.daemons();
    if (this.records.versionOf(stream) !== undefined || others.length === 0) {
      finish(this.decide(stream, name.service, []));
      return;
    }
    this.lastNumber += 1;
    const { service } = name;
    const unanswered = new Set<string>();
    const question = { stream, service, views: [], unanswered, isSecond: false, done: finish };
    this.pending.set(this.lastNumber, question);
    this.ask(this.lastNumber, question, this.others(this.keepers.keepersOf(stream)));
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

  private others(daemons: readonly DaemonEntry[]): DaemonEntry[] {
    return daemons.filter(({ name }) => name !== this.options.daemon.name);
  }

  private tell(streams: readonly BegunStream[]): void {
    if (streams.length === 0) return;
    const { daemon, daemons } = this.options;
    this.keepers.update([daemon, ...daemons()]);
    const byRecipients = new Map<string, BegunStream[]>();
    for (const begun of streams) {
      const keepers = this.others(this.keepers.keepersOf(begun.stream));
      const key = keepers.map(({ newsAddress }) => newsAddress).join();
      byRecipients.set(key, [...(byRecipients.get(key) ?? []), begun]);
    }
    for (const [addresses, begun] of byRecipients) {
      for (let start = 0; start < begun.length && addresses !== ''; start += STREAMS_IN_DATAGRAM) {
        this.send(begun.slice(start, start + STREAMS_IN_DATAGRAM), addresses.split(','));
      }
    }
  }

  private send(streams: readonly BegunStream[], addresses: readonly string[]): void {
    const versions = new Set(streams.map(({ softwareVersion }) => softwareVersion));
    const groups = [...versions].map((softwareVersion) => ({
      softwareVersion,
      streams: streams
        .filter((begun) => begun.softwareVersion === softwareVersion)
        .map(({ stream }) => stream),
    }));
    const message = toBinary(StreamVersionsSchema, create(StreamVersionsSchema, { groups }));
    this.options.socket.send(
      MessageKind.STREAM_VERSIONS,
      message,
      addresses.map((address) => parseAddress(address)),
    );
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

  private ask(number: number, question: PendingQuestion, daemons: readonly DaemonEntry[]): void {
    const { daemon, socket } = this.options;
    const { stream, service, unanswered, isSecond } = question;
    for (const { name } of daemons) unanswered.add(name);
    const message = create(StreamVersionQuestionSchema, {
      address: daemon.newsAddress,
      number,
      stream,
      service,
    });
    socket.send(
      MessageKind.STREAM_VERSION_QUESTION,
      toBinary(StreamVersionQuestionSchema, message),
      daemons.map(({ newsAddress }) => parseAddress(newsAddress)),
    );
    const milliseconds = isSecond ? SECOND_ANSWER_MILLISECONDS : FIRST_ANSWER_MILLISECONDS;
    this.later(() => this.handleTimeout(number, isSecond), milliseconds);
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

  private handleAnswer(answer: StreamVersionAnswer): void {
    const { number, daemon, softwareVersion: recorded, onlyVersion: only } = answer;
    const question = this.pending.get(number);
    if (!question?.unanswered.delete(daemon)) return;
    question.views.push({ recorded, only });
    if (recorded !== undefined) this.finish(number, question);
    else if (question.unanswered.size === 0) this.goOn(number, question);
  }

  private handleTimeout(number: number, wasSecond: boolean): void {
    const question = this.pending.get(number);
    if (question?.isSecond === wasSecond) this.goOn(number, question);
  }

  /** Asks more daemons, if there are any; a keeper that has not answered is asked again. */
  private goOn(number: number, question: PendingQuestion): void {
    const { stream, views, unanswered, isSecond } = question;
    const more = this.others(this.keepers.askableFor(stream));
    const isComplete = unanswered.size === 0 && views.length >= more.length;
    if (isSecond || isComplete) {
      this.finish(number, question);
      return;
    }
    Object.assign(question, { isSecond: true, views: [] });
    this.ask(number, question, more);
  }

  private finish(number: number, { stream, service, views, done }: PendingQuestion): void {
    this.pending.delete(number);
    const recorded = views.find((view) => view.recorded !== undefined)?.recorded;
    if (recorded !== undefined) this.records.record(stream, recorded);
    done(this.decide(stream, service, views));
  }

  private report(name: TakeUpQuestion, decision: TakeUpDecision, startedAt: number): void {
    const { evidence } = decision;
    this.takeUps.increment({ evidence });
    const event =
      evidence === 'unknown' ? forwardingLogEvents.versionUnknown : forwardingLogEvents.takenUp;
    this.options.log.write(event, {
      request: name.request,
      stream: name.id,
      service: name.service,
      evidence,
      softwareVersion: decision.evidence === 'unknown' ? undefined : decision.softwareVersion,
      milliseconds: Math.round(this.now - startedAt),
    });
  }
}
