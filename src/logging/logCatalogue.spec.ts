import { describe, it } from 'node:test';

import { expect } from 'earl';
import { z } from 'zod';

import { ALL_FEATURES } from '../features/allFeatures.js';
import { ROUTER_FEATURES } from '../features/routerFeatures.js';
import { defineFeature } from '../features/Feature.js';
import { formatFinding } from '../findings/Findings.js';
import { checkLogEvents, listLogEvents } from './logCatalogue.js';
import type { LogEvent } from './logEvent.js';

const EVENT: LogEvent = {
  number: 1500,
  name: 'gates.started',
  level: 'info',
  text: 'Started.',
  operatorAction: 'None.',
};

function findingsOf(logEvents: Record<string, LogEvent>): string[] {
  const feature = defineFeature({ name: 'gates', settings: z.strictObject({}), logEvents });
  return checkLogEvents([feature]).list().map(formatFinding);
}

describe(checkLogEvents.name, () => {
  it('has no findings for the events of the program', () => {
    expect(
      checkLogEvents([...ALL_FEATURES, ...ROUTER_FEATURES])
        .list()
        .map(formatFinding),
    ).toEqual([]);
    expect(listLogEvents([...ALL_FEATURES, ...ROUTER_FEATURES]).length > 0).toEqual(true);
  });

  const faults: [string, Partial<LogEvent>, string][] = [
    ['a number used twice', { name: 'gates.other' }, 'gates.other has the number of gates.started'],
    ['a name used twice', { number: 1501 }, 'the name gates.started is used twice'],
    ['a number of another feature', { number: 1600, name: 'gates.b' }, 'outside of 1500 to 1599'],
    ['a name without its feature', { number: 1501, name: 'Started' }, 'not of the form'],
    ['no action', { number: 1501, name: 'gates.b', operatorAction: ' ' }, 'lacks a text'],
  ];
  for (const [name, difference, message] of faults) {
    it(`finds ${name}`, () => {
      const findings = findingsOf({ first: EVENT, second: { ...EVENT, ...difference } });
      expect(findings).toEqual([expect.includes(message)]);
    });
  }
});
