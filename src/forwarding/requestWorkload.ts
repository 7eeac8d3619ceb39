/**
 * The properties of a request that placement and admission by capacity use.
 */
import type { ChoiceQuestion } from '../runners/RunnerChoice.js';
import type { AdmittedRequest } from './forwardingTypes.js';

/**
 * @param request - the request.
 * @param body - its body, if it has one.
 * @returns Its part of the question for a runner.
 */
export function requestWorkload(
  { work, urgency, clientAccount, arrivedAt, deadlineAt, route }: AdmittedRequest,
  body: Buffer | undefined,
): Pick<
  ChoiceQuestion,
  'work' | 'urgency' | 'clientAccount' | 'targetAt' | 'deadlineAt' | 'bodyBytes'
> {
  const targetAt = arrivedAt + route.targetLatencyMilliseconds;
  return { work, urgency, clientAccount, targetAt, deadlineAt, bodyBytes: body?.length ?? 0 };
}
