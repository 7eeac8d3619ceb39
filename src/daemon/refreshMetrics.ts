/**
 * Updates the gauges whose values are read from the daemon's parts, just before a scrape.
 */
import type { DaemonParts } from './createParts.js';

const MICROSECONDS_PER_SECOND = 1_000_000;

/**
 * @param parts - the daemon's parts, from which the values are read.
 */
export function refreshMetrics(parts: DaemonParts): void {
  const { metrics, gates, requests, fleet, platformCalls, link, peers } = parts;
  metrics.setGauge('gates', gates.hosted().size);
  metrics.setGauge('attempts', gates.inProgress());
  metrics.setGauge('requests', requests.inProgress());
  metrics.setGauge('members', fleet.members().length);
  metrics.setGauge('configuration_revision', fleet.configurationRevision());
  const { user, system } = process.cpuUsage();
  metrics.setGauge('processor_seconds', (user + system) / MICROSECONDS_PER_SECOND);
  metrics.setGauge('resident_bytes', process.memoryUsage.rss());
  const platform = platformCalls.read();
  metrics.setGauge('platform_calls_per_second', platform.callsPerSecond);
  for (const count of [...link.traffic.snapshot(), ...peers.traffic.snapshot()]) {
    metrics.setTraffic(count);
  }
}
