/**
 * Decides which requests are sent, which wait and which are refused while a service has not enough capacity for all.
 *
 * Runners read the prompts of all their requests at the same time. Above their capacity each request therefore waits
 * behind all others, and none meets its target. Requests are held back here instead, so that a runner never has more to
 * read than what the next request can wait for, and the order of the rest is decided while it can still be changed.
 */
import type { CapacityView } from '../capacity/CapacityView.js';
import type { PlacementEstimate } from '../placement/placementTypes.js';
import type { ChoiceQuestion, RunnerChoice } from '../runners/RunnerChoice.js';
import type {
  AdmissionRequest,
  AdmissionResult,
  AdmissionVerdict,
  FinalVerdict,
} from './admissionTypes.js';
import { AGED_INTERVAL } from './AdmissionQueue.js';
import type { QueuedRequest, WaitingGroup } from './AdmissionQueue.js';
import { requestSession } from './requestSession.js';
import { RetryAppointments } from './RetryAppointments.js';
import { CHECK_MILLISECONDS, ServiceAdmission } from './ServiceAdmission.js';

/** Options of {@link AdmissionDecisions}. */
export interface AdmissionDecisionsOptions {
  choice: Pick<RunnerChoice, 'choose' | 'preview'>;
  capacity: Pick<CapacityView, 'applies' | 'usualRunners' | 'workMilliseconds' | 'roomFor'>;
  /** Number of daemons that admit requests with the same shared parts of prompts, including this one. */
  deciders?: (sharedParts: readonly string[]) => number;
  /** Mean age of the loads that other daemons report, in ms. */
  reportAgeMilliseconds?: () => number;
  /** Share of a request's target that prompts which are ahead of it may take. */
  backlogShare?: number;
  /** How long a request waits without its daemon asking again, in ms. */
  repeatMilliseconds?: number;
  /** Returns random numbers from 0 up to 1. */
  random?: () => number;
}

/** Time for the request's own prompt, the network and the next steps of the batch remains from its target. */
export const BACKLOG_SHARE = 1 / 3;

/** Share of the bound that plain requests of all daemons may use together; their numbers at each runner differ by chance. */
const ROOM_SHARE = 0.5;

/** While requests wait, another is admitted only below this share of the bound, so that the state does not flap. */
const RELEASE_SHARE = 0.8;

/** A request whose wait is expected to be longer than this share of its time is refused. */
export const LONGEST_WAIT_SHARE = 0.5;

/**
 * Longest wait of a plain request, in ms. Its caller gets a refusal within 190 ms, and a late answer is worth little where
 * targets are a few hundred ms; prompts have deadlines of several times their target, so they may wait longer.
 */
const LONGEST_PLAIN_WAIT_MILLISECONDS = 150;

/** Requests of accounts within their fair share go before all but the most urgent ones of other accounts. */
const WITHIN_SHARE_URGENCY = 0.5;

/** Three repetitions of a daemon's question may be lost. */
const REPEAT_MILLISECONDS = 600;

/** How long an admission is repeated to a daemon that has not received it, in ms. */
const REMEMBERED_MILLISECONDS = 1_000;

/** Work of a request whose prompt is wholly cached, in ms; it still takes a place in the batch. */
export const LEAST_WORK_MILLISECONDS = 0.5;

/** Avoids a division by zero while all runners are away. */
const LEAST_RUNNERS = 0.1;

/** Requests that are admitted late are refused after all if the estimate was too short, so it errs to the long side. */
const LATE_MARGIN = 2;

/** Groups of waiting requests that are passed over in one release; each costs an estimate of all runners. */
const MAXIMUM_PASSED_OVER = 3;

interface Waiting extends QueuedRequest {
  readonly request: AdmissionRequest;
  /** Identifies the request over the retries of its caller. */
  readonly session: string | undefined;
  /** Time until its first event once it is admitted, in ms. */
  readonly readingMilliseconds: number;
  /** When the next check has to refuse it, monotonic ms; one check before half of its time is over. */
  readonly latestAt: number;
  /** When its daemon last asked, monotonic ms. */
  askedAt: number;
}

type ServiceState = ServiceAdmission<Waiting>;

interface RecentAdmission {
  readonly verdict: FinalVerdict;
  readonly at: number;
}

/** Keeps the waiting requests of all services. */
export class AdmissionDecisions {
  private readonly options: Required<AdmissionDecisionsOptions>;

  private readonly services = new Map<string, ServiceState>();

  private readonly recent = new Map<string, RecentAdmission>();

  /**
   * @param options - the choice of runners, and the capacity of services.
   */
  constructor(options: AdmissionDecisionsOptions) {
    this.options = {
      deciders: () => 1,
      reportAgeMilliseconds: () => 0,
      backlogShare: BACKLOG_SHARE,
      repeatMilliseconds: REPEAT_MILLISECONDS,
      random: Math.random,
      ...options,
    };
  }

  /** @returns Number of waiting requests. */
  get size(): number {
    return [...this.services.values()].reduce((sum, { queue }) => sum + queue.size, 0);
  }

  /**
   * Decides on a request, or renews the wait of one that waits already.
   *
   * @param request - the request.
   * @param now - monotonic ms.
   * @returns What becomes of it.
   */
  ask(request: AdmissionRequest, now: number): AdmissionVerdict {
    const { question, id } = request;
    const { service } = question;
    if (!this.isSubject(question, now)) return this.choose(request, now);
    const known = this.recent.get(id);
    if (known && now - known.at < REMEMBERED_MILLISECONDS) return known.verdict;
    const state = this.stateOf(service);
    const waiting = state.queue.get(id);
    if (waiting) {
      waiting.askedAt = now;
      return { kind: 'wait' };
    }
    const estimate = this.options.choice.preview(question);
    if (!estimate) return this.choose(request, now);
    const entry = this.entryOf(request, estimate, now);
    state.recordAsked(entry, now);
    const share = state.isOverloaded(now) ? RELEASE_SHARE : 1;
    const limit = this.backlogLimit(entry, now, share);
    if (this.hasRoom(entry, estimate, limit, now) && this.isNext(state, entry, now)) {
      state.queue.recordAdmitted(entry);
      state.recordAdmitted(entry, now);
      state.appointments.forget(entry.session);
      return this.admit(request, now);
    }
    return this.enqueue(state, entry, now);
  }

  /**
   * Admits waiting requests for which there is room now, and refuses those that cannot be served in time. Each result
   * has to be passed on before the next one is taken, so that the next decision counts the work of this one.
   *
   * @param now - monotonic ms.
   * @returns The requests whose wait has ended, one by one.
   */
  *release(now: number): Generator<AdmissionResult, void, undefined> {
    for (const state of this.services.values()) {
      this.dropAbandoned(state, now);
      state.queue.markLate((entry) => this.canMeetTarget(entry, now));
      yield* this.refuseHopeless(state, now);
      yield* this.admitWaiting(state, now);
      state.recordWaiting(now);
    }
    this.forgetRecent(now);
  }

  /**
   * @param id - id of a request.
   * @returns Whether it waits.
   */
  isWaiting(id: string): boolean {
    return [...this.services.values()].some(({ queue }) => queue.get(id) !== undefined);
  }

  /**
   * Ends the wait of all requests, as this daemon stops.
   *
   * @returns The requests that waited.
   */
  drain(): AdmissionRequest[] {
    const waiting = [...this.services.values()].flatMap(({ queue }) => [...queue.requests()]);
    this.services.clear();
    return waiting.map(({ request }) => request);
  }

  /**
   * A request may only go to some runners, or has its prompt cached at a busy one. Those behind it are admitted meanwhile if
   * their runner has room by its limit too, so that they take nothing that it could use.
   */
  private *admitWaiting(state: ServiceState, now: number): Generator<AdmissionResult> {
    const { queue } = state;
    const passedOver = new Set<WaitingGroup>();
    let limit = Number.POSITIVE_INFINITY;
    for (;;) {
      const next = queue.next(now, passedOver, (urgency) => state.isStarved(urgency, now));
      if (!next) return;
      const { request } = next;
      const question = { ...request.question, now, arrivedAt: request.question.now };
      const estimate = this.options.choice.preview(question);
      limit = Math.min(limit, this.backlogLimit(next, now, RELEASE_SHARE));
      if (estimate && !this.hasRoom(next, estimate, limit, now)) {
        passedOver.add(queue.groupFor(next.id)!);
        if (passedOver.size > MAXIMUM_PASSED_OVER) return;
      } else {
        queue.admit(next, now, state.isStarved(next.urgency, now));
        state.recordAdmitted(next, now);
        state.appointments.forget(next.session);
        yield { request, verdict: this.admit({ ...request, question }, now) };
      }
    }
  }

  /** Refuses the requests that are not expected to be admitted in half of the time that they have left. */
  private *refuseHopeless(state: ServiceState, now: number): Generator<AdmissionResult> {
    if (!state.takeCheck(now)) return;
    let work = 0;
    for (const entry of state.queue.inOrder()) {
      const { request, deadlineAt } = entry;
      const wait = (work + entry.work) / this.runnersFor(request.question, now);
      const hasHope = wait <= (deadlineAt - now) * LONGEST_WAIT_SHARE && now < entry.latestAt;
      if (hasHope) {
        work += entry.work;
      } else {
        state.queue.remove(entry.id);
        yield { request, verdict: this.refuse(state, entry, now) };
      }
    }
  }

  private dropAbandoned({ queue }: ServiceState, now: number): void {
    for (const { id, askedAt, request } of [...queue.requests()]) {
      const { isAbandoned } = request;
      const isOver = isAbandoned ? isAbandoned() : now - askedAt > this.options.repeatMilliseconds;
      if (isOver) queue.remove(id);
    }
  }

  private enqueue(state: ServiceState, entry: Waiting, now: number): AdmissionVerdict {
    const appointment = state.appointments.appointmentOf(entry.session, now);
    const early = appointment ? RetryAppointments.earlyMilliseconds(appointment, now) : 0;
    if (early > 0) return { kind: 'refuse', retryAfterMilliseconds: early };
    const { queue } = state;
    const wait = this.expectedWait(state, entry, now);
    const longest = entry.latestAt - now;
    if (queue.isFull || wait > longest) return this.refuse(state, entry, now);
    queue.add(entry, this.canMeetTarget(entry, now));
    state.recordWaiting(now);
    return { kind: 'wait' };
  }

  /**
   * Time until a request is admitted, in ms. What arrives later goes before it if it is more urgent, and in any case once its
   * target can no longer be met; from then on it gets only what is left, or the turns of aged requests.
   */
  private expectedWait(state: ServiceState, entry: Waiting, now: number): number {
    const { queue, arrivals } = state;
    const { urgency, clientAccount, work, request, targetAt, readingMilliseconds } = entry;
    const runners = this.runnersFor(request.question, now);
    const isInTime = this.canMeetTarget(entry, now);
    if (isInTime && state.isStarved(urgency, now)) {
      return (queue.workOf(urgency) + work) / (runners / AGED_INTERVAL);
    }
    const ahead = queue.workBefore(entry, isInTime) + work;
    // Plain requests wait for so short a time that what arrives meanwhile is mostly chance.
    if (!request.question.work) return ahead / runners;
    const left = (rate: number) => Math.max(runners - rate, runners / AGED_INTERVAL);
    const wait = ahead / left(arrivals.overtaking(urgency, clientAccount, runners, now));
    if (isInTime && now + wait + readingMilliseconds <= targetAt) return wait;
    const late = queue.workFrom(urgency) + work;
    return Math.max(wait, (late / left(arrivals.total(now))) * LATE_MARGIN);
  }

  private refuse(state: ServiceState, entry: Waiting, now: number): FinalVerdict {
    const runners = this.runnersFor(entry.request.question, now);
    const { appointments, queue } = state;
    const queueMilliseconds = queue.work / runners;
    const retryAfterMilliseconds = appointments.book(entry, queueMilliseconds, runners, now);
    return this.remember(entry.id, { kind: 'refuse', retryAfterMilliseconds }, now);
  }

  /** Whether the request would be the next one to be admitted; otherwise it would overtake others that wait. */
  private isNext({ queue }: ServiceState, entry: Waiting, now: number): boolean {
    return queue.workBefore(entry, this.canMeetTarget(entry, now)) === 0;
  }

  /** Loads that other daemons have reported are a little old, and a busy runner has read on since. */
  private backlogOf({ backlogMilliseconds }: PlacementEstimate): number {
    return Math.max(0, backlogMilliseconds - this.options.reportAgeMilliseconds());
  }

  private hasRoom(
    { request }: Waiting,
    estimate: PlacementEstimate,
    limit: number,
    now: number,
  ): boolean {
    if (this.backlogOf(estimate) > limit) return false;
    const { capacity, deciders } = this.options;
    const question = { ...request.question, now };
    return capacity.roomFor(question, limit * ROOM_SHARE, deciders(question.sharedParts)) >= 1;
  }

  /** Backlog of its runner up to which the request is admitted, in ms. */
  private backlogLimit({ request }: Waiting, now: number, share: number): number {
    const target = (request.question.targetAt ?? now) - request.question.now;
    return Math.max(0, target) * this.options.backlogShare * share;
  }

  private canMeetTarget({ targetAt, readingMilliseconds }: Waiting, now: number): boolean {
    return now + readingMilliseconds <= targetAt;
  }

  private runnersFor(
    { service, sharedParts }: Pick<ChoiceQuestion, 'service' | 'sharedParts'>,
    now: number,
  ): number {
    const { capacity, deciders } = this.options;
    return Math.max(LEAST_RUNNERS, capacity.usualRunners(service, now) / deciders(sharedParts));
  }

  private entryOf(request: AdmissionRequest, estimate: PlacementEstimate, now: number): Waiting {
    const { question, id } = request;
    const { urgency = 0, clientAccount = '', targetAt = now, deadlineAt = now } = question;
    const { service } = question;
    const { unreadTokens } = estimate;
    const { capacity, backlogShare } = this.options;
    const session = requestSession(question);
    // While requests wait, those that are admitted find their runner at its limit.
    const admittedBehind = (targetAt - now) * backlogShare * RELEASE_SHARE;
    const { appointments, demand } = this.stateOf(service);
    const arrivedAt = appointments.appointmentOf(session, now)?.arrivedAt ?? now;
    const isWithinShare = demand.isWithinShare(clientAccount, this.runnersFor(question, now), now);
    const longest = (deadlineAt - now) * LONGEST_WAIT_SHARE - CHECK_MILLISECONDS;
    const longestPlain = question.work ? longest : LONGEST_PLAIN_WAIT_MILLISECONDS;
    return {
      ...{ id, clientAccount, arrivedAt, targetAt, deadlineAt, session, request },
      urgency: isWithinShare ? Math.min(urgency, WITHIN_SHARE_URGENCY) : urgency,
      work: Math.max(LEAST_WORK_MILLISECONDS, capacity.workMilliseconds(service, unreadTokens)),
      readingMilliseconds:
        estimate.expectedMilliseconds - estimate.backlogMilliseconds + admittedBehind,
      latestAt: now + Math.min(longest, longestPlain),
      askedAt: now,
    };
  }

  /**
   * A request that another runner has failed already is worth more than the next one, so it does not wait. Nor does one
   * without a deadline: its daemon does not know yet that the runners state their speed, and has not sent its work.
   */
  private isSubject(question: ChoiceQuestion, now: number): boolean {
    const { tried, service, deadlineAt, isRetry = tried.size > 0 } = question;
    if (isRetry || deadlineAt === undefined) return false;
    return this.options.capacity.applies(service, now);
  }

  private admit(request: AdmissionRequest, now: number): FinalVerdict {
    return this.remember(request.id, this.choose(request, now), now);
  }

  /** Remembers the verdict, because the daemon that asked may not receive it and ask again. */
  private remember(id: string, verdict: FinalVerdict, now: number): FinalVerdict {
    this.forgetRecent(now);
    this.recent.delete(id);
    this.recent.set(id, { verdict, at: now });
    return verdict;
  }

  private forgetRecent(now: number): void {
    for (const [id, { at }] of this.recent) {
      if (now - at < REMEMBERED_MILLISECONDS) return;
      this.recent.delete(id);
    }
  }

  private choose({ question }: AdmissionRequest, now: number): FinalVerdict {
    return { kind: 'runner', choice: this.options.choice.choose({ ...question, now }) };
  }

  private stateOf(service: string): ServiceState {
    const known = this.services.get(service);
    if (known) return known;
    const made = new ServiceAdmission<Waiting>({ random: this.options.random });
    this.services.set(service, made);
    return made;
  }
}
