/**
 * The order in which requests that wait for capacity are admitted.
 *
 * It answers loads above the capacity of a service. Requests that can still meet their target go before those that cannot,
 * and among them the more urgent ones first. Within an urgency, client accounts get equal shares of the work that is
 * admitted, and what an account does not use goes to the others, so that a surge of one account delays only itself. One
 * admission in eight goes to the request that has waited longest for its time, so that nothing starves.
 */

/** A request that waits for capacity. */
export interface QueuedRequest {
  /** Unique among the requests that wait here. */
  readonly id: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
  readonly clientAccount: string;
  /** Time for which it takes up a runner of usual speed, in ms; above 0. */
  readonly work: number;
  /** When its caller first asked, which may have been with an earlier request; monotonic ms. */
  readonly arrivedAt: number;
  /** When its target latency ends, monotonic ms. */
  readonly targetAt: number;
  /** When its caller stops waiting, monotonic ms. */
  readonly deadlineAt: number;
  /** When it is refused if it still waits, monotonic ms; by default at half of its time. */
  readonly latestAt?: number;
}

/** Options of an {@link AdmissionQueue}. */
export interface AdmissionQueueOptions {
  /** Maximum number of waiting requests. */
  maximumRequests?: number;
  /** Share of the time until it is refused after which a request counts as aged. */
  agedShare?: number;
  /** One admission in this many goes to an aged request, whatever its urgency. */
  agedInterval?: number;
}

/** Bounds the memory of a coordinator; more than what a service admits within the deadlines of its requests. */
const MAXIMUM_REQUESTS = 2_000;

/** Aged requests still have a chance before they are refused. */
const AGED_SHARE = 0.5;

/** With fewer turns for aged requests, less urgent ones would get under a quarter of what the others get. */
export const AGED_INTERVAL = 8;

/** One admission in this many may go to an urgency that gets too little, so that the others keep most of their capacity. */
const STARVED_INTERVAL = 4;

/** Tells whether the target of a request can still be met. */
export type TargetCheck<Request extends QueuedRequest = QueuedRequest> = (
  request: Request,
) => boolean;

function hasAged(request: QueuedRequest, now: number, share: number): boolean {
  const { arrivedAt, deadlineAt, latestAt = (arrivedAt + deadlineAt) / 2 } = request;
  return now - arrivedAt >= (latestAt - arrivedAt) * share;
}

/** Whether a group goes before another one regardless of the shares of their accounts; 0 if the shares decide. */
function compareRanks(
  one: Pick<WaitingGroup, 'isInTime' | 'urgency'>,
  other: Pick<WaitingGroup, 'isInTime' | 'urgency'>,
): number {
  if (one.isInTime !== other.isInTime) return one.isInTime ? -1 : 1;
  return one.urgency - other.urgency;
}

/** Waiting requests of one account and urgency, all or none of which can meet their target. */
export interface WaitingGroup<Request extends QueuedRequest = QueuedRequest> {
  readonly isInTime: boolean;
  readonly urgency: number;
  readonly clientAccount: string;
  /** At least one, the one that arrived first at the front. */
  readonly requests: Request[];
  /** Work of all of them, in ms. */
  work: number;
}

/** Work of the requests that arrived no later, in ms; a new request is behind almost all. */
function workUpTo({ requests, work }: WaitingGroup, arrivedAt: number): number {
  let sum = work;
  for (let index = requests.length - 1; index >= 0; index -= 1) {
    const { work: own, arrivedAt: at } = requests[index]!;
    if (at <= arrivedAt) return sum;
    sum -= own;
  }
  return 0;
}

/** Waiting requests of one service, and the work that each client account has been admitted. */
export class AdmissionQueue<Request extends QueuedRequest = QueuedRequest> {
  private readonly options: Required<AdmissionQueueOptions>;

  private readonly waiting = new Map<string, Request>();

  private readonly groups = new Map<string, WaitingGroup<Request>>();

  private readonly groupOf = new Map<string, WaitingGroup<Request>>();

  /** Virtual time up to which each account has used its share, in ms of work. */
  private readonly usedUpTo = new Map<string, number>();

  /** Virtual time of the latest admission; an account that was idle starts from here. */
  private virtualTime = 0;

  private admissionsPastAged = 0;

  /** Admissions in a row that did not go to a starved urgency. */
  private admissionsPastStarved = 0;

  /**
   * @param options - bounds of the queue.
   */
  constructor(options: AdmissionQueueOptions = {}) {
    this.options = {
      maximumRequests: MAXIMUM_REQUESTS,
      agedShare: AGED_SHARE,
      agedInterval: AGED_INTERVAL,
      ...options,
    };
  }

  /** @returns Number of waiting requests. */
  get size(): number {
    return this.waiting.size;
  }

  /** @returns Whether no further request fits in. */
  get isFull(): boolean {
    return this.waiting.size >= this.options.maximumRequests;
  }

  /** @returns The waiting requests, in the order in which they were added. */
  requests(): Iterable<Request> {
    return this.waiting.values();
  }

  /**
   * @param id - id of a request.
   * @returns The request, or `undefined` if it does not wait.
   */
  get(id: string): Request | undefined {
    return this.waiting.get(id);
  }

  /** @returns Work of all waiting requests, in ms. */
  get work(): number {
    let sum = 0;
    for (const { work } of this.groups.values()) sum += work;
    return sum;
  }

  /**
   * @param urgency - 0 is the most urgent.
   * @returns Work of the requests of that urgency, in ms.
   */
  workOf(urgency: number): number {
    let sum = 0;
    for (const group of this.groups.values()) if (group.urgency === urgency) sum += group.work;
    return sum;
  }

  /**
   * @param urgency - 0 is the most urgent.
   * @returns Work of the requests that are late, not more urgent, or both, in ms.
   */
  workFrom(urgency: number): number {
    let sum = 0;
    for (const group of this.groups.values()) {
      if (!group.isInTime || group.urgency >= urgency) sum += group.work;
    }
    return sum;
  }

  /**
   * @param request - a request that has to wait.
   * @param isInTime - whether its target can still be met.
   */
  add(request: Request, isInTime: boolean): void {
    const { urgency, clientAccount, id, work, arrivedAt } = request;
    const key = `${isInTime} ${urgency} ${clientAccount}`;
    const group = this.groups.get(key) ?? {
      ...{ isInTime, urgency, clientAccount, work: 0 },
      requests: [],
    };
    const index = group.requests.findLastIndex((other) => other.arrivedAt <= arrivedAt);
    group.requests.splice(index + 1, 0, request);
    group.work += work;
    this.groups.set(key, group);
    this.groupOf.set(id, group);
    this.waiting.set(id, request);
  }

  /**
   * @param id - id of a request that no longer waits.
   */
  remove(id: string): void {
    const group = this.groupOf.get(id);
    if (!group) return;
    this.waiting.delete(id);
    this.groupOf.delete(id);
    const { requests, isInTime, urgency, clientAccount } = group;
    const [removed] = requests.splice(
      requests.findIndex((request) => request.id === id),
      1,
    );
    group.work -= removed?.work ?? 0;
    if (requests.length === 0) this.groups.delete(`${isInTime} ${urgency} ${clientAccount}`);
  }

  /**
   * Moves requests whose target can no longer be met behind the others.
   *
   * @param canMeetTarget - whether the target of a request can still be met.
   */
  markLate(canMeetTarget: TargetCheck<Request>): void {
    const late = [...this.waiting.values()].filter(
      (request) => this.groupOf.get(request.id)?.isInTime === true && !canMeetTarget(request),
    );
    for (const request of late) {
      this.remove(request.id);
      this.add(request, false);
    }
  }

  /**
   * Records work that was admitted, also of requests that did not have to wait, so that an account cannot use the time
   * before an overload for a larger share during it.
   *
   * @param request - the admitted request.
   */
  recordAdmitted({ clientAccount, work }: Pick<QueuedRequest, 'clientAccount' | 'work'>): void {
    const start = this.startOf(clientAccount);
    this.virtualTime = Math.max(this.virtualTime, start);
    this.usedUpTo.set(clientAccount, start + work);
    if (this.usedUpTo.size > this.options.maximumRequests) this.dropIdleAccounts();
  }

  /**
   * @param now - monotonic ms.
   * @param passedOver - groups that are left out.
   * @param isStarved - whether requests of an urgency go first because they get too little.
   * @returns The request that is admitted next; `undefined` if none waits.
   */
  next(
    now: number,
    passedOver: ReadonlySet<WaitingGroup> = new Set(),
    isStarved: (urgency: number) => boolean = () => false,
  ): Request | undefined {
    const starved = [...this.groups.values()].filter(
      (group) => group.isInTime && !passedOver.has(group) && isStarved(group.urgency),
    );
    if (starved.length > 0 && this.admissionsPastStarved >= STARVED_INTERVAL - 1) {
      return starved.reduce((best, one) => (this.isBefore(one, best) ? one : best)).requests[0];
    }
    const aged = this.oldestAged(now, passedOver);
    if (aged && this.admissionsPastAged >= this.options.agedInterval - 1) return aged;
    let best: WaitingGroup<Request> | undefined;
    for (const group of this.groups.values()) {
      if (!passedOver.has(group) && (!best || this.isBefore(group, best))) best = group;
    }
    return best?.requests[0];
  }

  /**
   * @param id - id of a waiting request.
   * @returns Its group.
   */
  groupFor(id: string): WaitingGroup<Request> | undefined {
    return this.groupOf.get(id);
  }

  /**
   * Removes a request that was admitted.
   *
   * @param request - the result of {@link next}.
   * @param now - monotonic ms.
   * @param isStarved - whether requests of its urgency get too little.
   */
  admit(request: Request, now: number, isStarved = false): void {
    this.admissionsPastStarved = isStarved ? 0 : this.admissionsPastStarved + 1;
    const aged = this.oldestAged(now);
    this.admissionsPastAged = aged && aged !== request ? this.admissionsPastAged + 1 : 0;
    this.remove(request.id);
    this.recordAdmitted(request);
  }

  /**
   * @param request - a request that does not wait yet.
   * @param isInTime - whether its target can still be met.
   * @returns Work that is admitted before it, in ms, if no other request arrives.
   */
  workBefore(request: Request, isInTime: boolean): number {
    const { urgency, clientAccount, arrivedAt } = request;
    const rank = { isInTime, urgency };
    let own = 0;
    let others = 0;
    const rivals: WaitingGroup<Request>[] = [];
    for (const group of this.groups.values()) {
      const order = compareRanks(group, rank);
      if (order < 0) others += group.work;
      if (order !== 0) continue;
      if (group.clientAccount !== clientAccount) rivals.push(group);
      else own = workUpTo(group, arrivedAt);
    }
    const start = this.startOf(clientAccount) + own;
    for (const { clientAccount: account, requests, work } of rivals) {
      const lead = start - this.startOf(account);
      const [{ work: first, arrivedAt: firstAt }] = requests as [Request];
      if (lead > 0 || (lead === 0 && firstAt <= arrivedAt)) {
        others += Math.min(work, Math.max(lead, first));
      }
    }
    return own + others;
  }

  /** @returns The waiting requests, those first that are admitted first if no other request arrives. */
  inOrder(): Request[] {
    const ranked = [...this.groups.values()].flatMap((group) => {
      let start = this.startOf(group.clientAccount);
      return group.requests.map((request) => {
        const place = { group, request, start };
        start += request.work;
        return place;
      });
    });
    ranked.sort(
      (one, other) =>
        compareRanks(one.group, other.group) ||
        one.start - other.start ||
        one.request.arrivedAt - other.request.arrivedAt,
    );
    return ranked.map(({ request }) => request);
  }

  private isBefore(one: WaitingGroup<Request>, other: WaitingGroup<Request>): boolean {
    const order =
      compareRanks(one, other) ||
      this.startOf(one.clientAccount) - this.startOf(other.clientAccount) ||
      one.requests[0]!.arrivedAt - other.requests[0]!.arrivedAt;
    return order < 0;
  }

  private startOf(clientAccount: string): number {
    return Math.max(this.virtualTime, this.usedUpTo.get(clientAccount) ?? 0);
  }

  private oldestAged(
    now: number,
    passedOver: ReadonlySet<WaitingGroup> = new Set(),
  ): Request | undefined {
    let oldest: Request | undefined;
    for (const group of this.groups.values()) {
      const [first] = group.requests;
      if (!first || passedOver.has(group) || !hasAged(first, now, this.options.agedShare)) continue;
      if (!oldest || first.arrivedAt < oldest.arrivedAt) oldest = first;
    }
    return oldest;
  }

  private dropIdleAccounts(): void {
    for (const [account, time] of this.usedUpTo) {
      if (time <= this.virtualTime) this.usedUpTo.delete(account);
    }
  }
}
