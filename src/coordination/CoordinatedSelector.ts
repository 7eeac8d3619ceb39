/**
 * Selects a runner by asking the coordinator that is responsible for a request's prompt. Falls back to this daemon's
 * own choice when no coordinator answers in time.
 */
import { randomInt } from 'node:crypto';

import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { match } from 'ts-pattern';

import { LONGEST_WAIT_SHARE } from '../admission/AdmissionDecisions.js';
import { admissionLogEvents } from '../admission/admissionFeature.js';
import type { AdmissionTask } from '../admission/AdmissionTask.js';
import { LONGEST_RETRY_SHARE } from '../admission/RetryAppointments.js';
import type { CapacityView } from '../capacity/CapacityView.js';
import {
  AdmissionVerdict,
  MessageKind,
  RunnerAnswerSchema,
  RunnerQuestionSchema,
} from '../generated/baobabdock/v1/news_pb.js';
import type { RunnerAnswer } from '../generated/baobabdock/v1/news_pb.js';
import { parseAddress } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import { wholeKey } from '../prompts/prefixKeys.js';
import type { Choice, ChoiceQuestion, RunnerChoice } from '../runners/RunnerChoice.js';
import { isChoiceReason } from '../runners/RunnerChoice.js';
import type { ChoiceListener, SelectionRefusal } from '../runners/RunnerSelector.js';
import { RunnerSelector } from '../runners/RunnerSelector.js';
import type { RunnerAdmission } from '../runners/RunnerAdmission.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { coordinationLogEvents } from './coordinationFeature.js';
import { CoordinatorHealth } from './CoordinatorHealth.js';
import { coordinatorsInOrder } from './daemonRoles.js';
import { workloadFields } from './questionWorkload.js';

/** Options of a {@link CoordinatedSelector}. */
export interface CoordinatedSelectorOptions {
  /** This daemon's entry in the list of daemons. */
  daemon: DaemonEntry;
  socket: FleetSocket;
  choice: RunnerChoice;
  /** Decides which requests are sent, wait or are refused, where no coordinator decides it. */
  admissionTask: Pick<AdmissionTask, 'ask'>;
  capacity: Pick<CapacityView, 'applies'>;
  /** Decides which runners may get a request. */
  admission: RunnerAdmission;
  runners: RunnerTable;
  clock: Clock;
  log: Log;
  /** The current coordinators; empty in a small fleet. */
  coordinators: () => readonly DaemonEntry[];
  /** Number before that of the first question; random by default. */
  lastNumber?: number;
}

/**
 * How long a coordinator's answer is awaited, in ms. An answer takes a round trip of at most 6 ms plus queueing for
 * the coordinator's processor. A local choice is better than an answer that uses up a third of the time that the
 * shortest requests have.
 */
const TIMEOUT_MILLISECONDS = 30;

/**
 * Maximum number of incarnations excluded in one question: as many as fit in a datagram. More runners than that never
 * fail at once for one request.
 */
const MAXIMUM_EXCLUDED = 12;

/** Interval at which a question is repeated while its request waits at the coordinator, in ms. */
const REPEAT_MILLISECONDS = 200;

/** Repetitions without an answer after which the coordinator is taken for lost. */
const MAXIMUM_UNANSWERED = 2;

/** Range of the first number of a question; the others follow it. */
const FIRST_NUMBERS = 2 ** 31;

interface PendingQuestion {
  readonly question: ChoiceQuestion;
  readonly coordinator: DaemonEntry;
  readonly done: ChoiceListener;
  readonly isAbandoned: () => boolean;
  readonly timer: NodeJS.Timeout;
  /** Repetitions since the last answer; missing until the coordinator has said that the request waits. */
  readonly unanswered?: number;
}

/** Keeps the pending questions to coordinators and passes each answer, or the local choice, to its caller. */
export class CoordinatedSelector extends RunnerSelector {
  private readonly options: CoordinatedSelectorOptions;

  private readonly health = new CoordinatorHealth();

  private readonly pending = new Map<number, PendingQuestion>();

  /** The latest grant of each coordinator that this daemon's request counts include, by coordinator name. */
  private readonly latestGrants = new Map<string, number>();

  /** Begins at random, because a coordinator remembers the numbers of the daemon's last life for a second. */
  private lastNumber: number;

  /**
   * @param options - the coordinators, and the local choice that is used without an answer.
   */
  constructor(options: CoordinatedSelectorOptions) {
    super();
    this.options = options;
    this.lastNumber = options.lastNumber ?? randomInt(FIRST_NUMBERS);
    options.socket.handle(MessageKind.RUNNER_ANSWER, (message) =>
      this.handleAnswer(fromBinary(RunnerAnswerSchema, message)),
    );
  }

  /**
   * Returns the grants that this daemon acknowledges in its load reports.
   *
   * @returns The latest grant of each coordinator whose request this daemon has counted or dropped.
   */
  countedGrants(): { coordinator: string; grant: number }[] {
    return [...this.latestGrants].map(([coordinator, grant]) => ({ coordinator, grant }));
  }

  override select(
    question: ChoiceQuestion,
    done: ChoiceListener,
    isAbandoned: () => boolean = () => false,
  ): void {
    const { daemon } = this.options;
    const coordinator = this.coordinatorFor(question);
    this.lastNumber += 1;
    const number = this.lastNumber;
    if (!coordinator || coordinator.name === daemon.name) {
      this.selectHere(number, question, done, isAbandoned);
      return;
    }
    const timer = setTimeout(() => this.handleTimeout(number), TIMEOUT_MILLISECONDS);
    this.pending.set(number, { question, coordinator, done, isAbandoned, timer });
    this.sendQuestion(number, question, coordinator);
  }

  /** Refuses the requests that wait at coordinators, because this daemon stops; another one can take them at once. */
  refuseWaiting(): void {
    for (const [number, { unanswered }] of this.pending) {
      if (unanswered !== undefined) {
        this.finish(number, undefined, { reason: 'no_capacity', retryAfterMilliseconds: 0 });
      }
    }
  }

  private selectHere(
    number: number,
    question: ChoiceQuestion,
    done: ChoiceListener,
    isAbandoned: () => boolean,
  ): void {
    const { daemon, admissionTask } = this.options;
    const request = { id: `${daemon.name}/${number}`, question, isAbandoned };
    admissionTask.ask(request, (verdict) =>
      match(verdict)
        .with({ kind: 'runner' }, ({ choice }) => done(choice))
        .with({ kind: 'refuse' }, ({ retryAfterMilliseconds }) =>
          done(undefined, { reason: 'no_capacity', retryAfterMilliseconds }),
        )
        .with({ kind: 'wait' }, () => undefined)
        .exhaustive(),
    );
  }

  private coordinatorFor({ sharedParts, service, now }: ChoiceQuestion): DaemonEntry | undefined {
    const coordinators = this.options.coordinators();
    if (coordinators.length === 0) return undefined;
    const key = wholeKey(sharedParts) || service;
    return coordinatorsInOrder(coordinators, key).find(({ name }) =>
      this.health.isUsable(name, now),
    );
  }

  private sendQuestion(number: number, question: ChoiceQuestion, coordinator: DaemonEntry): void {
    const { daemon, socket, capacity } = this.options;
    const { service, sharedParts, homeRegions = [], softwareVersion } = question;
    const message = create(RunnerQuestionSchema, {
      daemon: daemon.name,
      address: daemon.newsAddress,
      dataCentre: daemon.dataCentre,
      number,
      service,
      sharedParts: [...sharedParts],
      homeRegions: [...homeRegions],
      excludedLives: this.excludedLives(question),
      isRetry: question.tried.size > 0,
      ...(softwareVersion !== undefined && { softwareVersion }),
      ...(capacity.applies(service, question.now) && workloadFields(question)),
    });
    const recipients = [parseAddress(coordinator.newsAddress)];
    socket.send(MessageKind.RUNNER_QUESTION, toBinary(RunnerQuestionSchema, message), recipients);
  }

  private excludedLives({ tried, service, now, needsVersion }: ChoiceQuestion): string[] {
    const unusable = this.options.runners
      .readyOf(service)
      .filter(
        ({ health, pausedUntil, backlog, inFlight, restart }) =>
          !health.isUsable(now) ||
          pausedUntil > now ||
          !backlog.admits(inFlight, now) ||
          (needsVersion === true && restart.isSuspected),
      )
      .map(({ entry }) => entry.life);
    return [...new Set([...tried, ...unusable])].slice(0, MAXIMUM_EXCLUDED);
  }

  private handleAnswer(answer: RunnerAnswer): void {
    const { coordinator, grant, number } = answer;
    this.health.recordAnswer(coordinator);
    // Recorded for a late answer too: its request is already counted at the runner that was chosen instead.
    this.latestGrants.set(coordinator, Math.max(grant, this.latestGrants.get(coordinator) ?? 0));
    const pendingQuestion = this.pending.get(number);
    if (pendingQuestion?.coordinator.name !== coordinator) return;
    if (answer.verdict === AdmissionVerdict.WAIT) {
      this.waitFor(number, pendingQuestion);
      return;
    }
    if (answer.verdict === AdmissionVerdict.REFUSE) {
      const { retryAfterMilliseconds } = answer;
      this.finish(number, undefined, { reason: 'no_capacity', retryAfterMilliseconds });
      return;
    }
    const question = { ...pendingQuestion.question, now: this.now };
    this.finish(number, this.acceptableChoice(answer, question));
  }

  private waitFor(number: number, pendingQuestion: PendingQuestion): void {
    clearTimeout(pendingQuestion.timer);
    const timer = this.repeatTimer(number, pendingQuestion.question);
    this.pending.set(number, { ...pendingQuestion, unanswered: 0, timer });
  }

  /** Time until the request is refused here, in case the coordinator fails to, in ms. */
  private waitLeft({ now: askedAt, deadlineAt = askedAt }: ChoiceQuestion): number {
    return askedAt + (deadlineAt - askedAt) * LONGEST_WAIT_SHARE - this.now;
  }

  private repeatTimer(number: number, question: ChoiceQuestion): NodeJS.Timeout {
    const milliseconds = Math.min(REPEAT_MILLISECONDS, Math.max(1, this.waitLeft(question)));
    return setTimeout(() => this.repeat(number), milliseconds);
  }

  /** Repeats the question of a waiting request, so that the coordinator keeps it; without it the request is dropped there. */
  private repeat(number: number): void {
    const pendingQuestion = this.pending.get(number);
    if (!pendingQuestion) return;
    const { question, coordinator, isAbandoned, unanswered = 0 } = pendingQuestion;
    if (isAbandoned()) {
      this.pending.delete(number);
      return;
    }
    const { now } = this;
    const { deadlineAt = now } = question;
    if (this.waitLeft(question) <= 0) {
      const retryAfterMilliseconds = Math.max(0, deadlineAt - now) * LONGEST_RETRY_SHARE;
      this.finish(number, undefined, { reason: 'no_capacity', retryAfterMilliseconds });
      return;
    }
    if (unanswered >= MAXIMUM_UNANSWERED) {
      this.options.log.write(admissionLogEvents.coordinatorLost, { coordinator: coordinator.name });
      this.health.recordTimeout(coordinator.name, question.now, now);
      this.finish(number, this.options.choice.choose({ ...question, now }));
      return;
    }
    const timer = this.repeatTimer(number, question);
    this.pending.set(number, { ...pendingQuestion, unanswered: unanswered + 1, timer });
    this.sendQuestion(number, question, coordinator);
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  /**
   * Checks a coordinator's choice against what this daemon knows: the coordinator may know runners that this daemon
   * does not know yet, or may not know yet that a runner is draining.
   */
  private acceptableChoice(answer: RunnerAnswer, question: ChoiceQuestion): Choice | undefined {
    const { runners, choice, admission } = this.options;
    const runner = runners.ofLife(answer.life);
    // A coordinator that does not know that the runner is cold has not counted this request against the runner's cold
    // rate.
    const isAcceptable =
      runner !== undefined &&
      admission
        .withBeginnableVersion(runners.readyOf(runner.entry.service), question)
        .includes(runner) &&
      admission.rejectionReasonFor(runner, question) === undefined &&
      !(question.needsVersion === true && runner.restart.isSuspected) &&
      (answer.isCold || !admission.isCold(runner, question.now));
    if (!isAcceptable || !isChoiceReason(answer.reason)) return choice.choose(question);
    choice.rememberChoice(question.sharedParts, answer.life);
    const { reason, load, meanLoad, expectedMilliseconds } = answer;
    const unreadTokens = question.work ? answer.unreadTokens : undefined;
    const cacheSource = runners.ofLife(answer.sourceLife);
    return { runner, reason, load, meanLoad, unreadTokens, expectedMilliseconds, cacheSource };
  }

  private handleTimeout(number: number): void {
    const pendingQuestion = this.pending.get(number);
    if (!pendingQuestion) return;
    const { log, choice } = this.options;
    const { question } = pendingQuestion;
    const { name: coordinator } = pendingQuestion.coordinator;
    const { now } = this;
    if (this.health.recordTimeout(coordinator, question.now, now)) {
      log.write(coordinationLogEvents.coordinatorUnresponsive, { coordinator });
    }
    this.finish(number, choice.choose({ ...question, now }));
  }

  private finish(number: number, choice?: Choice, refusal?: SelectionRefusal): void {
    const pendingQuestion = this.pending.get(number);
    if (!pendingQuestion) return;
    clearTimeout(pendingQuestion.timer);
    this.pending.delete(number);
    pendingQuestion.done(choice, refusal);
  }
}
