/**
 * A planned leave in virtual time: the very decisions of a daemon, a link of limited rate, and chats that return.
 */
import { CacheMoveDecisions } from '../../src/gates/CacheMoveDecisions.js';
import type {
  CacheMoveAction,
  CacheMoveMessage,
  MovableCache,
} from '../../src/gates/CacheMoveDecisions.js';
import { MAXIMUM_CHATS_PER_RUNNER } from '../../src/gates/CacheMoveTask.js';
import { SeededRandom } from '../routing/SeededRandom.js';
import { VirtualTime } from '../routing/VirtualTime.js';
import { drawChats } from './drawChats.js';
import type { WarmChat } from './drawChats.js';

/**
 * Never move; move one after the other whatever it costs; the decisions with the default settings; the
 * decisions with settings that name the true rates.
 */
export const LEAVE_POLICIES = ['never', 'all', 'default settings', 'settings fit'] as const;

/** One of {@link LEAVE_POLICIES}. */
export type LeavePolicy = (typeof LEAVE_POLICIES)[number];

/** Options of {@link measureLeave}. */
export interface MeasureLeaveOptions {
  policy: LeavePolicy;
  /** True size of a token's cache. */
  bytesPerToken: number;
  /** True rate of one transfer. */
  bytesPerSecond: number;
  /** True rate at which a runner rebuilds. */
  prefillTokensPerSecond: number;
  /** What the runner says of itself; missing where it says the truth. */
  reportedTokensPerSecond?: number;
  seed: number;
}

/** What a leave cost. */
export interface LeaveRecord {
  readonly policy: LeavePolicy;
  readonly kibibytesPerToken: number;
  readonly gigabytesPerSecond: number;
  readonly moved: number;
  /** Moves of chats that had returned before the copy was there, or did not return while it was kept. */
  readonly useless: number;
  readonly gigabytes: number;
  readonly secondsUntilGone: number;
  readonly returned: number;
  readonly warmShare: number;
  readonly rebuiltTokens: number;
  readonly prefillSecondsSaved: number;
}

const CHATS = 3_000;
const HOUR = 3_600_000;
const RETENTION = HOUR;
const HORIZON = 2 * HOUR;

/** A runner that leaves by plan is taken away then, with what was not moved. */
const LONGEST_STAY = 600_000;
const MOVES_AT_THE_SAME_TIME = 2;

/** Calls and scheduling of a move, as the decisions assume them. */
const FIXED_MILLISECONDS = 20;
const MILLISECONDS_PER_SECOND = 1_000;
const KIBIBYTE = 1_024;
const GIGABYTE = 1_000_000_000;

/** Moves everything in order, a few at a time. */
class MoveAll {
  private readonly waiting: MovableCache[] = [];

  private moving = 0;

  decide(_now: number, message: CacheMoveMessage): CacheMoveAction[] {
    if (message.kind === 'runner_leaving') this.waiting.push(...message.caches);
    else this.moving -= 1;
    const next = this.waiting.splice(0, MOVES_AT_THE_SAME_TIME - this.moving);
    this.moving += next.length;
    return next.map((cache) => ({
      kind: 'move',
      cache,
      moveMilliseconds: 0,
      rebuildMilliseconds: 0,
    }));
  }
}

function decisionsOf({ policy, bytesPerToken, bytesPerSecond }: MeasureLeaveOptions) {
  if (policy === 'all') return new MoveAll();
  if (policy === 'default settings') return new CacheMoveDecisions();
  return new CacheMoveDecisions({ bytesPerToken, bytesPerSecond });
}

/** Carries out what the decisions say. */
class Leave {
  /** When the copy of a chat stood at the new runner. */
  readonly copiedAt = new Map<string, number>();

  gone = 0;

  bytes = 0;

  private readonly time = new VirtualTime();

  private readonly returns = new Map<string, number>();

  private readonly options: MeasureLeaveOptions;

  private readonly decisions: Pick<CacheMoveDecisions, 'decide'> | MoveAll;

  constructor(options: MeasureLeaveOptions) {
    this.options = options;
    this.decisions = decisionsOf(options);
  }

  run(chats: readonly WarmChat[]): void {
    const { policy, prefillTokensPerSecond, reportedTokensPerSecond } = this.options;
    if (policy === 'never') return;
    for (const { chat, returnsIn } of chats) this.returns.set(chat, returnsIn);
    const places = { service: 'chats', from: 'runner-1', to: 'runner-2' };
    const rate = reportedTokensPerSecond ?? prefillTokensPerSecond;
    const considered = policy === 'all' ? chats.length : MAXIMUM_CHATS_PER_RUNNER;
    const caches = chats.slice(0, considered).map(({ chat, cachedTokens }) => ({
      chat,
      cachedTokens,
      ...places,
      prefillTokensPerSecond: rate,
    }));
    this.tell({ kind: 'runner_leaving', caches });
    this.time.runUntil(HORIZON);
  }

  private tell(message: CacheMoveMessage): void {
    for (const action of this.decisions.decide(this.time.now, message)) {
      if (action.kind === 'move') this.copy(action.cache);
    }
  }

  private copy({ chat, from, cachedTokens }: MovableCache): void {
    const { policy, bytesPerToken, bytesPerSecond } = this.options;
    // As the task does it: the home of the chat says that it was rebuilt meanwhile.
    if (policy !== 'all' && (this.returns.get(chat) ?? Infinity) <= this.time.now) {
      this.time.after(1, () => this.tell({ kind: 'needless', chat, from }));
      return;
    }
    if (this.time.now >= LONGEST_STAY) {
      this.time.after(1, () => this.tell({ kind: 'move_failed', chat, from }));
      return;
    }
    const bytes = cachedTokens * bytesPerToken;
    const milliseconds = FIXED_MILLISECONDS + (bytes * MILLISECONDS_PER_SECOND) / bytesPerSecond;
    this.time.after(milliseconds, () => {
      this.copiedAt.set(chat, this.time.now);
      this.bytes += bytes;
      this.gone = this.time.now;
      this.tell({ kind: 'moved', chat, from, bytes, milliseconds });
    });
  }
}

/**
 * @param options - policy, true rates, seed.
 * @returns What the leave cost.
 */
export function measureLeave(options: MeasureLeaveOptions): LeaveRecord {
  const chats = drawChats(new SeededRandom(options.seed), CHATS, RETENTION);
  const leave = new Leave(options);
  leave.run(chats);
  const returned = chats.filter(({ returnsIn }) => returnsIn <= HORIZON);
  const warm = returned.filter(({ chat, returnsIn }) => {
    const copied = leave.copiedAt.get(chat);
    return copied !== undefined && copied <= returnsIn && returnsIn - copied <= RETENTION;
  });
  const tokens = (some: readonly WarmChat[]): number =>
    some.reduce((sum, { cachedTokens }) => sum + cachedTokens, 0);
  return {
    policy: options.policy,
    kibibytesPerToken: options.bytesPerToken / KIBIBYTE,
    gigabytesPerSecond: options.bytesPerSecond / GIGABYTE,
    moved: leave.copiedAt.size,
    useless: leave.copiedAt.size - warm.length,
    gigabytes: Math.round(leave.bytes / GIGABYTE),
    secondsUntilGone: Math.round(leave.gone / MILLISECONDS_PER_SECOND),
    returned: returned.length,
    warmShare: warm.length / returned.length,
    rebuiltTokens: tokens(returned) - tokens(warm),
    prefillSecondsSaved: Math.round(tokens(warm) / options.prefillTokensPerSecond),
  };
}
