/**
 * The queue of one gate. Priority classes are strict; within a class, client accounts share by deficit round
 * robin (Shreedhar and Varghese, 1995), by their weights and measured in tokens of work.
 */
import { PRIORITIES } from './gateTypes.js';
import type { Priority } from './gateTypes.js';

/** The properties of a request that the queue needs. */
export interface FairQueueItem {
  readonly attemptId: string;
  readonly clientAccount: string;
  readonly priority: Priority;
  /** Weight of the client account; 0 counts as 1. */
  readonly accountWeight: number;
  /** Tokens of work, above zero. */
  readonly work: number;
  /** When the request was queued, in monotonic milliseconds. */
  readonly queuedAt: number;
}

/** Options of a {@link FairQueue}. */
export interface FairQueueOptions {
  /** Age in milliseconds after which requests of a lower class get every eighth start; 0 means never. */
  agingMilliseconds?: number;
  /** Tokens that an account of weight 1 may start in one round. */
  quantumTokens?: number;
}

/** Tokens of work and number of requests that leave the queue before a given request. */
export interface WorkAhead {
  readonly work: number;
  readonly requests: number;
}

/** One in this many starts goes to a lower class that has an aged request. */
const AGED_TURN_INTERVAL = 8;

/** About the work of one request, so that a round starts about one request of each account. */
const DEFAULT_QUANTUM_TOKENS = 512;

interface AccountQueue<Item extends FairQueueItem> {
  readonly items: Item[];
  weight: number;
  deficit: number;
  work: number;
  /** Whether the account has received its quantum in this round. */
  granted: boolean;
}

type ClassQueue<Item extends FairQueueItem> = Map<string, AccountQueue<Item>>;

/** Keeps the waiting requests of one gate and determines the order in which they start. */
export class FairQueue<Item extends FairQueueItem> {
  private readonly agingMilliseconds: number;

  private readonly quantumTokens: number;

  /** The accounts of each class in round-robin order; a Map keeps insertion order. */
  private readonly classes: Record<Priority, ClassQueue<Item>>;

  private readonly byAttempt = new Map<string, Item>();

  private queuedWork = 0;

  /** Starts in a row that went to a class above one with an aged request. */
  private startsPastAged = 0;

  /**
   * @param options - aging time and quantum.
   */
  constructor({
    agingMilliseconds = 0,
    quantumTokens = DEFAULT_QUANTUM_TOKENS,
  }: FairQueueOptions = {}) {
    this.agingMilliseconds = agingMilliseconds;
    this.quantumTokens = quantumTokens;
    this.classes = { urgent: new Map(), standard: new Map(), background: new Map() };
  }

  /** @returns Number of waiting requests. */
  get size(): number {
    return this.byAttempt.size;
  }

  /** @returns Work of all waiting requests, in tokens. */
  get work(): number {
    return this.queuedWork;
  }

  /** @returns All waiting requests, the oldest first. */
  items(): Item[] {
    return [...this.byAttempt.values()];
  }

  /**
   * @param attemptId - id of the attempt.
   * @returns Whether the attempt is in the queue.
   */
  has(attemptId: string): boolean {
    return this.byAttempt.has(attemptId);
  }

  /**
   * @param attemptId - id of the attempt.
   * @returns Its request, or `undefined` if it is not in the queue.
   */
  get(attemptId: string): Item | undefined {
    return this.byAttempt.get(attemptId);
  }

  /**
   * Adds a request behind those of the same account and class.
   *
   * @param item - the request.
   */
  push(item: Item): void {
    const accounts = this.classes[item.priority];
    const account = accounts.get(item.clientAccount) ?? {
      items: [],
      weight: 1,
      deficit: 0,
      work: 0,
      granted: false,
    };
    accounts.set(item.clientAccount, account);
    account.weight = Math.max(1, item.accountWeight);
    account.items.push(item);
    account.work += item.work;
    this.byAttempt.set(item.attemptId, item);
    this.queuedWork += item.work;
  }

  /**
   * Removes a request that will not start from this queue.
   *
   * @param attemptId - id of the attempt.
   * @returns Its request, or `undefined` if it was not in the queue.
   */
  remove(attemptId: string): Item | undefined {
    const item = this.byAttempt.get(attemptId);
    if (!item) return undefined;
    const accounts = this.classes[item.priority];
    const account = accounts.get(item.clientAccount)!;
    account.items.splice(account.items.indexOf(item), 1);
    account.work -= item.work;
    // An account without requests loses its deficit; otherwise it could save up credit for a burst.
    if (account.items.length === 0) accounts.delete(item.clientAccount);
    this.byAttempt.delete(attemptId);
    this.queuedWork -= item.work;
    return item;
  }

  /**
   * Returns the request that starts next. Repeated calls return the same one unless the queue has changed.
   *
   * @param now - monotonic milliseconds.
   * @returns The request, or `undefined` if the queue is empty.
   */
  peek(now: number): Item | undefined {
    const priority = this.classToServe(now);
    return priority && this.nextInClass(this.classes[priority]);
  }

  /**
   * Removes and returns the request that {@link FairQueue.peek} returns.
   *
   * @param now - monotonic milliseconds.
   * @returns The request, or `undefined` if the queue is empty.
   */
  take(now: number): Item | undefined {
    const item = this.peek(now);
    if (!item) return undefined;
    const passed = this.agedClassBelow(now, item.priority) !== undefined;
    this.startsPastAged = passed ? this.startsPastAged + 1 : 0;
    this.classes[item.priority].get(item.clientAccount)!.deficit -= item.work;
    return this.remove(item.attemptId);
  }

  /**
   * Checks whether a new request that started at once would overtake a waiting one.
   *
   * @param priority - class of the new request.
   * @returns Whether a request of the same class or of a more urgent one waits.
   */
  hasAtOrAbove(priority: Priority): boolean {
    const last = PRIORITIES.indexOf(priority);
    return PRIORITIES.some((other, index) => index <= last && this.classes[other].size > 0);
  }

  /**
   * Estimates what leaves the queue before a request: everything of the more urgent classes, the earlier requests
   * of its own account and class, and of each other account in its class no more than that account's fair share
   * in the same time. A surge of another account therefore does not lengthen the expected wait of this request.
   *
   * @param item - a request that is in the queue, or that could be added to it.
   * @returns Tokens of work and number of requests.
   */
  workAhead(item: FairQueueItem): WorkAhead {
    const own = this.classes[item.priority].get(item.clientAccount)?.items ?? [];
    const place = own.findIndex(({ attemptId }) => attemptId === item.attemptId);
    const before = place < 0 ? own : own.slice(0, place);
    let work = before.reduce((sum, other) => sum + other.work, 0);
    let requests = before.length;
    const meanwhile = (work + item.work) / Math.max(1, item.accountWeight);
    for (const priority of PRIORITIES) {
      for (const [name, account] of this.classes[priority]) {
        const sameClass = priority === item.priority;
        if (sameClass && name === item.clientAccount) continue;
        const most = sameClass ? meanwhile * account.weight : account.work;
        const share = Math.min(account.work, most);
        work += share;
        requests += (account.items.length * share) / account.work;
      }
      if (priority === item.priority) break;
    }
    return { work, requests };
  }

  /**
   * Picks the request that is refused to make room for a new one in a full queue. It is the newest request of the
   * account that has the most requests for its weight, in the least urgent class. Within the class of the new
   * request, the account must also have more for its weight than the new request's account would have; otherwise
   * a surge of one account would push the requests of the others out of the queue.
   *
   * @param item - the new request.
   * @returns The request to refuse, or `undefined` if the new request itself has to be refused.
   */
  requestToDisplace(item: FairQueueItem): Item | undefined {
    const own = this.classes[item.priority].get(item.clientAccount);
    const ownShare = ((own?.items.length ?? 0) + 1) / Math.max(1, item.accountWeight);
    for (const priority of [...PRIORITIES].reverse()) {
      const accounts = [...this.classes[priority].values()];
      const shareOf = (account: AccountQueue<Item>): number =>
        account.items.length / account.weight;
      const most = accounts.sort((a, b) => shareOf(b) - shareOf(a))[0];
      if (priority === item.priority) {
        return most && shareOf(most) > ownShare ? most.items.at(-1) : undefined;
      }
      if (most) return most.items.at(-1);
    }
    return undefined;
  }

  private classToServe(now: number): Priority | undefined {
    const first = PRIORITIES.find((priority) => this.classes[priority].size > 0);
    if (!first || this.startsPastAged < AGED_TURN_INTERVAL - 1) return first;
    return this.agedClassBelow(now, first) ?? first;
  }

  /** Finds the most urgent class below the given one that has an aged request. */
  private agedClassBelow(now: number, priority: Priority): Priority | undefined {
    if (this.agingMilliseconds <= 0) return undefined;
    const lower = PRIORITIES.slice(PRIORITIES.indexOf(priority) + 1);
    return lower.find((other) =>
      [...this.classes[other].values()].some(
        ({ items }) => now - items[0]!.queuedAt >= this.agingMilliseconds,
      ),
    );
  }

  private nextInClass(accounts: ClassQueue<Item>): Item | undefined {
    for (;;) {
      const first = accounts.entries().next();
      if (first.done) return undefined;
      const [name, account] = first.value;
      if (!account.granted) {
        account.deficit += this.quantumTokens * account.weight;
        account.granted = true;
      }
      const item = account.items[0]!;
      if (item.work <= account.deficit) return item;
      account.granted = false;
      accounts.delete(name);
      accounts.set(name, account);
    }
  }
}
