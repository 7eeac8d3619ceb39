import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { Runner } from '../runners/Runner.js';
import { ManualClock } from '../time/ManualClock.js';
import { HeldVersions } from './HeldVersions.js';
import { HistoryReport } from './HistoryReport.js';
import { ServiceVersions } from './ServiceVersions.js';

const WALL = 100_000;

const RUNNERS = ['v1', 'v2'].map((softwareVersion) => {
  const place = { host: '10.0.0.1', port: 80, dataCentre: 'here', softwareVersion };
  const id = `of-${softwareVersion}`;
  return new Runner({ id, life: id, service: 'chat', state: 'ready', ...place });
});

function historyOf(services: readonly string[], completeAt: number, ...names: string[]) {
  const known = new Map(names.map((name) => [name, 0]));
  return { versions: new Map(services.map((service) => [service, known])), completeAt };
}

describe(HistoryReport.name, () => {
  const started = { isHistorySaved: true, isHistoryComplete: true, moreServices: 0 };
  const unknownAge = { isHistoryComplete: false, historyAgeMilliseconds: undefined };
  const names = Array.from({ length: 12 }, (_, index) => `service-${index}`);
  const namesV1 = (service: string) => ({ service, versions: ['v1'] });

  const cases = {
    'says how old the history was, names ten services, and counts the others': [
      historyOf(names, WALL - 2_000, 'v1'),
      {
        ...{ ...started, historyAgeMilliseconds: 2_000, moreServices: 2 },
        services: names.slice(0, 10).map(namesV1),
      },
    ],
    'tells a history that a restored store may have lost from none at all': [
      historyOf(['chat'], 0, 'v1'),
      { ...started, ...unknownAge, services: [namesV1('chat')] },
    ],
    'says that there was none': [
      undefined,
      { ...started, ...unknownAge, isHistorySaved: false, services: [] },
    ],
  } as const;

  for (const [name, [history, expected]] of Object.entries(cases)) {
    it(`${name}, once`, () => {
      const log = new MemoryLog();
      const start = { monotonic: 0, wall: WALL };
      const versions = new ServiceVersions({ startedAt: start });
      const report = new HistoryReport({ log, versions });
      if (history) versions.load(history, start);
      report.look();
      versions.see(RUNNERS, 0);
      report.look();
      versions.load(historyOf(['chat'], WALL, 'v3'), start);
      report.look();
      expect(log.fieldsOf(forwardingLogEvents.historyTaken)).toEqual([expected]);
    });
  }
});

describe(HeldVersions.name, () => {
  const ends = [
    { cause: 'saved', milliseconds: 300, later: historyOf(['chat'], WALL, 'v1', 'v2') },
    { cause: 'held_too_long', milliseconds: 12_000, later: historyOf(['chat'], WALL, 'v1') },
    { cause: 'no_history', milliseconds: 300, later: historyOf([], 0) },
  ];

  for (const { later, ...end } of ends) {
    it(`logs once that a version is held back, and that it no longer is: ${end.cause}`, () => {
      const clock = new ManualClock();
      const log = new MemoryLog();
      const start = { monotonic: 0, wall: WALL };
      const versions = new ServiceVersions({ startedAt: start });
      const held = new HeldVersions({ clock, log, versions });
      const mayBegin = () => ['v1', 'v2'].map((version) => held.mayBegin('chat', version));
      versions.load(historyOf(['chat'], WALL, 'v1'), start);
      versions.see(RUNNERS, 0);
      expect([...mayBegin(), ...mayBegin()]).toEqual([true, false, true, false]);
      held.look();
      clock.advance(end.milliseconds);
      versions.load(later, start);
      held.look();
      held.look();
      expect(mayBegin()).toEqual([true, true]);
      const version = { service: 'chat', softwareVersion: 'v2' };
      expect(log.lines).toEqual([
        { event: forwardingLogEvents.versionHeld, fields: version },
        { event: forwardingLogEvents.versionReleased, fields: { ...version, ...end } },
      ]);
    });
  }
});
