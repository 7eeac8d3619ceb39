/**
 * The prompts that simulated runners have cached, by the life of the runner.
 */
import type { Runner } from '../runners/Runner.js';

/** Remembers which stream has begun at which runner; the prompt of each stream is its own. */
export class TestCachedPrompts {
  private readonly byLife = new Map<string, Set<string>>();

  /**
   * @param runner - runner that begins a stream.
   * @param id - id of the stream.
   */
  add({ entry: { life } }: Runner, id: string): void {
    this.byLife.set(life, (this.byLife.get(life) ?? new Set()).add(id));
  }

  /**
   * @param runner - a runner that lists what it has cached.
   * @returns The ids of the streams.
   */
  listOf({ entry: { life } }: Runner): readonly string[] {
    return [...(this.byLife.get(life) ?? [])];
  }
}
