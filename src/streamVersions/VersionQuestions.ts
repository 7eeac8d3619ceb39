/**
 * Asks other daemons which software version began a stream: its keepers first, then others.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import {
  MessageKind,
  StreamVersionAnswerSchema,
  StreamVersionQuestionSchema,
} from '../generated/baobabdock/v1/news_pb.js';
import type { StreamVersionAnswer } from '../generated/baobabdock/v1/news_pb.js';
import { parseAddress } from '../http/parseAddress.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import type { CallScheduler } from '../news/MessageRepeater.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { bucketOf } from './streamBuckets.js';
import type { StreamKeepers } from './StreamKeepers.js';
import type { SeenVersion } from './takeUpDecision.js';

/** Options of {@link VersionQuestions}. */
export interface VersionQuestionsOptions {
  /** This daemon's entry in the list of daemons. */
  daemon: DaemonEntry;
  socket: Pick<FleetSocket, 'handle' | 'send'>;
  keepers: StreamKeepers;
  /** Schedules a call. */
  later: CallScheduler;
}

/** How long the keepers of a record may take to answer, in ms: a round trip, and the queue for a busy processor. */
const FIRST_ANSWER_MILLISECONDS = 60;

/** How long all that are asked after them may take, in ms. */
const SECOND_ANSWER_MILLISECONDS = 140;

/** What another daemon has answered. */
export interface VersionAnswer {
  readonly daemon: string;
  /** Version that began the stream; `undefined` if the daemon has no record of it. */
  readonly recorded: string | undefined;
  /** All versions that it has known lately; `undefined` if its build does not say them. */
  readonly versions: readonly SeenVersion[] | undefined;
  /** Versions of the runners that have the stream's prompt cached, as far as it has been told. */
  readonly promptVersions: readonly string[];
}

/** The stream that is asked about. */
export interface AskedStream {
  /** Its key. */
  readonly stream: bigint;
  readonly service: string;
  /** Key of its prompt, if it has one. */
  readonly prompt?: bigint | undefined;
}

/** What has come of a question. */
export interface QuestionResult {
  readonly answers: readonly VersionAnswer[];
  /** Number of daemons that were asked. */
  readonly asked: number;
  /** Whether a daemon that writes the stream's records to the store has answered. */
  readonly isComplete: boolean;
}

interface PendingQuestion extends AskedStream {
  readonly answers: VersionAnswer[];
  readonly unanswered: Set<string>;
  readonly isSecond: boolean;
  readonly asked: number;
  readonly done: (result: QuestionResult) => void;
}

function onlyVersionOf(softwareVersion: string): SeenVersion {
  return { softwareVersion, isNewSinceStart: false };
}

/** Owns the questions in progress. */
export class VersionQuestions {
  private readonly options: VersionQuestionsOptions;

  private readonly pending = new Map<number, PendingQuestion>();

  private lastNumber = 0;

  /**
   * @param options - this daemon, and whom it asks.
   */
  constructor(options: VersionQuestionsOptions) {
    this.options = options;
    options.socket.handle(MessageKind.STREAM_VERSION_ANSWER, (message) =>
      this.handleAnswer(fromBinary(StreamVersionAnswerSchema, message)),
    );
  }

  /**
   * @param asked - the stream.
   * @param done - called once with the answers: as soon as one has a record, or all have answered, or time is up.
   */
  ask(asked: AskedStream, done: PendingQuestion['done']): void {
    this.lastNumber += 1;
    const unanswered = new Set<string>();
    const question = { ...asked, answers: [], unanswered, isSecond: false, asked: 0, done };
    this.pending.set(this.lastNumber, question);
    this.send(this.lastNumber, question, this.holdersOf(asked));
  }

  /** The daemons that keep the record of a stream, or what is known of its prompt. */
  private holdersOf({ stream, prompt }: AskedStream): DaemonEntry[] {
    const { keepers } = this.options;
    const ofPrompt = prompt === undefined ? [] : keepers.holdersOf(prompt);
    return [...new Set([...keepers.holdersOf(stream), ...ofPrompt])];
  }

  private send(number: number, question: PendingQuestion, daemons: readonly DaemonEntry[]): void {
    const { daemon, socket, later } = this.options;
    const { stream, service, prompt = 0n, unanswered, isSecond } = question;
    const others = daemons.filter(({ name }) => name !== daemon.name);
    for (const { name } of others) unanswered.add(name);
    Object.assign(question, { asked: others.length });
    const message = create(StreamVersionQuestionSchema, {
      address: daemon.newsAddress,
      number,
      stream,
      service,
      prompt,
    });
    socket.send(
      MessageKind.STREAM_VERSION_QUESTION,
      toBinary(StreamVersionQuestionSchema, message),
      others.map(({ newsAddress }) => parseAddress(newsAddress)),
    );
    const milliseconds = isSecond ? SECOND_ANSWER_MILLISECONDS : FIRST_ANSWER_MILLISECONDS;
    later(() => this.handleTimeout(number, isSecond), milliseconds);
  }

  private handleAnswer(answer: StreamVersionAnswer): void {
    const { number, daemon, softwareVersion: recorded, onlyVersion: only, versions } = answer;
    const { promptVersions } = answer;
    const question = this.pending.get(number);
    if (!question?.unanswered.delete(daemon)) return;
    const olderBuild = only === undefined ? undefined : [onlyVersionOf(only)];
    question.answers.push({
      daemon,
      recorded,
      versions: versions.length > 0 ? versions : olderBuild,
      promptVersions,
    });
    if (recorded !== undefined) this.finish(number, question);
    else if (question.unanswered.size === 0) this.goOn(number, question);
  }

  private handleTimeout(number: number, wasSecond: boolean): void {
    const question = this.pending.get(number);
    if (question?.isSecond === wasSecond) this.goOn(number, question);
  }

  /** Asks more daemons, if there are any; a keeper that has not answered is asked again. */
  private goOn(number: number, question: PendingQuestion): void {
    const { daemon, keepers } = this.options;
    const { stream } = question;
    const askable = new Set([...this.holdersOf(question), ...keepers.askableFor(stream)]);
    const more = [...askable].filter(({ name }) => name !== daemon.name);
    const isComplete = question.unanswered.size === 0 && question.answers.length >= more.length;
    if (question.isSecond || isComplete) {
      this.finish(number, question);
      return;
    }
    Object.assign(question, { isSecond: true, answers: [] });
    this.send(number, question, more);
  }

  private finish(number: number, { stream, answers, asked, done }: PendingQuestion): void {
    this.pending.delete(number);
    const writers = this.options.keepers.writersOf(bucketOf(stream));
    const isWriter = (name: string) => writers.some((writer) => writer.name === name);
    const isComplete =
      isWriter(this.options.daemon.name) || answers.some(({ daemon }) => isWriter(daemon));
    done({ answers, asked, isComplete });
  }
}
