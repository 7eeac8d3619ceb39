/**
 * Owns the requests that arrive at this daemon, from their validation to their last event.
 */
import { create } from '@bufbuild/protobuf';

import type { DecisionStep } from '../decisions/DecisionTask.js';
import type { FleetView } from '../fleet/FleetView.js';
import type { GatePort } from '../gates/GatePort.js';
import type { ExecuteEvent, RunBoundRequest } from '../generated/baobabdock/v1/peers_pb.js';
import { ExecuteRequestSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { HomePort } from '../homes/HomePort.js';
import type { Log } from '../logging/Log.js';
import type { PeerLink } from '../peers/PeerLink.js';
import type { SignedTokens } from '../peers/SignedTokens.js';
import type { Clock } from '../time/Clock.js';
import { BindingForwarder } from './BindingForwarder.js';
import type { BindingIssuer } from './BindingIssuer.js';
import { BoundEventEncoder, callerRequestOf } from './boundEvents.js';
import { BoundRequests } from './BoundRequests.js';
import { Cancellation } from './Cancellation.js';
import type { RunnerChooser } from './RunnerChooser.js';
import { EventIdVerifier } from './EventIds.js';
import { DEFAULT_HEARTBEAT_MILLISECONDS, PauseDetector } from './PauseDetector.js';
import type { RequestAction, RequestMessage } from './requestDecisionTypes.js';
import { REQUEST_LOG_EVENTS as LOG_EVENTS } from './requestLogEvents.js';
import { RequestPort } from './RequestPort.js';
import type { RequestDependencies } from './RequestDependencies.js';
import type { RequestSettings } from './requestsFeature.js';
import { requestSettingsSchema } from './requestsFeature.js';
import { RequestTask } from './RequestTask.js';
import type { RequestWork } from './RequestTask.js';
import type { CallerEvent, CallerRequest } from './requestTypes.js';
import { RetryBudget } from './RetryBudget.js';
import { untilDeadline } from './untilDeadline.js';

/** Options of a {@link RequestOwner}. */
export interface RequestOwnerOptions {
  gates: GatePort;
  homes: HomePort;
  fleet: FleetView;
  chooser: RunnerChooser;
  peers: PeerLink;
  tokens: SignedTokens;
  clock: Clock;
  log: Log;
  settings?: RequestSettings;
  /** Records a session; called for each step of each request. */
  record?: (requestId: string, step: DecisionStep<RequestMessage, RequestAction>) => void;
}

/** A call of a caller that has not ended. */
interface ActiveCall {
  readonly clientAccount: string;
  readonly requestId: string;
  readonly cancellation: Cancellation;
}

const CANNOT_RESUME: CallerEvent = Object.freeze({
  kind: 'failed',
  code: 'cannot_resume',
  notRun: false,
  message: 'No stream of this account goes by that event id.',
  resumable: false,
});

/** Runs, resumes and cancels requests of callers, and runs bound requests for other daemons. */
export class RequestOwner extends RequestPort {
  /** Issues bindings of this incarnation. */
  readonly bindings: BindingIssuer;

  private readonly ports: RequestDependencies;

  private readonly bound: BoundRequests;

  private readonly pauses = new PauseDetector();

  private readonly heartbeat: NodeJS.Timeout;

  private readonly tasks = new Set<RequestTask>();

  private readonly calls = new Set<ActiveCall>();

  /**
   * @param options - the dependencies, the settings and an optional recorder.
   */
  constructor({
    peers,
    settings = requestSettingsSchema.parse({}),
    ...options
  }: RequestOwnerOptions) {
    super();
    const { retryRatio: ratio, retryBurst: burst, maximumBufferedBytes } = settings;
    const budget = new RetryBudget({ ratio, burst });
    this.ports = { ...options, budget, timings: settings, maximumBufferedBytes };
    const forwarder = new BindingForwarder({ ports: this.ports, peers });
    this.bound = new BoundRequests({
      ports: this.ports,
      settings,
      forward: (...call) => forwarder.forward(...call),
    });
    this.bindings = this.bound;
    this.heartbeat = setInterval(() => this.checkForPause(), DEFAULT_HEARTBEAT_MILLISECONDS);
    this.heartbeat.unref();
  }

  override async *run(request: CallerRequest, signal: AbortSignal): AsyncGenerator<CallerEvent> {
    if (request.binding !== undefined) {
      yield* this.withCancellation(request, (cancellation) => {
        const events = this.bound.run(request, signal, cancellation);
        return untilDeadline(events, request.deadlineMilliseconds, signal);
      });
    } else if (!request.idempotent) {
      yield this.bound.answerWithoutBinding(request.clientAccount);
    } else {
      yield* this.runTask({ kind: 'new', request, idempotent: true }, signal);
    }
  }

  override async *resume(
    clientAccount: string,
    lastEventId: string,
    deadlineMilliseconds: number,
    signal: AbortSignal,
  ): AsyncGenerator<CallerEvent> {
    const opened = new EventIdVerifier(this.ports.tokens).verify(lastEventId);
    // A stream of another client account is answered like an unknown one, so that its existence
    // is not disclosed.
    if (!opened || opened.token.clientAccount !== clientAccount) {
      yield { ...CANNOT_RESUME };
      return;
    }
    const { sequence: afterSequence } = opened;
    const { attemptId, runnerId, service, requestId } = opened.token;
    const stream = {
      requestId,
      clientAccount,
      service,
      deadlineMilliseconds,
      attemptId,
      runnerId,
      afterSequence,
    };
    yield* this.runTask({ kind: 'resumed', stream }, signal);
  }

  override async cancel(clientAccount: string, requestId: string): Promise<boolean> {
    const matchingCalls = [...this.calls].filter(
      (call) => call.clientAccount === clientAccount && call.requestId === requestId,
    );
    return matchingCalls
      .map(({ cancellation }) => cancellation.cancel())
      .some((wasActive) => wasActive);
  }

  override inProgress(): number {
    return this.tasks.size + this.bound.inProgress();
  }

  /**
   * Runs a bound request that another daemon forwarded.
   *
   * @param message - the binding and the request.
   * @returns The answer of the single run; the run continues when the other daemon stops reading.
   */
  async *runBound({ binding, request }: RunBoundRequest): AsyncGenerator<ExecuteEvent> {
    const now = this.ports.clock.monotonicMilliseconds();
    const received = callerRequestOf(request ?? create(ExecuteRequestSchema), binding);
    const deadlineMilliseconds = received.deadlineMilliseconds - this.pauses.possibleDelay(now);
    const events = new BoundEventEncoder({ tokens: this.ports.tokens });
    for await (const event of this.bound.runForwarded({ ...received, deadlineMilliseconds })) {
      yield* events.convert(event);
    }
  }

  /** Stops the heartbeat timer; requests in progress continue. */
  stop(): void {
    clearInterval(this.heartbeat);
  }

  private async *runTask(work: RequestWork, signal: AbortSignal): AsyncGenerator<CallerEvent> {
    const task: RequestTask = new RequestTask({
      ports: this.ports,
      work,
      onEnd: () => this.tasks.delete(task),
    });
    this.tasks.add(task);
    yield* this.withCancellation(
      work.kind === 'new' ? work.request : work.stream,
      (cancellation) => {
        cancellation.setAction(() => task.send({ kind: 'cancel' }));
        return task.start(signal);
      },
    );
  }

  /** Registers a call for {@link RequestOwner.cancel} while it is in progress. */
  private async *withCancellation(
    { clientAccount, requestId }: Pick<CallerRequest, 'clientAccount' | 'requestId'>,
    open: (cancellation: Cancellation) => AsyncIterable<CallerEvent>,
  ): AsyncGenerator<CallerEvent> {
    const call = { clientAccount, requestId, cancellation: new Cancellation() };
    this.calls.add(call);
    try {
      yield* open(call.cancellation);
    } finally {
      this.calls.delete(call);
    }
  }

  private checkForPause(): void {
    const pause = this.pauses.recordHeartbeat(this.ports.clock.monotonicMilliseconds());
    if (pause > 0) this.ports.log.write(LOG_EVENTS.paused, { milliseconds: Math.round(pause) });
  }
}
