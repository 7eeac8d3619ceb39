/**
 * Connection pools of this daemon, one for each incarnation of a runner. They are not keyed by address, because an
 * address may belong to another runner a few seconds after its previous one has ended.
 */
import type { Runner } from '../runners/Runner.js';
import { RunnerAgent } from './RunnerAgent.js';

/** Options of {@link RunnerConnections}. */
export interface RunnerConnectionsOptions {
  /** Called when a runner's instance has closed an idle connection. */
  onLost?: (runner: Runner) => void;
}

/** Creates a runner's connection pool at its first use and releases it when the runner ends. */
export class RunnerConnections {
  private readonly agents = new Map<string, RunnerAgent>();

  private readonly onLost: (runner: Runner) => void;

  /**
   * @param options - the listener.
   */
  constructor({ onLost = () => undefined }: RunnerConnectionsOptions = {}) {
    this.onLost = onLost;
  }

  /**
   * @param runner - runner to connect to.
   * @returns Connection pool of the runner's incarnation.
   */
  agentOf(runner: Runner): RunnerAgent {
    const { entry } = runner;
    const known = this.agents.get(entry.life);
    if (known) return known;
    const agent = new RunnerAgent({ onLost: () => this.onLost(runner) });
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
