/**
 * Shares with the fleet which software version began each stream, so that any daemon can go on with a stream that its
 * caller takes up again. What two versions write does not fit together, and runners do not check it.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import {
  MessageKind,
  StreamVersionAnswerSchema,
  StreamVersionQuestionSchema,
  StreamVersionsSchema,
} from '../generated/baobabdock/v1/news_pb.js';
import type { StreamVersionQuestion } from '../generated/baobabdock/v1/news_pb.js';
import { parseAddress } from '../http/parseAddress.js';
import type { CallScheduler } from '../news/MessageRepeater.js';
import type { Runner } from '../runners/Runner.js';
import { HeldVersions } from './HeldVersions.js';
import { HistoryReport } from './HistoryReport.js';
import { PromptVersions } from './PromptVersions.js';
import { RecordSender } from './RecordSender.js';
import { ServiceVersions } from './ServiceVersions.js';
import type { Moment } from './ServiceVersions.js';
import { StreamArchive } from './StreamArchive.js';
import { StreamKeepers } from './StreamKeepers.js';
import { promptKeyOf, streamKeyOf } from './streamKey.js';
import type { StreamName } from './streamKey.js';
import { StreamRecords } from './StreamRecords.js';
import type { StreamVersionTaskOptions, TakeUpResult } from './streamVersionTaskTypes.js';
import type { SavedHistory } from './streamVersionTypes.js';
import { decideTakeUp } from './takeUpDecision.js';
import type { SeenVersion, StreamVersionView, TakeUpDecision } from './takeUpDecision.js';
import { TakeUpReport } from './TakeUpReport.js';
import type { TakeUpQuestion } from './TakeUpReport.js';
import { VersionHistoryWriter } from './VersionHistoryWriter.js';
import { VersionQuestions } from './VersionQuestions.js';
import type { AskedStream, QuestionResult } from './VersionQuestions.js';

/** How long after its end a stream may be taken up, in ms: callers come back after a refusal or two. */
const TAKE_UP_MILLISECONDS = 10_000;

/** Interval between looks at the list of runners, in ms. */
const LOOK_MILLISECONDS = 500;

/** How long a daemon that has just started waits for the records of the store before it answers a caller, in ms. */
const LOADING_MILLISECONDS = 600;

/** Interval at which it looks whether they have arrived, in ms. */
const LOADING_STEP_MILLISECONDS = 30;

/** `Retry-After` of a take-up that could not be decided because records were still being read. */
const LOADING_RETRY_SECONDS = 0.5;

/** Owns the records. */
export class StreamVersionTask {
  private readonly options: StreamVersionTaskOptions;

  private readonly later: CallScheduler;

  private readonly records = new StreamRecords();

  private readonly prompts: PromptVersions;

  private readonly versions: ServiceVersions;

  private readonly held: HeldVersions;

  private readonly historyReport: HistoryReport;

  private readonly keepers = new StreamKeepers();

  private readonly sender: RecordSender;

  private readonly archive: StreamArchive;

  private readonly historyWriter: VersionHistoryWriter;

  private readonly questions: VersionQuestions;

  private readonly report: TakeUpReport;

  private readonly startedAt: number;

  /** How long a stream may be taken up after it has begun, in ms. */
  private retentionMilliseconds = Number.POSITIVE_INFINITY;

  private isStopped = false;

  /**
   * @param options - this daemon, the runners and the other daemons.
   */
  constructor(options: StreamVersionTaskOptions) {
    const { daemon, socket, store, clock, log, registry, later = setTimeout } = options;
    const { keepers } = this;
    this.options = options;
    this.later = later;
    this.startedAt = this.now;
    this.versions = new ServiceVersions({ startedAt: this.moment });
    this.held = new HeldVersions({ clock, log, versions: this.versions });
    this.historyReport = new HistoryReport({ log, versions: this.versions });
    this.sender = new RecordSender({ daemon: daemon.name, socket, keepers, later });
    this.archive = new StreamArchive({
      ...{ store, clock, log, registry, later },
      writtenBuckets: () => keepers.bucketsOf(daemon.name),
      keyBucketOf: (bucket) => keepers.keyBucketOf(bucket),
      readBuckets: () => keepers.readBucketsOf(daemon.name),
      writeMilliseconds: () => keepers.writeMilliseconds,
      lifeMilliseconds: () => this.retentionMilliseconds,
      onRecord: (stream, softwareVersion) => this.records.record(stream, softwareVersion),
    });
    this.historyWriter = new VersionHistoryWriter({
      ...{ store, log, versions: this.versions },
      place: () => keepers.writerPlaceOf(daemon.name),
    });
    this.questions = new VersionQuestions({ daemon, socket, keepers, later });
    const { daemons, runners, fetchPrompts } = options;
    this.prompts = new PromptVersions({
      ...{ daemon: daemon.name, daemons, runners, fetchPrompts, clock, later },
      ...{ socket, keepers, sender: this.sender, log, registry },
      isNeeded: (service) => !this.isHistoryComplete || this.versionsOf(service).length > 1,
    });
    this.report = new TakeUpReport({
      ...{ clock, log, registry, startedAt: this.startedAt },
      versions: this.versions,
      versionsOf: (service) => this.versionsOf(service),
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
    this.archive.stop();
  }

  /**
   * Takes the versions of services that another daemon has saved to the store.
   *
   * @param history - the versions.
   */
  handleHistory(history: SavedHistory): void {
    this.versions.load(history, this.moment);
    this.handleNews();
  }

  /** Looks for versions that have appeared, since the list of runners has changed. */
  handleListing(): void {
    this.see();
    this.prompts.look();
    // Daemons that start a moment later find the history that this one has begun with.
    if (this.versions.isKnown) this.historyWriter.write(this.moment, this.retentionMilliseconds);
  }

  /**
   * @param runner - a runner that accepts new work.
   * @returns Whether streams may begin there that callers may take up again, see {@link ServiceVersions.mayBegin}.
   */
  mayBeginAt({ entry: { service }, softwareVersion }: Runner): boolean {
    if (this.versions.mayBegin(service, softwareVersion, this.now)) return true;
    return !this.options.followsStore() || this.held.mayBegin(service, softwareVersion);
  }

  /** Writes again what the restored store may have lost. */
  handleRestore(): void {
    this.historyWriter.handleRestore();
    const from = this.now - this.retentionMilliseconds;
    if (this.versions.hasSeveral(from)) this.archive.addAll(this.records.entries());
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
    const begun = { service: name.service, stream, softwareVersion };
    this.versions.note(name.service, softwareVersion, this.now);
    this.handleNews();
    const isUrgent = this.versionsOf(name.service).length > 1;
    this.records.record(stream, softwareVersion);
    if (isUrgent) {
      this.archive.add(stream, softwareVersion);
      this.sender.sendNow(begun);
    } else this.sender.collect(begun);
    return stream;
  }

  /**
   * @param stream - key of a stream that has ended at this daemon.
   */
  end(stream: bigint): void {
    this.sender.drop(stream);
  }

  /**
   * Finds the version that began a stream.
   *
   * @param name - the stream, and the request that takes it up.
   * @param done - called once, synchronously or later.
   */
  find(name: TakeUpQuestion, done: (result: TakeUpResult) => void): void {
    const startedAt = this.now;
    const { service, promptPart: part } = name;
    const stream = streamKeyOf(name);
    const prompt = part === undefined ? undefined : promptKeyOf({ service, part });
    const asked = { stream, service, prompt };
    this.see();
    this.onceLoaded(stream, startedAt + LOADING_MILLISECONDS, () => {
      const finish = (result: QuestionResult) => {
        const decision = this.decide(asked, result);
        if (decision.evidence === 'recorded') this.records.record(stream, decision.softwareVersion);
        const isSettled = this.isLoaded && result.isComplete && !this.isYoung;
        const mayPass = decision.evidence === 'unknown' && !isSettled;
        const { isLoaded } = this;
        const promptVersions = this.prompts.versionsOf(prompt);
        const outcome = { decision, result, mayPass, startedAt, isLoaded, promptVersions };
        this.report.write(name, outcome);
        done({
          softwareVersion: decision.softwareVersion,
          ...(mayPass && { retryAfterSeconds: LOADING_RETRY_SECONDS }),
        });
      };
      const isAlone = this.options.daemons().length === 0;
      if (isAlone || this.records.versionOf(stream) !== undefined) {
        finish({ answers: [], asked: 0, isComplete: true });
      } else this.questions.ask(asked, finish);
    });
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private get moment(): Moment {
    const { clock } = this.options;
    return { monotonic: clock.monotonicMilliseconds(), wall: clock.wallMilliseconds() };
  }

  /** Whether the history and the archive of the store have been read. */
  private get isLoaded(): boolean {
    return this.versions.isKnown && this.archive.isRead;
  }

  /** Whether callers may still come back with streams that broke off before the start of this daemon. */
  private get isYoung(): boolean {
    return this.now - this.startedAt < TAKE_UP_MILLISECONDS;
  }

  /** Whether no version is unknown here at which a stream may have begun that its caller takes up. */
  private get isHistoryComplete(): boolean {
    return this.versions.wasCompleteAtStart || !this.isYoung;
  }

  private onceLoaded(stream: bigint, until: number, proceed: () => void): void {
    const isRecorded = this.records.versionOf(stream) !== undefined;
    if (isRecorded || this.isLoaded || this.now >= until) proceed();
    else this.later(() => this.onceLoaded(stream, until, proceed), LOADING_STEP_MILLISECONDS);
  }

  /** Looks at the list of runners again and again: a version may come and go while no stream begins. */
  private look(): void {
    if (this.isStopped) return;
    this.retentionMilliseconds = this.options.longestStreamMilliseconds() + TAKE_UP_MILLISECONDS;
    this.see();
    this.records.expire(this.now, this.retentionMilliseconds);
    this.prompts.expire(this.now, this.retentionMilliseconds);
    this.prompts.look();
    if (this.versions.isKnown) {
      this.archive.start();
      this.historyWriter.write(this.moment, this.retentionMilliseconds);
    }
    this.later(() => this.look(), LOOK_MILLISECONDS);
  }

  private see(): void {
    const { daemon, daemons, runners } = this.options;
    this.keepers.update([daemon, ...daemons()]);
    this.versions.see(runners(), this.now);
    this.historyReport.look();
    this.held.look();
    this.handleNews();
  }

  /** A version has appeared, seen in the list of runners, in the history or in a record. */
  private handleNews(): void {
    if (!this.versions.takeNews()) return;
    // Streams in progress are of the versions before, which nobody can tell any more once all daemons have ended.
    this.sender.flush();
    this.archive.addAll(this.records.entries());
    this.archive.flushSoon();
    this.historyWriter.write(this.moment, this.retentionMilliseconds);
  }

  /** Versions that the service has had within the retention time. */
  private versionsOf(service: string): SeenVersion[] {
    return this.versions.versionsOf(service, this.now - this.retentionMilliseconds);
  }

  private handleRecords(message: Uint8Array): void {
    const { groups } = fromBinary(StreamVersionsSchema, message);
    for (const { service, softwareVersion } of groups) {
      if (service !== '') this.versions.note(service, softwareVersion, this.now);
    }
    this.handleNews();
    const isUrgent = this.versions.hasSeveral(this.now - this.retentionMilliseconds);
    for (const { softwareVersion, streams } of groups) {
      for (const stream of streams) {
        const isNew = this.records.versionOf(stream) !== softwareVersion;
        this.records.record(stream, softwareVersion);
        if (isNew && isUrgent) this.archive.add(stream, softwareVersion);
      }
    }
  }

  private viewOf({ stream, service, prompt }: AskedStream): StreamVersionView {
    // What a daemon that is not heard has begun, at a new version perhaps, has a record nowhere else. And without a runner
    // of an older version, streams begin at a new one before the store knows of it.
    const seen = this.versionsOf(service);
    const mayRuleOut =
      this.isYoung && this.options.isFleetWhole() && this.hasReadyRunnerOfOld(service, seen);
    const versions = seen.map((one) => ({
      ...one,
      isNewSinceStart: one.isNewSinceStart && mayRuleOut,
    }));
    return {
      recorded: this.records.versionOf(stream),
      versions: this.isLoaded ? versions : undefined,
      isKeeper: this.isKeeperOf(stream, this.options.daemon.name),
      promptVersions: this.prompts.versionsOf(prompt),
    };
  }

  /** Looks at the runners only where there is a version to rule out. */
  private hasReadyRunnerOfOld(service: string, seen: readonly SeenVersion[]): boolean {
    const old = seen.filter(({ isNewSinceStart }) => !isNewSinceStart);
    if (old.length === seen.length) return false;
    const versions = new Set(old.map(({ softwareVersion }) => softwareVersion));
    return this.options
      .runners()
      .some(
        ({ entry, softwareVersion }) =>
          entry.service === service && entry.state === 'ready' && versions.has(softwareVersion),
      );
  }

  private isKeeperOf(stream: bigint, daemon: string): boolean {
    return this.keepers.keepersOf(stream).some(({ name }) => name === daemon);
  }

  private decide(asked: AskedStream, { answers }: QuestionResult): TakeUpDecision {
    const { stream } = asked;
    const others = answers.map(({ daemon, ...answer }) => ({
      ...answer,
      isKeeper: this.isKeeperOf(stream, daemon),
    }));
    return decideTakeUp({
      ...{ own: this.viewOf(asked), others },
      isListCurrent: this.options.isListCurrent(),
      isHistoryComplete: this.isHistoryComplete,
      arePromptsListed: asked.prompt !== undefined && this.prompts.hasAny,
      keepers: this.keepers.keepersOf(stream).length,
    });
  }

  private answer({ address, number, stream, service, ...asked }: StreamVersionQuestion): void {
    this.see();
    const prompt = asked.prompt === 0n ? undefined : asked.prompt;
    const { recorded, versions, promptVersions } = this.viewOf({ stream, service, prompt });
    // A daemon that knows no runner of the service, or has not read the store yet, has nothing to say of it.
    const isKnown = versions !== undefined && this.versions.isKnownSince(service, this.now);
    if (recorded === undefined && !isKnown && promptVersions.length === 0) return;
    const [only] = versions ?? [];
    const message = create(StreamVersionAnswerSchema, {
      daemon: this.options.daemon.name,
      number,
      ...(recorded !== undefined && { softwareVersion: recorded }),
      ...(only && versions?.length === 1 && { onlyVersion: only.softwareVersion }),
      versions: [...(versions ?? [])],
      promptVersions: [...promptVersions],
    });
    const bytes = toBinary(StreamVersionAnswerSchema, message);
    this.options.socket.send(MessageKind.STREAM_VERSION_ANSWER, bytes, [parseAddress(address)]);
  }
}
