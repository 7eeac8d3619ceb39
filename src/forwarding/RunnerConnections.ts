/**
 * Connection pools of this daemon, one for each incarnation of a runner. They are not keyed by address, because an
 * address may belong to another runner a few seconds after its previous one has ended.
 */
import type { Runner } from '../runners/Runner.js';
import { RunnerAgent } from './RunnerAgent.js';

/** Creates a runner's connection pool at its first use and releases it when the runner ends. */
export class RunnerConnections {
  private readonly agents = new Map<string, RunnerAgent>();

  /**
   * @param runner - runner to connect to.
   * @returns Connection pool of the runner's incarnation.
   */
  agentOf({ entry }: Runner): RunnerAgent {
    const known = this.agents.get(entry.life);
    if (known) return known;
    const agent = new RunnerAgent();
    this.agents.set(entry.life, agent);
    return agent;
  }

  /**
   * Closes idle connections; requests in progress continue.
   *
   * @param life - incarnation of a runner that gets no more requests from this daemon.
   */
  release(life: string): void {
    this.agents.get(life)?.release();
    this.agents.delete(life);
  }
}
