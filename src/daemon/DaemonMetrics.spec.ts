import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { DaemonMetrics } from './DaemonMetrics.js';

describe('DaemonMetrics', () => {
  it('shows times in the unit that the names of the series say', () => {
    // Guards against a missing conversion of milliseconds to seconds in one of the two times:
    // baobabdock_first_byte_seconds then shows 250 for a quarter of a second.
    const metrics = new DaemonMetrics({ registry: new MetricRegistry() });
    metrics.recordExchange({
      route: 'chat',
      status: 200,
      durationMilliseconds: 2000,
      firstByteMilliseconds: 250,
    });
    const { text } = metrics.renderPage();
    expect(text).toMatchRegex(/first_byte_seconds_sum\{route="chat"\} 0\.25/u);
    expect(text).toMatchRegex(/answer_duration_seconds_sum\{route="chat"\} 2/u);
  });
});
