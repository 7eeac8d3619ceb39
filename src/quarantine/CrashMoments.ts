/**
 * How many runners crashed at about the same time. When many end at one moment, it is for a reason that has nothing to do
 * with what a few of them were running.
 */
import type { RunnerCrash } from './quarantineTypes.js';

/** Crashes within about this time belong to one moment, in ms. */
export const MOMENT_MILLISECONDS = 100;

/** Maximum number of crashes that are remembered; the oldest are dropped. */
const MAXIMUM_CRASHES = 2_048;

function slotOf(at: number): number {
  return Math.floor(at / MOMENT_MILLISECONDS);
}

/** Remembers the latest crashes of which this daemon knows. */
export class CrashMoments {
  /** Hashes of the crashed incarnations, by the time of their crash in slots of a moment; the oldest added first. */
  private readonly livesBySlot = new Map<number, Set<number>>();

  private count = 0;

  /**
   * @param crash - a crash, possibly a known one.
   */
  add({ life, at }: RunnerCrash): void {
    const slot = slotOf(at);
    const lives = this.livesBySlot.get(slot) ?? new Set();
    if (lives.has(life)) return;
    lives.add(life);
    this.livesBySlot.set(slot, lives);
    this.count += 1;
    if (this.count > MAXIMUM_CRASHES) this.dropOldest();
  }

  /**
   * @param crashes - crashes of one subject.
   * @param at - a time, in monotonic ms.
   * @returns Whether they are at least half of all crashes at about that time.
   */
  areMostOf(crashes: readonly RunnerCrash[], at: number): boolean {
    const slots = [-1, 0, 1].map((offset) => slotOf(at) + offset);
    const all = new Set(slots.flatMap((slot) => [...(this.livesBySlot.get(slot) ?? [])]));
    const own = new Set(
      crashes.filter((crash) => slots.includes(slotOf(crash.at))).map(({ life }) => life),
    );
    return own.size * 2 >= all.size;
  }

  private dropOldest(): void {
    const [oldest] = this.livesBySlot;
    if (!oldest) return;
    const [slot, lives] = oldest;
    this.livesBySlot.delete(slot);
    this.count -= lives.size;
  }
}
