/**
 * Connections of a pool's order task to its runners, created on first use.
 */
import type { FleetRunner } from '../fleet/FleetView.js';
import type { Upstream } from '../upstreams/Upstream.js';

/** Timeout of a state or load read. */
const READ_TIMEOUT_MILLISECONDS = 5_000;

/** Options of {@link RunnerUpstreams}. */
export interface RunnerUpstreamsOptions {
  upstreamOf: (address: string) => Upstream;
}

interface Connection {
  readonly address: string;
  readonly upstream: Upstream;
}

/** Keeps at most one connection for each runner and applies timeouts to calls. */
export class RunnerUpstreams {
  private readonly upstreamOf: (address: string) => Upstream;

  private readonly connections = new Map<string, Connection>();

  private addresses: ReadonlyMap<string, string> = new Map();

  /**
   * @param options - creates the connection to an address.
   */
  constructor({ upstreamOf }: RunnerUpstreamsOptions) {
    this.upstreamOf = upstreamOf;
  }

  /** @param runners - all runners that exist. Connections to others are closed. */
  retainRunners(runners: readonly FleetRunner[]): void {
    this.addresses = new Map(runners.map(({ id, record }) => [id, record.address]));
    for (const [runnerId, { address, upstream }] of this.connections) {
      if (this.addresses.get(runnerId) === address) continue;
      upstream.close();
      this.connections.delete(runnerId);
    }
  }

  /**
   * Calls a runner.
   *
   * @param runnerId - ID of the runner.
   * @param send - makes the call on the runner's connection.
   * @param timeoutMilliseconds - longest wait for the answer.
   * @returns The answer. Rejects if there is none in time, or if the runner is unknown.
   */
  async call<Answer>(
    runnerId: string,
    send: (upstream: Upstream) => Promise<Answer>,
    timeoutMilliseconds = READ_TIMEOUT_MILLISECONDS,
  ): Promise<Answer> {
    const upstream = this.upstream(runnerId);
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      const giveUp = () => reject(new Error(`no answer in ${timeoutMilliseconds} ms`));
      timer = setTimeout(giveUp, timeoutMilliseconds);
    });
    try {
      return await Promise.race([send(upstream), timeout]);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Closes all connections. */
  close(): void {
    for (const { upstream } of this.connections.values()) upstream.close();
    this.connections.clear();
  }

  private upstream(runnerId: string): Upstream {
    const known = this.connections.get(runnerId);
    if (known) return known.upstream;
    const address = this.addresses.get(runnerId);
    if (address === undefined) throw new Error('the runner is not in the list of runners');
    const upstream = this.upstreamOf(address);
    this.connections.set(runnerId, { address, upstream });
    return upstream;
  }
}
