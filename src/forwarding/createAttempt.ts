/**
 * Creates the next attempt of a request at the runner that was chosen for it.
 */
import { AttemptWork } from '../capacity/AttemptWork.js';
import type { Choice } from '../runners/RunnerChoice.js';
import { attemptHeaders } from './attemptHeaders.js';
import type { AdmittedRequest, ForwardingContext } from './forwardingTypes.js';
import type { AttemptObserver } from './RunnerAttempt.js';
import { RunnerAttempt } from './RunnerAttempt.js';
import type { TriedRunners } from './TriedRunners.js';

/** Options of {@link createAttempt}. */
export interface CreateAttemptOptions {
  chosen: Choice;
  request: AdmittedRequest;
  body: Buffer | undefined;
  context: ForwardingContext;
  tried: TriedRunners;
  observer: AttemptObserver;
  /** Id of the last event that the caller has received of a stream that is being resumed; otherwise `undefined`. */
  resumesAfter: string | undefined;
}

function workAt(
  { runner, unreadTokens }: Choice,
  { work }: AdmittedRequest,
  { workObserver: observer, clock }: ForwardingContext,
): AttemptWork | undefined {
  const { service } = runner.entry;
  if (!observer?.capacity.applies(service, clock.monotonicMilliseconds())) return undefined;
  return new AttemptWork({ runner, unreadTokens, answerTokens: work?.answerTokens ?? 0, observer });
}

/**
 * @param options - the request, the chosen runner, and the observer of the attempt.
 * @returns The attempt; nothing has been sent yet.
 */
export function createAttempt(options: CreateAttemptOptions): RunnerAttempt {
  const { chosen, request, body, context, tried, observer, resumesAfter } = options;
  const { connections, protocol, clock, link, statements } = context;
  const { runner, cacheSource } = chosen;
  const { id, hasOwnId, method, target } = request;
  return new RunnerAttempt({
    runner,
    agent: tried.needsNewConnection ? false : connections.agentOf(runner),
    protocol,
    clock,
    link,
    statements,
    connectMilliseconds: tried.connectMilliseconds(link.isSuspect),
    observer,
    method,
    target,
    headers: attemptHeaders({
      request,
      body,
      names: protocol.names,
      runnerId: runner.entry.id,
      cacheSource,
      remainingMilliseconds: request.deadlineAt - clock.monotonicMilliseconds(),
      resumesAfter,
    }),
    body,
    requestId: hasOwnId ? id : undefined,
    work: workAt(chosen, request, context),
  });
}
