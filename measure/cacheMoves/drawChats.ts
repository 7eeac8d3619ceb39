/**
 * The chats that are warm at a runner at the moment at which it starts to leave.
 */
import type { SeededRandom } from '../routing/SeededRandom.js';

/** A warm chat. */
export interface WarmChat {
  readonly chat: string;
  readonly cachedTokens: number;
  /** Milliseconds since its last answer. */
  readonly idle: number;
  /** Milliseconds from now to its next request; infinite when it never returns. */
  readonly returnsIn: number;
}

const MINUTE = 60_000;
const HOUR = 60 * MINUTE;
const SMALLEST_TOKENS = 500;
const LARGEST_TOKENS = 8_000;

/** Most chats return within minutes, some after hours, some never. */
const SHARE_WITHIN_MINUTES = 0.7;
const SHARE_WITHIN_HOURS = 0.2;
const MEAN_OF_MINUTES = 3 * MINUTE;
const MEAN_OF_HOURS = 1.5 * HOUR;

function drawPause(random: SeededRandom): number {
  const kind = random.next();
  if (kind < SHARE_WITHIN_MINUTES) return random.exponential(MEAN_OF_MINUTES);
  if (kind < SHARE_WITHIN_MINUTES + SHARE_WITHIN_HOURS) return random.exponential(MEAN_OF_HOURS);
  return Infinity;
}

/**
 * Pauses that began evenly over the retention and have not ended: so the likelihood that a chat returns
 * soon falls with the time for which it has been silent, as it does for real chats.
 *
 * @param random - source of the draws.
 * @param count - how many.
 * @param retention - milliseconds for which a silent chat stays cached.
 * @returns The chats, the most recently used first, as a gate lists them.
 */
export function drawChats(random: SeededRandom, count: number, retention: number): WarmChat[] {
  const chats: WarmChat[] = [];
  while (chats.length < count) {
    const idle = random.between(0, retention);
    const pause = drawPause(random);
    const size = SMALLEST_TOKENS * (LARGEST_TOKENS / SMALLEST_TOKENS) ** random.next();
    if (pause <= idle) continue;
    const chat = `chat ${chats.length}`;
    chats.push({ chat, cachedTokens: Math.round(size), idle, returnsIn: pause - idle });
  }
  return chats.sort((a, b) => a.idle - b.idle);
}
