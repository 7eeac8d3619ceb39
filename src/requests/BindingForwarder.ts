/**
 * Forwards a bound request to the one daemon that may run it, and relays its answer.
 *
 * Repeating the call is safe: the other daemon joins repeats to its single run. This side never
 * runs the request itself, and never reports "not run" by its own judgement, because another copy
 * of the request may have reached the daemon by another way.
 */
import { create } from '@bufbuild/protobuf';

import type { BindingToken, ExecuteEvent, Member } from '../generated/baobabdock/v1/peers_pb.js';
import { CancelRequestSchema, RunBoundRequestSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { PeerLink } from '../peers/PeerLink.js';
import { outcomeUnknown } from './boundFailures.js';
import type { Cancellation } from './Cancellation.js';
import { executeRequestOf } from './executeRequest.js';
import { ForwardedAnswer } from './ForwardedAnswer.js';
import { REQUEST_LOG_EVENTS as LOG_EVENTS } from './requestLogEvents.js';
import type { RequestDependencies } from './RequestDependencies.js';
import { RequestTask } from './RequestTask.js';
import type { CallerEvent, CallerRequest } from './requestTypes.js';

/**
 * Pauses before each repeated call to the binding's daemon, in milliseconds; their number is the
 * number of repeats.
 */
const RETRY_PAUSES_MILLISECONDS = [50, 200, 500];

/** Member states in which a daemon cannot answer any more. */
const DEPARTED_STATES: ReadonlySet<string> = new Set(['dead', 'left']);

/** Options of a {@link BindingForwarder}. */
export interface BindingForwarderOptions {
  ports: RequestDependencies;
  peers: PeerLink;
}

/** Waits for a time, or until the caller disconnects. */
function pauseFor(milliseconds: number, signal: AbortSignal): Promise<void> {
  if (milliseconds === 0 || signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    const done = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', done);
      resolve();
    };
    timer = setTimeout(done, milliseconds);
    signal.addEventListener('abort', done);
  });
}

/** Relays bound requests to the daemon that issued their binding. */
export class BindingForwarder {
  private readonly ports: RequestDependencies;

  private readonly peers: PeerLink;

  /**
   * @param options - the dependencies shared by all requests, and the link to other daemons.
   */
  constructor({ ports, peers }: BindingForwarderOptions) {
    this.ports = ports;
    this.peers = peers;
  }

  /**
   * Runs a bound request at the daemon of its binding. If that daemon fails after the answer has
   * started, reads the rest from the runner.
   *
   * @param request - the request, with its binding.
   * @param token - the verified binding.
   * @param signal - aborted when the caller has disconnected.
   * @param cancellation - receives the action that cancels the run.
   * @yields The answer as the binding's daemon gives it.
   */
  async *forward(
    request: CallerRequest,
    token: BindingToken,
    signal: AbortSignal,
    cancellation: Cancellation,
  ): AsyncGenerator<CallerEvent, void> {
    const deadlineAt = this.ports.clock.monotonicMilliseconds() + request.deadlineMilliseconds;
    const answer = new ForwardedAnswer({ tokens: this.ports.tokens, request });
    cancellation.setAction(() => this.cancel(answer));
    let failureReason = 'The daemon of the binding is gone.';
    for (const pause of [0, ...RETRY_PAUSES_MILLISECONDS]) {
      await pauseFor(pause, signal);
      const member = this.memberOf(token);
      const remainingMilliseconds = deadlineAt - this.ports.clock.monotonicMilliseconds();
      if (!member || remainingMilliseconds <= 0 || signal.aborted) break;
      try {
        yield* this.runAtDaemon(
          member,
          { ...request, deadlineMilliseconds: remainingMilliseconds },
          answer,
          signal,
        );
        if (answer.ended()) return;
        failureReason = 'The daemon of the binding ended its answer without saying how.';
      } catch (error) {
        // The error contains addresses of the fleet, which callers must not see.
        failureReason = 'The daemon of the binding did not answer.';
        this.logUnreachable(request, String(error));
      }
    }
    yield* this.continueWithoutDaemon(request, answer, deadlineAt, failureReason, signal);
  }

  /**
   * Cancels the attempt at its gate. The attempt is known only from the first event of the answer
   * on; before that, only the binding's daemon can cancel the run.
   */
  private cancel(answer: ForwardedAnswer): void {
    const attempt = answer.resumePoint(0);
    if (!attempt) return;
    const { attemptId, runnerId } = attempt;
    const request = create(CancelRequestSchema, { attemptId, runnerId });
    this.ports.gates.cancel(request).catch((error: unknown) => {
      this.ports.log.write(LOG_EVENTS.cancelFailed, { attemptId, runnerId, why: String(error) });
    });
  }

  private memberOf({ daemonId }: BindingToken): Member | undefined {
    const member = this.ports.fleet.members().find((other) => other.daemonId === daemonId);
    return member && !DEPARTED_STATES.has(member.state) ? member : undefined;
  }

  private async *runAtDaemon(
    { daemonId, peerAddress }: Member,
    request: CallerRequest,
    answer: ForwardedAnswer,
    signal: AbortSignal,
  ): AsyncGenerator<CallerEvent, void> {
    const { requestId, clientAccount, binding = '' } = request;
    this.ports.log.write(LOG_EVENTS.bindingForwarded, { requestId, clientAccount, daemonId });
    const account = this.ports.fleet.clientAccount(clientAccount);
    const message = create(RunBoundRequestSchema, {
      binding,
      request: executeRequestOf(request, account),
    });
    const events: AsyncIterable<ExecuteEvent> = this.peers
      .clientFor(daemonId, peerAddress)
      .runBound(message, { signal });
    for await (const event of events) {
      const passedOn = answer.accept(event);
      if (passedOn) yield passedOn;
      if (answer.ended()) return;
    }
  }

  /**
   * Resumes a started answer at its runner, which runs nothing again. Without a started answer
   * the outcome is unknown.
   */
  private async *continueWithoutDaemon(
    request: CallerRequest,
    answer: ForwardedAnswer,
    deadlineAt: number,
    failureReason: string,
    signal: AbortSignal,
  ): AsyncGenerator<CallerEvent, void> {
    this.logUnreachable(request, failureReason);
    const deadlineMilliseconds = deadlineAt - this.ports.clock.monotonicMilliseconds();
    const stream = answer.resumePoint(deadlineMilliseconds);
    if (!stream || signal.aborted) {
      yield outcomeUnknown(failureReason);
      return;
    }
    const task = new RequestTask({ ports: this.ports, work: { kind: 'resumed', stream } });
    for await (const event of task.start(signal)) {
      if (event.kind !== 'started') yield event;
    }
  }

  private logUnreachable({ requestId, clientAccount }: CallerRequest, why: string): void {
    this.ports.log.write(LOG_EVENTS.bindingUnreachable, { requestId, clientAccount, why });
  }
}
