/**
 * Hot chats whose runners are at their bound for a part of the time, with and without the moves that
 * refusals at a warm runner start.
 */
import { CacheMoveDecisions } from '../../src/gates/CacheMoveDecisions.js';
import type { CacheMoveMessage, MovableCache } from '../../src/gates/CacheMoveDecisions.js';
import { SeededRandom } from '../routing/SeededRandom.js';
import { VirtualTime } from '../routing/VirtualTime.js';

/** Options of {@link measureHotChats}. */
export interface MeasureHotChatsOptions {
  /** Mean seconds between two requests of a chat. */
  seconds: number;
  /** Share of the time for which a runner is at its bound. */
  share: number;
  /** Whether refusals start moves. */
  moves: boolean;
  seed: number;
}

/** What the chats cost. */
export interface HotChatsRecord {
  readonly secondsBetween: number;
  readonly shareAtTheBound: number;
  readonly moves: boolean;
  readonly requests: number;
  readonly refusedWhereWarm: number;
  readonly moved: number;
  readonly gigabytes: number;
  readonly rebuiltTokens: number;
}

const RUNNERS = 12;

/** Candidates of a chat in the hash order, and how many of them a cold chat is balanced among. */
const FIRST_FEW = 3;
const CHATS = 200;
const TOKENS = 4_000;
const END = 600_000;
const LARGEST_SEED = 1_000_000;
const MEAN_AT_THE_BOUND = 20_000;
const MILLISECONDS_PER_SECOND = 1_000;
const GIGABYTE = 1_000_000_000;

/** A token's cache and a link with which a move clearly beats rebuilding. */
const BYTES_PER_TOKEN = 65_536;
const BYTES_PER_SECOND = 4 * GIGABYTE;

/** One pool of runners that come to their bound and leave it by chance. */
class HotPool {
  requests = 0;

  refused = 0;

  moved = 0;

  bytes = 0;

  rebuiltTokens = 0;

  private readonly time = new VirtualTime();

  /** Draws of their own, so that the same requests come to the same runners with and without moves. */
  private readonly arrivals: SeededRandom;

  private readonly bounds: SeededRandom;

  private readonly choices: SeededRandom;

  private readonly atBound = Array.from({ length: RUNNERS }, () => false);

  private readonly warm = new Map<string, Set<number>>();

  private readonly decisions = new CacheMoveDecisions({
    bytesPerToken: BYTES_PER_TOKEN,
    bytesPerSecond: BYTES_PER_SECOND,
  });

  private readonly options: MeasureHotChatsOptions;

  constructor(options: MeasureHotChatsOptions) {
    this.options = options;
    const source = new SeededRandom(options.seed);
    const next = (): SeededRandom => new SeededRandom(source.index(LARGEST_SEED));
    [this.arrivals, this.bounds, this.choices] = [next(), next(), next()];
  }

  run(): void {
    for (let runner = 0; runner < RUNNERS; runner += 1) this.freeFor(runner);
    for (let index = 0; index < CHATS; index += 1) this.next(`chat ${index}`, index);
    this.time.runUntil(END);
  }

  private freeFor(runner: number): void {
    const { share } = this.options;
    this.atBound[runner] = false;
    this.time.after(this.bounds.exponential((MEAN_AT_THE_BOUND * (1 - share)) / share), () => {
      this.atBound[runner] = true;
      this.time.after(this.bounds.exponential(MEAN_AT_THE_BOUND), () => this.freeFor(runner));
    });
  }

  private next(chat: string, index: number): void {
    const mean = this.options.seconds * MILLISECONDS_PER_SECOND;
    this.time.after(this.arrivals.exponential(mean), () => {
      this.serve(chat, index);
      this.next(chat, index);
    });
  }

  private serve(chat: string, index: number): void {
    this.requests += 1;
    const warm = this.warm.get(chat) ?? new Set<number>();
    this.warm.set(chat, warm);
    for (const runner of [...warm]) {
      if (!this.atBound[runner]) return;
      this.refused += 1;
      if (this.options.moves) this.refuseWarm(chat, runner);
    }
    this.rebuiltTokens += TOKENS;
    const few = Array.from({ length: FIRST_FEW }, (_, place) => (index * 5 + place) % RUNNERS);
    const free = few.filter((runner) => !this.atBound[runner] && !warm.has(runner));
    warm.add(free.length > 0 ? this.choices.pick(free) : this.lightest(few[0]!));
  }

  /** Any runner that has room; its load is what the pool's loads tell, which lag less than the bound lasts. */
  private lightest(otherwise: number): number {
    const free = this.atBound.flatMap((full, runner) => (full ? [] : [runner]));
    return free.length > 0 ? this.choices.pick(free) : otherwise;
  }

  private refuseWarm(chat: string, from: number): void {
    const to = String(this.lightest((from + 1) % RUNNERS));
    const cache = { chat, service: 'chats', from: String(from), to, cachedTokens: TOKENS };
    this.tell({ kind: 'warm_refused', cache: { ...cache, prefillTokensPerSecond: 0 } });
  }

  private tell(message: CacheMoveMessage): void {
    for (const action of this.decisions.decide(this.time.now, message)) {
      if (action.kind === 'move') this.copy(action.cache);
    }
  }

  private copy({ chat, from, to, cachedTokens }: MovableCache): void {
    // As the task does it: the home of the chat says that the target has it already.
    if (this.warm.get(chat)?.has(Number(to))) {
      this.time.after(1, () => this.tell({ kind: 'needless', chat, from }));
      return;
    }
    const bytes = cachedTokens * BYTES_PER_TOKEN;
    const milliseconds = (bytes * MILLISECONDS_PER_SECOND) / BYTES_PER_SECOND;
    this.time.after(milliseconds, () => {
      this.moved += 1;
      this.bytes += bytes;
      this.warm.get(chat)?.add(Number(to));
      this.tell({ kind: 'moved', chat, from, bytes, milliseconds });
    });
  }
}

/**
 * @param options - how hot, how full, whether moves are made, seed.
 * @returns What ten minutes of the chats cost.
 */
export function measureHotChats(options: MeasureHotChatsOptions): HotChatsRecord {
  const pool = new HotPool(options);
  pool.run();
  return {
    secondsBetween: options.seconds,
    shareAtTheBound: options.share,
    moves: options.moves,
    requests: pool.requests,
    refusedWhereWarm: pool.refused,
    moved: pool.moved,
    gigabytes: Math.round(pool.bytes / GIGABYTE),
    rebuiltTokens: pool.rebuiltTokens,
  };
}
