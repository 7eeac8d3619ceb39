/**
 * Answers other daemons' requests for a runner on behalf of a coordinator, using the load that all daemons have
 * reported.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { match } from 'ts-pattern';

import type { AdmissionTask } from '../admission/AdmissionTask.js';
import type { AdmissionVerdict } from '../admission/admissionTypes.js';
import { boundedTokens } from '../capacity/capacityTypes.js';
import {
  AdmissionVerdict as WireVerdict,
  MessageKind,
  RunnerAnswerSchema,
  RunnerQuestionSchema,
} from '../generated/baobabdock/v1/news_pb.js';
import type { RunnerQuestion } from '../generated/baobabdock/v1/news_pb.js';
import { parseAddress } from '../http/parseAddress.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import { boundedSegmentIds } from '../prompts/promptSegments.js';
import type { Choice, ChoiceQuestion } from '../runners/RunnerChoice.js';
import type { Clock } from '../time/Clock.js';
import type { GrantedWork, GrantLedger } from './GrantLedger.js';
import { encodable, workloadOf } from './questionWorkload.js';

function workOf(
  chosen: Choice | undefined,
  { answerTokens }: Pick<RunnerQuestion, 'answerTokens'>,
): GrantedWork {
  const promptTokens = boundedTokens(chosen?.unreadTokens ?? 0);
  return { promptTokens, memoryTokens: promptTokens + boundedTokens(answerTokens) };
}

/** Options of a {@link ChoiceServer}. */
export interface ChoiceServerOptions {
  /** This daemon's name. */
  daemon: string;
  socket: FleetSocket;
  admissionTask: Pick<AdmissionTask, 'ask'>;
  grants: GrantLedger;
  clock: Clock;
}

/**
 * Chooses runners for other daemons. Every daemon answers, whether or not it counts itself among the coordinators:
 * lists of daemons differ for a few seconds after a change.
 */
export class ChoiceServer {
  private readonly options: ChoiceServerOptions;

  /**
   * @param options - admission control, the ledger of grants and the socket that answers are sent on.
   */
  constructor(options: ChoiceServerOptions) {
    this.options = options;
  }

  /**
   * Decides on the request and sends the answer to the address that the question names; a second one follows if it waits.
   *
   * @param message - an encoded `RunnerQuestion`.
   */
  handleQuestion(message: Uint8Array): void {
    const question = fromBinary(RunnerQuestionSchema, message);
    const { clock, grants, admissionTask } = this.options;
    const now = clock.monotonicMilliseconds();
    grants.expire(now);
    const id = `${question.daemon}/${question.number}`;
    const request = { id, question: this.choiceQuestionOf(question, now) };
    admissionTask.ask(request, (verdict) => this.answer(question, verdict));
  }

  private choiceQuestionOf(question: RunnerQuestion, now: number): ChoiceQuestion {
    return {
      service: question.service,
      sharedParts: boundedSegmentIds(question.sharedParts),
      tried: new Set(question.excludedLives),
      isRetry: question.isRetry,
      homeRegions: question.homeRegions.length > 0 ? question.homeRegions : undefined,
      softwareVersion: question.softwareVersion,
      // The question does not tell; the answer to a prompt is a stream in most cases.
      needsVersion: question.softwareVersion !== undefined || question.sharedParts.length > 0,
      connectionLimit: Number.POSITIVE_INFINITY,
      dataCentre: question.dataCentre,
      isForOther: true,
      ...workloadOf(question, now),
      now,
    };
  }

  private answer(question: RunnerQuestion, verdict: AdmissionVerdict): void {
    const { socket, daemon: coordinator } = this.options;
    const { number, address } = question;
    const fields = match(verdict)
      .with({ kind: 'runner' }, ({ choice }) => this.runnerFields(question, choice))
      .with({ kind: 'wait' }, () => ({ verdict: WireVerdict.WAIT }))
      .with({ kind: 'refuse' }, ({ retryAfterMilliseconds }) => ({
        verdict: WireVerdict.REFUSE,
        retryAfterMilliseconds: encodable(retryAfterMilliseconds),
      }))
      .exhaustive();
    const message = create(RunnerAnswerSchema, { number, coordinator, ...fields });
    const answer = toBinary(RunnerAnswerSchema, message);
    socket.send(MessageKind.RUNNER_ANSWER, answer, [parseAddress(address)]);
  }

  private runnerFields(
    question: RunnerQuestion,
    chosen: Choice | undefined,
  ): MessageInitShape<typeof RunnerAnswerSchema> {
    const { grants, clock } = this.options;
    if (!chosen) return { verdict: WireVerdict.RUNNER };
    const { runner, cacheSource, unreadTokens = 0, expectedMilliseconds = 0 } = chosen;
    const { life } = runner.entry;
    const now = clock.monotonicMilliseconds();
    return {
      verdict: WireVerdict.RUNNER,
      life,
      sourceLife: cacheSource?.entry.life ?? '',
      reason: chosen.reason,
      load: chosen.load,
      meanLoad: chosen.meanLoad,
      isCold: chosen.isCold ?? false,
      unreadTokens: boundedTokens(unreadTokens),
      expectedMilliseconds: encodable(expectedMilliseconds),
      grant: grants.grant(question.daemon, life, now, workOf(chosen, question)),
    };
  }
}
