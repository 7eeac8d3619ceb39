import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { ManualClock } from '../time/ManualClock.js';
import { MetricRegistry } from './MetricRegistry.js';
import { formatScrapePage } from './scrapePage.js';

const WINDOW_MILLISECONDS = 1_000;

function registryWithClock(): { registry: MetricRegistry; clock: ManualClock } {
  const clock = new ManualClock();
  return {
    clock,
    registry: new MetricRegistry({ clock, windowMilliseconds: WINDOW_MILLISECONDS }),
  };
}

function waitHistogram(registry: MetricRegistry) {
  return registry.histogram({
    name: 'gate_wait',
    help: 'Time in the queue of a gate.',
    unit: 'seconds',
    resolution: 0.001,
    maximum: 600,
  });
}

describe(MetricRegistry.name, () => {
  it('is written as a page in the text exposition format', () => {
    const { registry } = registryWithClock();
    const requests = registry.counter({
      name: 'requests',
      help: 'Requests by outcome.',
      labels: ['outcome'],
    });
    requests.increment({ outcome: 'completed' });
    requests.add(2, { outcome: 'a "quoted"\nname\\' });
    registry.gauge({ name: 'queued', help: 'Waiting now.', unit: 'tokens' }).readFrom(() => 7);
    const wait = waitHistogram(registry);
    for (let value = 1; value <= 100; value += 1) wait.record(value / 100);
    expect(formatScrapePage(registry.snapshot())).toEqual(
      [
        '# HELP baobabdock_gate_wait_seconds Time in the queue of a gate.',
        '# TYPE baobabdock_gate_wait_seconds summary',
        'baobabdock_gate_wait_seconds{quantile="0.5"} 0.501',
        'baobabdock_gate_wait_seconds{quantile="0.9"} 0.903',
        'baobabdock_gate_wait_seconds{quantile="0.95"} 0.951',
        'baobabdock_gate_wait_seconds{quantile="0.99"} 0.991',
        'baobabdock_gate_wait_seconds{quantile="0.999"} 1.003',
        'baobabdock_gate_wait_seconds_sum 50.5',
        'baobabdock_gate_wait_seconds_count 100',
        '# HELP baobabdock_gate_wait_seconds_maximum Largest value lately: Time in the queue of a gate.',
        '# TYPE baobabdock_gate_wait_seconds_maximum gauge',
        'baobabdock_gate_wait_seconds_maximum 1',
        '# HELP baobabdock_queued_tokens Waiting now.',
        '# TYPE baobabdock_queued_tokens gauge',
        'baobabdock_queued_tokens 7',
        '# HELP baobabdock_requests_total Requests by outcome.',
        '# TYPE baobabdock_requests_total counter',
        'baobabdock_requests_total{outcome="completed"} 1',
        'baobabdock_requests_total{outcome="a \\"quoted\\"\\nname\\\\"} 2',
        '',
      ].join('\n'),
    );
  });

  it('drops values older than two windows from percentiles, but not from sum and count', () => {
    const { registry, clock } = registryWithClock();
    const wait = waitHistogram(registry);
    wait.record(9);
    clock.advance(WINDOW_MILLISECONDS);
    wait.record(1);
    expect(registry.snapshot()[0]?.series[0]?.maximum).toEqual(9);
    clock.advance(WINDOW_MILLISECONDS);
    expect(registry.snapshot()[0]?.series[0]?.maximum).toEqual(1);
    clock.advance(2 * WINDOW_MILLISECONDS);
    expect(registry.snapshot()[0]?.series).toEqual([
      { labels: {}, value: 10, count: 2, percentiles: [] },
    ]);
  });

  it('keeps the number of series bounded', () => {
    // Guards against a daemon whose memory grows for weeks, because each new client account adds a series and nothing limits
    // the values of a label.
    const registry = new MetricRegistry({ clock: new ManualClock(), maximumSeries: 3 });
    const requests = registry.counter({ name: 'requests', help: 'All.', labels: ['account'] });
    for (let index = 0; index < 100; index += 1) requests.increment({ account: `a${index}` });
    const series = registry.snapshot()[0]?.series ?? [];
    expect(series.map(({ labels, value }) => [labels.account, value])).toEqual([
      ['a0', 1],
      ['a1', 1],
      ['a2', 1],
      ['other', 97],
    ]);
  });

  it('accepts any number without throwing and keeps percentiles in order', () => {
    fc.assert(
      fc.property(fc.array(fc.double(), { minLength: 1 }), (values) => {
        const { registry } = registryWithClock();
        const wait = waitHistogram(registry);
        for (const value of values) wait.record(value);
        const [series] = registry.snapshot()[0]?.series ?? [];
        const percentiles = (series?.percentiles ?? []).map(({ value }) => value);
        expect(percentiles).toEqual([...percentiles].sort((a, b) => a - b));
        expect(percentiles.every((value) => value >= 0 && value <= 600)).toEqual(true);
      }),
    );
  });

  it('rejects invalid names, and one name for two different metrics', () => {
    const registry = new MetricRegistry();
    registry.counter({ name: 'requests', help: 'All.' });
    expect(() => registry.gauge({ name: 'requests', help: 'All.' })).toThrow('defined twice');
    expect(() => registry.counter({ name: 'Requests now', help: 'All.' })).toThrow('not a valid');
    expect(registry.counter({ name: 'requests', help: 'All.' })).toEqual(
      registry.counter({ name: 'requests', help: 'All.' }),
    );
  });
});
