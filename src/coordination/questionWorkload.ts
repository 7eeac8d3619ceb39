/**
 * Encodes the work of a request in a question to a coordinator. Times are sent as remaining time, because daemons have
 * no common clock.
 */
import { boundedTokens } from '../capacity/capacityTypes.js';
import type { RunnerQuestion } from '../generated/baobabdock/v1/news_pb.js';
import { boundedSegmentParts } from '../prompts/promptSegments.js';
import type { ChoiceQuestion } from '../runners/RunnerChoice.js';

/** The fields of a question that describe the work of its request. */
type WorkloadFields = Pick<
  RunnerQuestion,
  | 'sharedPartTokens'
  | 'ownTokens'
  | 'answerTokens'
  | 'urgency'
  | 'clientAccount'
  | 'targetMilliseconds'
  | 'deadlineMilliseconds'
  | 'session'
  | 'bodyBytes'
>;

/** The properties of a request that the fields describe. */
type Workload = Pick<
  ChoiceQuestion,
  'work' | 'urgency' | 'clientAccount' | 'targetAt' | 'deadlineAt' | 'bodyBytes'
>;

/** Largest value of a field; the caller states the figures, and they must not fail to be encoded. */
const MAXIMUM_VALUE = 2 ** 32 - 1;

/**
 * @param value - a figure of a message.
 * @returns The nearest number that can be encoded.
 */
export function encodable(value: number): number {
  return Number.isNaN(value) ? 0 : Math.min(MAXIMUM_VALUE, Math.max(0, Math.round(value)));
}

/**
 * @param question - a request that a runner is chosen for.
 * @returns Its fields.
 */
export function workloadFields(question: ChoiceQuestion): Partial<WorkloadFields> {
  const { work, now, urgency = 0, clientAccount = '', bodyBytes = 0 } = question;
  const { targetAt = now, deadlineAt = now } = question;
  const own = work?.parts.at(-1);
  return {
    sharedPartTokens: work?.parts.slice(0, -1).map(({ tokens }) => boundedTokens(tokens)) ?? [],
    ownTokens: boundedTokens(own?.tokens ?? 0),
    answerTokens: boundedTokens(work?.answerTokens ?? 0),
    urgency: encodable(urgency),
    clientAccount,
    targetMilliseconds: encodable(targetAt - now),
    deadlineMilliseconds: encodable(deadlineAt - now),
    session: own?.id ?? '',
    bodyBytes: encodable(bodyBytes),
  };
}

/**
 * @param question - a question of another daemon.
 * @param now - when it arrived, monotonic ms.
 * @returns The work of its request; empty if the question does not state it.
 */
export function workloadOf(question: RunnerQuestion, now: number): Workload {
  const { sharedParts, sharedPartTokens, session, ownTokens, answerTokens } = question;
  if (question.deadlineMilliseconds === 0) return {};
  const shared = sharedPartTokens.map((tokens, index) => ({
    id: sharedParts[index] ?? '',
    tokens,
  }));
  return {
    work:
      session === ''
        ? undefined
        : {
            parts: boundedSegmentParts([...shared, { id: session, tokens: ownTokens }]),
            answerTokens,
          },
    urgency: question.urgency,
    clientAccount: question.clientAccount,
    targetAt: now + question.targetMilliseconds,
    deadlineAt: now + question.deadlineMilliseconds,
    bodyBytes: question.bodyBytes,
  };
}
