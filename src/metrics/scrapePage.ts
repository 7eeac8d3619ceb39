/**
 * Formats metrics for collectors, in the text exposition format 0.0.4.
 */
import type { MetricSnapshot, SeriesSnapshot } from './metricTypes.js';

/** Content type of the scrape page. */
export const SCRAPE_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

function escapeHelp(text: string): string {
  return text.replaceAll('\\', '\\\\').replaceAll('\n', '\\n');
}

function escapeLabelValue(text: string): string {
  return escapeHelp(text).replaceAll('"', '\\"');
}

function formatNumber(value: number): string {
  if (Number.isNaN(value)) return 'NaN';
  if (value === Infinity) return '+Inf';
  return value === -Infinity ? '-Inf' : String(value);
}

function formatSample(
  name: string,
  labels: Readonly<Record<string, string>>,
  value: number,
): string {
  const pairs = Object.entries(labels).map(
    ([label, text]) => `${label}="${escapeLabelValue(text)}"`,
  );
  const braces = pairs.length > 0 ? `{${pairs.join(',')}}` : '';
  return `${name}${braces} ${formatNumber(value)}`;
}

function headerLines(name: string, type: string, help: string): string[] {
  return [`# HELP ${name} ${escapeHelp(help)}`, `# TYPE ${name} ${type}`];
}

function summaryLines(name: string, series: SeriesSnapshot): string[] {
  const quantiles = (series.percentiles ?? []).map(({ quantile, value }) =>
    formatSample(name, { ...series.labels, quantile: String(quantile) }, value),
  );
  return [
    ...quantiles,
    formatSample(`${name}_sum`, series.labels, series.value),
    formatSample(`${name}_count`, series.labels, series.count ?? 0),
  ];
}

function formatSummary({ name, help, series }: MetricSnapshot): string[] {
  const maximum = `${name}_maximum`;
  const maxima = series.filter((one) => one.maximum !== undefined);
  return [
    ...headerLines(name, 'summary', help),
    ...series.flatMap((one) => summaryLines(name, one)),
    ...headerLines(maximum, 'gauge', `Largest value lately: ${help}`),
    ...maxima.map((one) => formatSample(maximum, one.labels, one.maximum ?? 0)),
  ];
}

function formatMetric(metric: MetricSnapshot): string[] {
  const { kind, help, series } = metric;
  if (kind === 'histogram') return formatSummary(metric);
  const name = kind === 'counter' ? `${metric.name}_total` : metric.name;
  return [
    ...headerLines(name, kind, help),
    ...series.map((one) => formatSample(name, one.labels, one.value)),
  ];
}

/**
 * Formats the scrape page. Histograms are written as summaries, with a gauge for the maximum.
 *
 * @param metrics - snapshots of the metrics.
 * @returns The whole page, ending in a newline.
 */
export function formatScrapePage(metrics: readonly MetricSnapshot[]): string {
  return metrics
    .flatMap(formatMetric)
    .map((line) => `${line}\n`)
    .join('');
}
