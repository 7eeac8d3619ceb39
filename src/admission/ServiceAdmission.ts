/**
 * State of admission control for one service.
 */
import { AccountDemand } from './AccountDemand.js';
import { AdmissionQueue } from './AdmissionQueue.js';
import type { QueuedRequest } from './AdmissionQueue.js';
import { ArrivalRates } from './ArrivalRates.js';
import { RetryAppointments } from './RetryAppointments.js';

/** Options of a {@link ServiceAdmission}. */
export interface ServiceAdmissionOptions {
  /** Returns random numbers from 0 up to 1. */
  random: () => number;
}

/** Every kind of request is served at least a quarter as often as all; the rest is a margin for chance. */
const LEAST_SHARE = 0.27;

/** Below this share of admitted work, the turns of aged requests are too few for the least urgent ones. */
const SCARCE_SHARE = 0.45;

/** Time over which the shares of urgencies are compared, in ms; chance makes them differ over shorter times. */
const SHARE_MILLISECONDS = 3_000;

/** Time for which an overload counts as lasting after the last request has waited, in ms. */
const SETTLED_MILLISECONDS = 250;

/** Interval at which waiting requests are checked for those that cannot be served in time, in ms. */
export const CHECK_MILLISECONDS = 30;

/** Waiting requests and appointments of one service. */
export class ServiceAdmission<Request extends QueuedRequest> {
  readonly queue = new AdmissionQueue<Request>();

  readonly arrivals = new ArrivalRates();

  /** Work that was asked for and admitted over some seconds, which tells whether a kind of request is starved. */
  private readonly asked = new ArrivalRates({ averagedMilliseconds: SHARE_MILLISECONDS });

  private readonly admitted = new ArrivalRates({ averagedMilliseconds: SHARE_MILLISECONDS });

  readonly demand = new AccountDemand();

  readonly appointments: RetryAppointments;

  private overloadedUntil = Number.NEGATIVE_INFINITY;

  private checkedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param options - the random numbers.
   */
  constructor(options: ServiceAdmissionOptions) {
    this.appointments = new RetryAppointments(options);
  }

  /**
   * @param now - monotonic ms.
   * @returns Whether requests wait, or waited until a moment ago.
   */
  isOverloaded(now: number): boolean {
    return this.queue.size > 0 || this.overloadedUntil > now;
  }

  /**
   * Notes that requests wait.
   *
   * @param now - monotonic ms.
   */
  recordWaiting(now: number): void {
    if (this.queue.size > 0) this.overloadedUntil = now + SETTLED_MILLISECONDS;
  }

  /**
   * @param request - a request that asks for admission.
   * @param now - monotonic ms.
   */
  recordAsked(request: QueuedRequest, now: number): void {
    this.arrivals.record(request, now);
    this.asked.record(request, now);
    this.demand.record(request.clientAccount, request.work, now);
  }

  /**
   * @param request - a request that is admitted.
   * @param now - monotonic ms.
   */
  recordAdmitted(request: QueuedRequest, now: number): void {
    this.admitted.record(request, now);
  }

  /**
   * Tells whether requests of an urgency get much less of what they ask for than all requests do.
   *
   * @param urgency - 0 is the most urgent.
   * @param now - monotonic ms.
   * @returns Whether they go first until they get their least share.
   */
  isStarved(urgency: number, now: number): boolean {
    const { asked, admitted } = this;
    const share = admitted.of(urgency, now) / asked.of(urgency, now);
    const shareOfAll = admitted.total(now) / asked.total(now);
    return shareOfAll < SCARCE_SHARE && share < LEAST_SHARE * shareOfAll;
  }

  /**
   * @param now - monotonic ms.
   * @returns Whether the waiting requests are checked now.
   */
  takeCheck(now: number): boolean {
    if (this.queue.size === 0 || now < this.checkedAt + CHECK_MILLISECONDS) return false;
    this.checkedAt = now;
    return true;
  }
}
