/**
 * Runs one request by its decisions: asks the home of the chat, opens attempts and resumes at
 * gates, and passes the answer on to the caller.
 */
import { randomUUID } from 'node:crypto';

import { create } from '@bufbuild/protobuf';
import { match } from 'ts-pattern';

import { DecisionTask } from '../decisions/DecisionTask.js';
import type { ExecuteEvent, Started, WarmRunner } from '../generated/baobabdock/v1/peers_pb.js';
import { CancelRequestSchema, ResumeRequestSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { LogFields } from '../logging/Log.js';
import { CallerEventQueue } from './CallerEventQueue.js';
import { EventIds } from './EventIds.js';
import { executeRequestOf } from './executeRequest.js';
import { GateReading } from './GateReading.js';
import { messageOfGateEvent, startedEventOf } from './gateMessages.js';
import { RequestDecisions } from './RequestDecisions.js';
import type {
  RequestAction,
  RequestFailure,
  RequestMessage,
  ResumedStream,
} from './requestDecisionTypes.js';
import { REQUEST_LOG_EVENTS as LOG_EVENTS } from './requestLogEvents.js';
import type { RequestDependencies } from './RequestDependencies.js';
import type { CallerEvent, CallerRequest } from './requestTypes.js';

/** The work of a task: a new request, or a stream that a caller resumes. */
export type RequestWork =
  | { readonly kind: 'new'; readonly request: CallerRequest; readonly idempotent: boolean }
  | { readonly kind: 'resumed'; readonly stream: ResumedStream };

/** Options of a {@link RequestTask}. */
export interface RequestTaskOptions {
  ports: RequestDependencies;
  work: RequestWork;
  /** Called once, when the last event has been queued for the caller. */
  onEnd?: () => void;
}

type ActionOf<Kind extends RequestAction['kind']> = Extract<RequestAction, { kind: Kind }>;

/** Performs the actions of one request's decisions; owns its readings and its event queue. */
export class RequestTask extends DecisionTask<RequestMessage, RequestAction> {
  private readonly ports: RequestDependencies;

  private readonly work: RequestWork;

  private readonly onEnd: () => void;

  private readonly queue: CallerEventQueue;

  private readonly readings = new Map<number, GateReading>();

  private readonly heads = new Map<number, Started>();

  private warm: readonly WarmRunner[] = [];

  /** Runner of the answer, once the answer has started. */
  private runnerId: string | undefined;

  /**
   * Event ids of the answer. Created with its first chunk; all later chunks belong to the same
   * attempt.
   */
  private eventIds: EventIds | undefined;

  /** The gate event that is being decided; its data is not passed to the decisions. */
  private currentGateEvent: ExecuteEvent | undefined;

  /**
   * @param options - the dependencies and the request.
   */
  constructor({ ports, work, onEnd = () => {} }: RequestTaskOptions) {
    const { requestId } = work.kind === 'new' ? work.request : work.stream;
    super({
      decisions: new RequestDecisions({ budget: ports.budget, timings: ports.timings }),
      clock: ports.clock,
      tick: { kind: 'tick' },
      record: (step) => ports.record?.(requestId, step),
    });
    this.ports = ports;
    this.work = work;
    this.onEnd = onEnd;
    this.queue = new CallerEventQueue({ maximumBufferedBytes: ports.maximumBufferedBytes });
  }

  /**
   * Starts the request.
   *
   * @param signal - aborted when the caller has disconnected.
   * @returns The events for the caller, up to the last one.
   */
  start(signal: AbortSignal): AsyncGenerator<CallerEvent, void, undefined> {
    const onCallerGone = (): void => this.send({ kind: 'caller_gone' });
    this.send(this.firstMessage());
    if (signal.aborted) onCallerGone();
    else signal.addEventListener('abort', onCallerGone, { once: true });
    return this.events(() => signal.removeEventListener('abort', onCallerGone));
  }

  protected override perform(action: RequestAction): void {
    if (action.kind === 'deliver_chunk') {
      this.deliverChunk(action);
      return;
    }
    match(action)
      .with({ kind: 'ask_home' }, () => {
        void this.askHome();
      })
      .with({ kind: 'choose' }, (choose) => this.choose(choose))
      .with({ kind: 'attempt' }, (attempt) => this.attempt(attempt))
      .with({ kind: 'resume' }, (resume) => this.resume(resume))
      .with({ kind: 'check_gate' }, ({ reading }) => this.checkGate(reading))
      .with({ kind: 'abandon' }, ({ reading }) => this.abandon(reading))
      .with({ kind: 'cancel_attempt' }, (cancel) => this.cancelAttempt(cancel))
      .with({ kind: 'deliver_started' }, (started) => this.deliverStarted(started))
      .with({ kind: 'dropped' }, ({ what, why }) => this.log('dropped', { what, why }))
      .with({ kind: 'retry_denied' }, ({ why }) => this.log('retryDenied', { why }))
      .with({ kind: 'complete' }, ({ kind, ...tokens }) => this.complete(tokens))
      .with({ kind: 'fail' }, ({ failure }) => this.fail(failure))
      .exhaustive();
  }

  private firstMessage(): RequestMessage {
    if (this.work.kind === 'resumed') return { kind: 'begin_resume', stream: this.work.stream };
    const { request, idempotent } = this.work;
    const { requestId, clientAccount, service, priority, deadlineMilliseconds, streaming } =
      request;
    const attemptSeed = randomUUID();
    return {
      kind: 'begin',
      request: {
        requestId,
        clientAccount,
        service,
        priority,
        deadlineMilliseconds,
        idempotent,
        streaming,
        attemptSeed,
      },
    };
  }

  private async *events(release: () => void): AsyncGenerator<CallerEvent, void, undefined> {
    try {
      yield* this.queue.read();
    } finally {
      release();
      // A reader that stops early is a caller that has disconnected; after the last event this
      // has no effect.
      this.send({ kind: 'caller_gone' });
      this.queue.discard();
    }
  }

  private async askHome(): Promise<void> {
    if (this.work.kind !== 'new') return;
    const { chat, service } = this.work.request;
    try {
      this.warm = await this.ports.homes.findWarmRunners(chat, service);
    } catch {
      // A home that doesn't answer costs cache reuse only; the request continues without it.
      this.warm = [];
    }
    this.send({ kind: 'home_answered', warmRunners: this.warm.length });
  }

  private choose({ kind, ...choice }: ActionOf<'choose'>): void {
    if (this.work.kind !== 'new') return;
    const { purpose } = choice;
    const question = { ...choice, request: this.work.request, warm: this.warm };
    const { explanation, ...answer } = this.ports.chooser.choose(question);
    this.log(answer.kind === 'chosen' ? 'placed' : 'nobody', { purpose, ...explanation });
    this.send(answer);
  }

  private attempt(attempt: ActionOf<'attempt'>): void {
    if (this.work.kind !== 'new') return;
    const { request } = this.work;
    const account = this.ports.fleet.clientAccount(request.clientAccount);
    const execute = executeRequestOf(request, account, attempt);
    this.openReading(attempt, (signal) => this.ports.gates.execute(execute, signal));
  }

  private resume(resume: ActionOf<'resume'>): void {
    const { attemptId, runnerId, afterSequence, deadlineMilliseconds, tries, why } = resume;
    const { clientAccount, service } = this.requestIdentity();
    const request = create(ResumeRequestSchema, {
      attemptId,
      runnerId,
      afterSequence,
      clientAccount,
      deadlineMilliseconds,
      service,
    });
    this.log('resumed', { attemptId, runnerId, afterSequence, tries, why });
    this.openReading(resume, (signal) => this.ports.gates.resume(request, signal));
  }

  private openReading(
    { reading, attemptId, runnerId }: ActionOf<'attempt'> | ActionOf<'resume'>,
    open: (signal: AbortSignal) => AsyncIterable<ExecuteEvent>,
  ): void {
    const gateReading = new GateReading({
      attemptId,
      gateDaemonId: this.ports.fleet.gateOf(runnerId)?.daemonId,
      open,
      onEvent: (event) => this.onGateEvent(reading, event),
      onLost: (message) => {
        this.log('lost', { attemptId, runnerId, why: message });
        // The error contains addresses of the fleet, which callers must not see.
        this.send({ kind: 'lost', reading, message: 'The connection to the gate broke.' });
      },
      waitForRoom: () => this.queue.waitForRoom(),
    });
    this.readings.set(reading, gateReading);
    void gateReading.run();
  }

  private onGateEvent(reading: number, event: ExecuteEvent): void {
    this.storeHead(reading, event);
    if (event.event.case === 'refused') this.log('refused', { reason: event.event.value.reason });
    const message = messageOfGateEvent(reading, event);
    if (!message) return;
    this.currentGateEvent = event;
    this.send(message);
    this.currentGateEvent = undefined;
  }

  private checkGate(reading: number): void {
    const daemonId = this.readings.get(reading)?.gateDaemonId;
    const member = this.ports.fleet.members().find((other) => other.daemonId === daemonId);
    const alive = member !== undefined && member.state !== 'dead' && member.state !== 'left';
    this.send({ kind: 'gate_checked', reading, alive });
  }

  private abandon(reading: number): void {
    this.readings.get(reading)?.abandon();
    this.readings.delete(reading);
  }

  private cancelAttempt({ reading, attemptId, runnerId }: ActionOf<'cancel_attempt'>): void {
    this.log('cancelled', { attemptId, runnerId });
    this.readings.get(reading)?.abort();
    this.readings.delete(reading);
    const request = create(CancelRequestSchema, { attemptId, runnerId });
    this.ports.gates.cancel(request).catch((error: unknown) => {
      this.log('cancelFailed', { attemptId, runnerId, why: String(error) });
    });
  }

  /**
   * Keeps the `started` event of a reading for the caller, unless it belongs to another attempt.
   */
  private storeHead(reading: number, { event }: ExecuteEvent): void {
    if (event.case !== 'started') return;
    const isOwnAttempt = this.readings.get(reading)?.attemptId === event.value.attemptId;
    if (isOwnAttempt) this.heads.set(reading, event.value);
  }

  private deliverStarted({ reading, runnerId }: ActionOf<'deliver_started'>): void {
    this.runnerId = runnerId;
    this.queue.push(startedEventOf(this.heads.get(reading), runnerId));
  }

  private deliverChunk({ attemptId, runnerId, sequence }: ActionOf<'deliver_chunk'>): void {
    if (this.currentGateEvent?.event.case !== 'chunk') return;
    const { requestId, clientAccount, service } = this.requestIdentity();
    const stream = { attemptId, runnerId, service, clientAccount, requestId };
    this.eventIds ??= new EventIds(this.ports.tokens, stream);
    const eventId = this.eventIds.of(sequence);
    this.queue.push({ kind: 'chunk', data: this.currentGateEvent.event.value.data, eventId });
  }

  private complete(tokens: Omit<ActionOf<'complete'>, 'kind'>): void {
    this.log('completed', { runnerId: this.runnerId, ...tokens });
    this.end({ kind: 'completed', ...tokens });
  }

  private fail(failure: RequestFailure): void {
    this.log('failed', { ...failure });
    this.end({ kind: 'failed', ...failure });
  }

  private end(event: CallerEvent): void {
    this.queue.push(event);
    this.stop();
    this.onEnd();
  }

  private requestIdentity(): Pick<CallerRequest, 'requestId' | 'clientAccount' | 'service'> {
    return this.work.kind === 'new' ? this.work.request : this.work.stream;
  }

  private log(event: keyof typeof LOG_EVENTS, fields: LogFields): void {
    const { requestId, clientAccount, service } = this.requestIdentity();
    this.ports.log.write(LOG_EVENTS[event], { requestId, clientAccount, service, ...fields });
  }
}
