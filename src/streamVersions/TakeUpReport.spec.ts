import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { ManualClock } from '../time/ManualClock.js';
import { TakeUpReport } from './TakeUpReport.js';

describe(TakeUpReport.name, () => {
  function promptVersionsIn(promptPart: string | undefined, ...known: readonly string[][]) {
    const clock = new ManualClock();
    const log = new MemoryLog();
    const [promptVersions = [], ...others] = known;
    const report = new TakeUpReport({
      ...{ clock, log, registry: new MetricRegistry({ clock }), startedAt: 0 },
      versions: { wasCompleteAtStart: false, savedAgeAtStart: undefined },
      versionsOf: () => [],
    });
    const answers = others.map((told, index) => ({
      ...{ daemon: `other-${index}`, recorded: undefined, versions: [], promptVersions: told },
    }));
    const name = { service: 'chat', clientAccount: undefined, id: 'stream', request: 'again' };
    report.write(
      { ...name, promptPart },
      {
        ...{ decision: { evidence: 'unknown' }, promptVersions, mayPass: false, isLoaded: true },
        ...{ result: { answers, asked: 2, isComplete: true }, startedAt: 0 },
      },
    );
    return log.fieldsOf(forwardingLogEvents.versionUnknown).map((line) => line.promptVersions);
  }

  it('tells a prompt at two versions from one that is known nowhere, and from none', () => {
    // Guards against a refusal whose cause is sought at the runners although their lists have arrived.
    expect(promptVersionsIn('part', ['v1'], ['v1', 'v2'])).toEqual([['v1', 'v2']]);
    expect(promptVersionsIn('part', [], [])).toEqual([[]]);
    expect(promptVersionsIn(undefined, [])).toEqual([undefined]);
  });
});
