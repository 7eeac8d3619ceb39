/**
 * The metrics of one daemon: measurements of the callers' interface, gauges of the daemon, and the page for scrapes.
 */
import type { ExchangeMeasurement, MetricsPage } from '../callers/CallerMetrics.js';
import { CallerMetrics } from '../callers/CallerMetrics.js';
import type { Counter } from '../metrics/Counter.js';
import type { Gauge } from '../metrics/Gauge.js';
import type { Histogram } from '../metrics/Histogram.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import { formatScrapePage, SCRAPE_CONTENT_TYPE } from '../metrics/scrapePage.js';
import type { TrafficCount } from '../peers/PeerTraffic.js';

/** Options of {@link DaemonMetrics}. */
export interface DaemonMetricsOptions {
  registry: MetricRegistry;
}

const MILLISECONDS_PER_SECOND = 1000;

/** Histogram of durations in seconds: steps of 100 µs, up to ten minutes. */
const DURATIONS = { resolution: 0.0001, maximum: 600 } as const;

/** Registers and records the daemon's metrics, and formats the page. */
export class DaemonMetrics extends CallerMetrics {
  /** Called before each page is formatted, to update the gauges. */
  updateGauges: () => void = () => {};

  private readonly registry: MetricRegistry;

  private readonly answers: Counter<'route' | 'status' | 'code'>;

  private readonly duration: Histogram<'route'>;

  private readonly firstByte: Histogram<'route'>;

  private readonly gauges: Gauge<'what'>;

  private readonly peerBytes: Gauge<'call' | 'side' | 'direction'>;

  private readonly peerCalls: Gauge<'call' | 'side'>;

  /**
   * @param options - the registry that the page shows.
   */
  constructor({ registry }: DaemonMetricsOptions) {
    super();
    this.registry = registry;
    this.answers = registry.counter({
      name: 'answers',
      help: 'Requests of callers that were answered.',
      labels: ['route', 'status', 'code'],
    });
    this.duration = registry.histogram({
      name: 'answer_duration',
      help: 'From the end of the headers to the end of the answer.',
      unit: 'seconds',
      ...DURATIONS,
      labels: ['route'],
    });
    this.firstByte = registry.histogram({
      name: 'first_byte',
      help: 'From the end of the headers to the first byte of the answer.',
      unit: 'seconds',
      ...DURATIONS,
      labels: ['route'],
    });
    this.gauges = registry.gauge({
      name: 'daemon',
      help: 'What the daemon holds at this moment, by kind.',
      labels: ['what'],
    });
    this.peerBytes = registry.gauge({
      name: 'peer_traffic',
      help: 'Bytes between this daemon and others since the start, headers included.',
      unit: 'bytes',
      labels: ['call', 'side', 'direction'],
    });
    this.peerCalls = registry.gauge({
      name: 'peer_calls',
      help: 'Calls between this daemon and others since the start.',
      labels: ['call', 'side'],
    });
  }

  override recordExchange(exchange: ExchangeMeasurement): void {
    const { route, status, code = '' } = exchange;
    this.answers.increment({ route, status: String(status), code });
    this.duration.record(exchange.durationMilliseconds / MILLISECONDS_PER_SECOND, { route });
    const { firstByteMilliseconds } = exchange;
    if (firstByteMilliseconds === undefined) return;
    this.firstByte.record(firstByteMilliseconds / MILLISECONDS_PER_SECOND, { route });
  }

  /**
   * Sets a gauge of the daemon.
   *
   * @param what - the gauge's name, for example `gates`.
   * @param value - the current value.
   */
  setGauge(what: string, value: number): void {
    this.gauges.set(value, { what });
  }

  /**
   * Sets the number and the bytes of one kind of call between daemons.
   *
   * @param count - totals since the start of the daemon.
   */
  setTraffic({ call, side, calls, sentBytes, receivedBytes }: TrafficCount): void {
    this.peerCalls.set(calls, { call, side });
    this.peerBytes.set(sentBytes, { call, side, direction: 'sent' });
    this.peerBytes.set(receivedBytes, { call, side, direction: 'received' });
  }

  override renderPage(): MetricsPage {
    this.updateGauges();
    return { contentType: SCRAPE_CONTENT_TYPE, text: formatScrapePage(this.registry.snapshot()) };
  }
}
