/**
 * One reading of the metrics pages of several daemons.
 */

/** Calls that are control: everything between daemons that carries no caller's request. */
const CONTROL_CALLS = ['Gossip', 'ProbeFor', 'PullDocument', 'AskHome', 'TellHome', 'HandOverGate'];

const SERIES = /^(?<name>[a-z_]+)\{(?<labels>[^}]*)\} (?<value>[-+.0-9eE]+)$/u;

interface Series {
  readonly name: string;
  readonly labels: string;
  readonly value: number;
}

function parsePage(page: string): Series[] {
  return page.split('\n').flatMap((line) => {
    const groups = SERIES.exec(line)?.groups;
    if (!groups) return [];
    return [{ name: groups.name!, labels: groups.labels!, value: Number(groups.value) }];
  });
}

/** What one daemon's page said. */
export class MetricsReading {
  private readonly series: readonly Series[];

  /**
   * @param page - text of the page.
   * @param atMilliseconds - when it was read.
   */
  constructor(
    page: string,
    readonly atMilliseconds: number,
  ) {
    this.series = parsePage(page);
  }

  /**
   * Reads a daemon's page.
   *
   * @param callerAddress - `host:port` of its callers' interface.
   * @returns The reading.
   */
  static async of(callerAddress: string): Promise<MetricsReading> {
    const response = await fetch(`http://${callerAddress}/metrics`);
    if (!response.ok) throw new Error(`${callerAddress} shows no metrics: ${response.status}`);
    return new MetricsReading(await response.text(), performance.now());
  }

  /**
   * @param what - a gauge of the daemon.
   * @returns Its value, 0 when it is not there.
   */
  gauge(what: string): number {
    const wanted = `what="${what}"`;
    const found = this.series.find(
      ({ name, labels }) => name.endsWith('_daemon') && labels === wanted,
    );
    return found?.value ?? 0;
  }

  /**
   * @param direction - `sent` or `received`.
   * @returns Bytes of control calls since the start, on both sides of the calls.
   */
  controlBytes(direction: string): number {
    return this.sum('_peer_traffic_bytes', [`direction="${direction}"`]);
  }

  /** @returns Control calls that the daemon made since the start. */
  controlCalls(): number {
    return this.sum('_peer_calls', ['side="called"']);
  }

  /** @returns Attempts that the daemon passed on to the gate of another one since the start. */
  innerHops(): number {
    return this.sum('_peer_calls', ['side="called"'], ['Execute']);
  }

  private sum(suffix: string, wanted: readonly string[], calls = CONTROL_CALLS): number {
    return this.series
      .filter(({ name }) => name.endsWith(suffix))
      .filter(({ labels }) => wanted.every((label) => labels.includes(label)))
      .filter(({ labels }) => calls.some((call) => labels.includes(`call="${call}"`)))
      .reduce((sum, { value }) => sum + value, 0);
  }
}
