/**
 * The connections of this daemon to runners, by the runner's life: an address may belong to another runner
 * a few seconds after its runner has ended.
 */
import type { Runner } from '../runners/Runner.js';
import { RunnerAgent } from './RunnerAgent.js';

/** Makes agents when they are needed. */
export class RunnerConnections {
  private readonly agents = new Map<string, RunnerAgent>();

  /**
   * @param runner - where a request goes.
   * @returns Its connections.
   */
  agentOf({ entry }: Runner): RunnerAgent {
    const known = this.agents.get(entry.life);
    if (known) return known;
    const agent = new RunnerAgent();
    this.agents.set(entry.life, agent);
    return agent;
  }

  /**
   * @param life - of a runner that takes no more work from here; requests in progress go on.
   */
  release(life: string): void {
    this.agents.get(life)?.release();
    this.agents.delete(life);
  }
}
