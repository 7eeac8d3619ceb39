/**
 * Asks the coordinator of a request's prompt for a runner, and chooses by itself where none answers in time.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import {
  MessageKind,
  RunnerAnswerSchema,
  RunnerQuestionSchema,
} from '../generated/baobabdock/v1/news_pb.js';
import type { RunnerAnswer } from '../generated/baobabdock/v1/news_pb.js';
import { parseAddress } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import type { Choice, ChoiceQuestion, RunnerChoice } from '../runners/RunnerChoice.js';
import { isChoiceReason } from '../runners/RunnerChoice.js';
import type { ChoiceListener } from '../runners/RunnerSelector.js';
import { RunnerSelector } from '../runners/RunnerSelector.js';
import type { RunnerAdmission } from '../runners/RunnerAdmission.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { coordinationLogEvents } from './coordinationFeature.js';
import { CoordinatorHealth } from './CoordinatorHealth.js';
import { askedInOrder } from './coordinatorsOf.js';

/** Options of a {@link CoordinatedSelector}. */
export interface CoordinatedSelectorOptions {
  /** This daemon as others know it. */
  daemon: DaemonEntry;
  socket: FleetSocket;
  choice: RunnerChoice;
  /** Which runners may get a request. */
  admission: RunnerAdmission;
  runners: RunnerTable;
  clock: Clock;
  log: Log;
  /** The coordinators; none in a small fleet. */
  coordinators: () => readonly DaemonEntry[];
}

/**
 * A coordinator answers within a round trip of at most 6 ms and a wait for its processor; a choice made alone is
 * better than one that comes after a third of the time that the shortest requests have; in ms.
 */
const TIMEOUT_MILLISECONDS = 30;

/** A datagram holds this many lives; more runners than that never fail at once for one request. */
const MAXIMUM_EXCLUDED = 12;

interface Waiting {
  readonly question: ChoiceQuestion;
  readonly coordinator: string;
  readonly done: ChoiceListener;
  readonly timer: NodeJS.Timeout;
}

/** Owns the questions under way. */
export class CoordinatedSelector extends RunnerSelector {
  private readonly options: CoordinatedSelectorOptions;

  private readonly health = new CoordinatorHealth();

  private readonly waiting = new Map<number, Waiting>();

  /** By coordinator, the latest grant that this daemon's counts include. */
  private readonly grants = new Map<string, number>();

  private lastNumber = 0;

  /**
   * @param options - whom to ask, and what to do without an answer.
   */
  constructor(options: CoordinatedSelectorOptions) {
    super();
    this.options = options;
    options.socket.handle(MessageKind.RUNNER_ANSWER, (message) =>
      this.takeAnswer(fromBinary(RunnerAnswerSchema, message)),
    );
  }

  /** @returns By coordinator, the latest grant that this daemon has acted on or dropped. */
  countedGrants(): { coordinator: string; grant: number }[] {
    return [...this.grants].map(([coordinator, grant]) => ({ coordinator, grant }));
  }

  override select(question: ChoiceQuestion, done: ChoiceListener): void {
    const { daemon, choice } = this.options;
    const coordinator = this.coordinatorFor(question);
    if (!coordinator || coordinator.name === daemon.name) {
      done(choice.choose(question));
      return;
    }
    this.lastNumber += 1;
    const number = this.lastNumber;
    const timer = setTimeout(() => this.giveUp(number), TIMEOUT_MILLISECONDS);
    this.waiting.set(number, { question, coordinator: coordinator.name, done, timer });
    this.ask(number, question, coordinator);
  }

  private coordinatorFor({ sharedParts, service, now }: ChoiceQuestion): DaemonEntry | undefined {
    const coordinators = this.options.coordinators();
    if (coordinators.length === 0) return undefined;
    const key = sharedParts.length > 0 ? sharedParts.join() : service;
    return askedInOrder(coordinators, key).find(({ name }) => this.health.isUsable(name, now));
  }

  private ask(number: number, question: ChoiceQuestion, coordinator: DaemonEntry): void {
    const { daemon, socket } = this.options;
    const { service, sharedParts, homeRegions = [] } = question;
    const message = create(RunnerQuestionSchema, {
      daemon: daemon.name,
      address: daemon.newsAddress,
      dataCentre: daemon.dataCentre,
      number,
      service,
      sharedParts: [...sharedParts],
      homeRegions: [...homeRegions],
      excludedLives: this.excluded(question),
    });
    const recipients = [parseAddress(coordinator.newsAddress)];
    socket.send(MessageKind.RUNNER_QUESTION, toBinary(RunnerQuestionSchema, message), recipients);
  }

  private excluded({ tried, service, now }: ChoiceQuestion): string[] {
    const unusable = this.options.runners
      .readyOf(service)
      .filter(({ health, pausedUntil }) => !health.isUsable(now) || pausedUntil > now)
      .map(({ entry }) => entry.life);
    return [...new Set([...tried, ...unusable])].slice(0, MAXIMUM_EXCLUDED);
  }

  private takeAnswer(answer: RunnerAnswer): void {
    const { coordinator, grant, number } = answer;
    this.health.answered(coordinator);
    // Also where the answer comes too late: the request is counted where it went instead.
    this.grants.set(coordinator, Math.max(grant, this.grants.get(coordinator) ?? 0));
    const waiting = this.waiting.get(number);
    if (waiting?.coordinator !== coordinator) return;
    this.finish(number, waiting, this.choiceOf(answer, waiting.question));
  }

  /** A coordinator may know runners that this daemon does not know yet, or not know that one drains. */
  private choiceOf(answer: RunnerAnswer, question: ChoiceQuestion): Choice | undefined {
    const { runners, choice, admission } = this.options;
    const runner = runners.ofLife(answer.life);
    // A coordinator that does not know that the runner is cold has not counted this request against what it bears.
    const isFit =
      runner !== undefined &&
      runners.takesNewWork(runner) &&
      admission.obstacleTo(runner, question) === undefined &&
      (answer.isCold || !admission.isCold(runner, question.now));
    if (!isFit || !isChoiceReason(answer.reason)) return choice.choose(question);
    choice.adopt(question.sharedParts, answer.life);
    const { reason, load, meanLoad } = answer;
    return { runner, reason, load, meanLoad, cacheSource: runners.ofLife(answer.sourceLife) };
  }

  private giveUp(number: number): void {
    const waiting = this.waiting.get(number);
    if (!waiting) return;
    const { clock, log, choice } = this.options;
    const { coordinator, question } = waiting;
    const now = clock.monotonicMilliseconds();
    if (this.health.missed(coordinator, question.now, now)) {
      log.write(coordinationLogEvents.coordinatorSilent, { coordinator });
    }
    this.finish(number, waiting, choice.choose({ ...question, now }));
  }

  private finish(number: number, { timer, done }: Waiting, choice: Choice | undefined): void {
    clearTimeout(timer);
    this.waiting.delete(number);
    done(choice);
  }
}
