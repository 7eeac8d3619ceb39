/**
 * The metrics of gates: admission decisions, waiting times, and faults of runners.
 */
import type { Counter } from '../metrics/Counter.js';
import type { Histogram } from '../metrics/Histogram.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';

/** Options of {@link GateTaskMetrics}. */
export interface GateTaskMetricsOptions {
  registry: MetricRegistry;
}

/** An admission decision. */
export interface CountedAdmission {
  readonly service: string;
  readonly decision: 'start' | 'queued' | 'refuse';
  /** Reason of a refusal; empty for other decisions. */
  readonly reason: string;
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Resolution of recorded waiting times; shorter differences do not matter to operators. */
const WAIT_RESOLUTION_SECONDS = 0.001;
const MAXIMUM_WAIT_SECONDS = 600;

/** Records the metrics of all gates of a daemon. */
export class GateTaskMetrics {
  private readonly decisions: Counter<'service' | 'decision' | 'reason'>;

  private readonly waits: Histogram<'service'>;

  private readonly faults: Counter<'service' | 'reason'>;

  /**
   * @param options - the registry for the metrics.
   */
  constructor({ registry }: GateTaskMetricsOptions) {
    this.decisions = registry.counter({
      name: 'gate_decisions',
      help: 'Admission decisions of the gates held here.',
      labels: ['service', 'decision', 'reason'],
    });
    this.waits = registry.histogram({
      name: 'gate_wait',
      help: 'Time between the arrival of an attempt at its gate and its start.',
      unit: 'seconds',
      resolution: WAIT_RESOLUTION_SECONDS,
      maximum: MAXIMUM_WAIT_SECONDS,
      labels: ['service'],
    });
    this.faults = registry.counter({
      name: 'runner_faults',
      help: 'Attempts whose answer was not whole, or that a runner did not start.',
      labels: ['service', 'reason'],
    });
  }

  /**
   * Counts an admission decision, and records the waiting time of a started attempt.
   *
   * @param admission - the decision.
   * @param waitedMilliseconds - time since the attempt arrived.
   */
  admission({ service, decision, reason }: CountedAdmission, waitedMilliseconds: number): void {
    this.decisions.increment({ service, decision, reason });
    if (decision !== 'start') return;
    this.waits.record(waitedMilliseconds / MILLISECONDS_PER_SECOND, { service });
  }

  /**
   * Counts a fault of an attempt.
   *
   * @param service - the service, which is the pool of the runner.
   * @param reason - why the answer is incomplete, or why the runner did not start the attempt.
   */
  fault(service: string, reason: string): void {
    this.faults.increment({ service, reason });
  }
}
