/**
 * Metrics of the forwarding path.
 */
import type { MetricRegistry } from '../metrics/MetricRegistry.js';

/** Resolution of recorded latencies, in seconds. */
const LATENCY_RESOLUTION_SECONDS = 0.001;

/** Largest latency that is recorded exactly, in seconds; above the longest timeout of a route. */
const LATENCY_MAXIMUM_SECONDS = 60;

/**
 * @param registry - metric registry of the process.
 * @returns The metrics of the forwarding path.
 */
export function createForwardingMetrics(registry: MetricRegistry) {
  return {
    requests: registry.counter({
      name: 'forwarded_requests',
      help: 'Requests by route and by what their callers got.',
      labels: ['route', 'outcome'] as const,
    }),
    failures: registry.counter({
      name: 'runner_failures',
      help: 'Attempts that a runner did not answer, by kind.',
      labels: ['kind'] as const,
    }),
    retries: registry.counter({ name: 'retries', help: 'Requests sent to one more runner.' }),
    linkChecks: registry.counter({
      name: 'link_checks',
      help: 'Checks of this daemon’s own link, made because a runner accepted no connection.',
      labels: ['result'] as const,
    }),
    latency: registry.histogram({
      name: 'answer_latency',
      help: 'Until the first event of a stream, or the whole of another answer.',
      unit: 'seconds',
      labels: ['route'] as const,
      resolution: LATENCY_RESOLUTION_SECONDS,
      maximum: LATENCY_MAXIMUM_SECONDS,
    }),
  };
}

/** See {@link createForwardingMetrics}. */
export type ForwardingMetrics = ReturnType<typeof createForwardingMetrics>;
