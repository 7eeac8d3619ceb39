/**
 * Runs non-idempotent requests at most once: issues bindings, runs each bound request once, and
 * answers repeats from memory. `docs/design/at-most-once.md` explains why this is safe.
 */
import { randomBytes, randomUUID } from 'node:crypto';

import type { BindingToken } from '../generated/baobabdock/v1/peers_pb.js';
import { BindingTokenSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { IssuedBinding } from './BindingIssuer.js';
import { BindingIssuer } from './BindingIssuer.js';
import { BindingLedger } from './BindingLedger.js';
import { AnswerMemoryBudget, BoundAnswer } from './BoundAnswer.js';
import {
  bindingRequired,
  bindingOfOtherAccount,
  ledgerFull,
  bindingUnavailable,
  bindingUsedByOtherRequest,
  outcomeUnknown,
  invalidBinding,
} from './boundFailures.js';
import type { Cancellation } from './Cancellation.js';
import { requestDigest } from './requestDigest.js';
import { REQUEST_LOG_EVENTS as LOG_EVENTS } from './requestLogEvents.js';
import type { RequestDependencies } from './RequestDependencies.js';
import { RequestTask } from './RequestTask.js';
import type { CallerEvent, CallerRequest } from './requestTypes.js';
import { MonotonicCalendar } from './MonotonicCalendar.js';

/** Size of the random number that identifies an incarnation of this process, in bytes. */
const INCARNATION_BYTES = 8;

/**
 * Retry-After of a daemon that is leaving, in milliseconds: short, because another daemon can be
 * asked at once.
 */
const LEAVING_RETRY_AFTER_MILLISECONDS = 100;

/** Limits of bindings and of the answers kept for them. */
export interface BindingSettings {
  readonly bindingLifetimeMilliseconds: number;
  readonly maximumBindings: number;
  readonly maximumBindingsPerAccount: number;
  readonly maximumRememberedBytes: number;
  readonly maximumRememberedBytesInAll: number;
  readonly maximumBufferedBytes: number;
}

/** Options of {@link BoundRequests}. */
export interface BoundRequestsOptions {
  ports: RequestDependencies;
  settings: BindingSettings;
  /** Forwards a request to the daemon that issued its binding. */
  forward: (
    request: CallerRequest,
    token: BindingToken,
    signal: AbortSignal,
    cancellation: Cancellation,
  ) => AsyncIterable<CallerEvent>;
}

/** The single run of a bound request. */
export interface BoundRun {
  readonly answer: BoundAnswer;
  readonly task: RequestTask;
}

/** Issues bindings of this incarnation, and runs each bound request at most once. */
export class BoundRequests extends BindingIssuer {
  private readonly ports: RequestDependencies;

  private readonly settings: BindingSettings;

  private readonly forward: BoundRequestsOptions['forward'];

  private readonly ledger: BindingLedger<BoundRun>;

  private readonly memory: AnswerMemoryBudget;

  private readonly calendar: MonotonicCalendar;

  /**
   * Identifies this incarnation in its bindings. It is random rather than the incarnation number
   * of the membership, which may be raised while the process runs, and may be used again after
   * the clock was set back: a new process would then accept a binding whose outcome only the old
   * one knew.
   */
  private readonly incarnation = randomBytes(INCARNATION_BYTES).readBigUInt64BE();

  private runsInProgress = 0;

  /**
   * @param options - the dependencies, the limits and the forwarding function.
   */
  constructor({ ports, settings, forward }: BoundRequestsOptions) {
    super();
    this.ports = ports;
    this.settings = settings;
    this.forward = forward;
    this.calendar = new MonotonicCalendar(ports.clock);
    this.memory = new AnswerMemoryBudget(settings.maximumRememberedBytesInAll);
    this.ledger = new BindingLedger({
      maximumBindings: settings.maximumBindings,
      maximumBindingsPerAccount: settings.maximumBindingsPerAccount,
      onExpire: ({ answer }) => answer.releaseMemory(),
    });
  }

  override issue(clientAccount: string): IssuedBinding | undefined {
    const { daemonId, callerAddress } = this.ports.fleet.self();
    if (this.isLeaving() || !this.ledger.canAccept(this.calendar.now(), clientAccount)) {
      return undefined;
    }
    const { bindingLifetimeMilliseconds } = this.settings;
    const token = this.ports.tokens.sign('binding', BindingTokenSchema, {
      bindingId: randomUUID(),
      clientAccount,
      daemonId,
      incarnation: this.incarnation,
      expiresAtMilliseconds: BigInt(Math.floor(this.calendar.now() + bindingLifetimeMilliseconds)),
      callerAddress,
    });
    this.ports.log.write(LOG_EVENTS.bindingIssued, { clientAccount });
    return { token, address: callerAddress, expiresInMilliseconds: bindingLifetimeMilliseconds };
  }

  /** @returns Number of runs that have not ended. */
  inProgress(): number {
    return this.runsInProgress;
  }

  /**
   * Answers a non-idempotent request without a binding: issues a binding for it, or refuses if
   * none can be issued.
   *
   * @param clientAccount - the client account of the request.
   * @returns The only event of the answer; nothing was run.
   */
  answerWithoutBinding(clientAccount: string): CallerEvent {
    const binding = this.issue(clientAccount);
    if (binding) return bindingRequired(binding);
    const leaving = this.isLeaving();
    const retryAfter = leaving
      ? LEAVING_RETRY_AFTER_MILLISECONDS
      : this.ledger.retryAfter(this.calendar.now(), clientAccount);
    return bindingUnavailable(leaving, retryAfter);
  }

  /**
   * Runs a bound request at the daemon that issued its binding, which may be this one.
   *
   * @param request - the request, with its binding.
   * @param signal - aborted when the caller has disconnected; the run itself continues.
   * @param cancellation - receives the action that cancels the run.
   * @yields The answer of the single run.
   */
  async *run(
    request: CallerRequest,
    signal: AbortSignal,
    cancellation: Cancellation,
  ): AsyncGenerator<CallerEvent, void> {
    const token = this.openBinding(request.binding ?? '');
    if (!token) {
      yield this.logRefusal(request, invalidBinding(), 'unreadable');
    } else if (token.clientAccount !== request.clientAccount) {
      yield this.logRefusal(request, bindingOfOtherAccount(), 'foreign');
    } else if (token.daemonId !== this.ports.fleet.self().daemonId) {
      yield* this.forward(request, token, signal, cancellation);
    } else {
      yield* this.runLocally(request, token, cancellation);
    }
  }

  /**
   * Runs a bound request that another daemon forwarded; never forwards it again.
   *
   * @param request - the request, with its binding.
   * @yields The answer of the single run.
   */
  async *runForwarded(request: CallerRequest): AsyncGenerator<CallerEvent, void> {
    const token = this.openBinding(request.binding ?? '');
    if (!token || token.clientAccount !== request.clientAccount) {
      yield this.logRefusal(request, invalidBinding(), 'unreadable');
    } else if (token.daemonId !== this.ports.fleet.self().daemonId) {
      yield this.logRefusal(
        request,
        outcomeUnknown('The binding is of another daemon.'),
        'elsewhere',
      );
    } else {
      yield* this.runLocally(request, token);
    }
  }

  private async *runLocally(
    request: CallerRequest,
    token: BindingToken,
    cancellation?: Cancellation,
  ): AsyncGenerator<CallerEvent, void> {
    if (token.incarnation !== this.incarnation) {
      const unknown = outcomeUnknown('The daemon of the binding was restarted.');
      yield this.logRefusal(request, unknown, 'other_incarnation');
      return;
    }
    const expiresAt = Number(token.expiresAtMilliseconds);
    const { bindingId, clientAccount } = token;
    const use = { bindingId, clientAccount, digest: requestDigest(request), expiresAt };
    const usage = this.ledger.use(this.calendar.now(), use, () =>
      this.startRun(request, expiresAt),
    );
    if (usage.kind === 'expired') {
      yield this.logRefusal(request, outcomeUnknown('The binding has expired.'), 'expired');
    } else if (usage.kind === 'other_request') {
      yield this.logRefusal(request, bindingUsedByOtherRequest(), 'other_request');
    } else if (usage.kind === 'full') {
      yield this.logRefusal(request, ledgerFull(usage.retryAfterMilliseconds), 'ledger_full');
    } else {
      if (usage.kind === 'repeat') this.logRepeat(request);
      const { answer, task } = usage.run;
      cancellation?.setAction(() => task.send({ kind: 'cancel' }));
      yield* answer.read();
    }
  }

  /** Starts the single run. From here on the binding is used, whatever the outcome of the run. */
  private startRun(request: CallerRequest, expiresAt: number): BoundRun {
    const deadlineMilliseconds = this.remainingForRun(request, expiresAt);
    const work = { kind: 'new', request: { ...request, deadlineMilliseconds } } as const;
    const answer = new BoundAnswer({ memory: this.memory, ...this.settings });
    const task = new RequestTask({
      ports: this.ports,
      work: { ...work, idempotent: false },
      onEnd: () => answer.removeBackPressure(),
    });
    this.runsInProgress += 1;
    // The run belongs to the binding, not to the connection that started it: callers may
    // disconnect and come back.
    const events = task.start(new AbortController().signal);
    void this.collectEvents(events, answer);
    return { answer, task };
  }

  /**
   * Returns the time left for the run in milliseconds: never beyond the expiry of the binding,
   * and 0 if the binding may have expired.
   */
  private remainingForRun({ deadlineMilliseconds }: CallerRequest, expiresAt: number): number {
    if (this.calendar.mayHavePassed(expiresAt)) return 0;
    const reserve = this.ports.timings.hopReserveMilliseconds;
    return Math.min(deadlineMilliseconds - reserve, expiresAt - this.calendar.now());
  }

  private async collectEvents(
    events: AsyncIterable<CallerEvent>,
    answer: BoundAnswer,
  ): Promise<void> {
    for await (const event of events) {
      answer.append(event);
      await answer.waitForRoom();
    }
    this.runsInProgress -= 1;
  }

  private openBinding(token: string): BindingToken | undefined {
    return this.ports.tokens.open('binding', BindingTokenSchema, token);
  }

  private isLeaving(): boolean {
    return this.ports.fleet.self().state === 'leaving';
  }

  private logRepeat({ requestId, clientAccount }: CallerRequest): void {
    this.ports.log.write(LOG_EVENTS.bindingJoined, { requestId, clientAccount });
  }

  private logRefusal<Event extends CallerEvent>(request: CallerRequest, event: Event, why: string) {
    const { requestId, clientAccount } = request;
    this.ports.log.write(LOG_EVENTS.bindingRefused, { requestId, clientAccount, why });
    return event;
  }
}
