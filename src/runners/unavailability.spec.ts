import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { RunnerState } from './Runner.js';
import { RunnerAdmission } from './RunnerAdmission.js';
import { RunnerTable } from './RunnerTable.js';
import { unavailabilityOf } from './unavailability.js';

const NOW = 1_000;

function tableOf(...runners: readonly (readonly [place: string, state: RunnerState])[]) {
  const table = new RunnerTable();
  for (const [index, [dataCentre, state]] of runners.entries()) {
    const id = `runner-${index}`;
    table.put({ id, life: id, service: 'chat', host: '10.0.0.1', port: index, dataCentre, state });
  }
  return table;
}

function unavailabilityFor(runners: RunnerTable, service = 'chat', isCold = false) {
  const admission = { isFull: () => false, isCold: () => isCold, isInHomeRegion: () => true };
  return unavailabilityOf({ runners, admission, service, now: NOW });
}

describe('unavailabilityOf', () => {
  it('distinguishes an evacuation from a service without runners', () => {
    const table = tableOf(['north', 'ready'], ['south', 'draining']);
    table.setEvacuated(new Set(['north']));
    expect(unavailabilityFor(table).reason).toEqual('evacuated');
    expect(unavailabilityFor(table, 'other')).toEqual({ reason: 'no_runner' });
  });

  it('does not report an evacuation when the runners of that data centre are draining anyway', () => {
    const table = tableOf(['north', 'draining']);
    table.setEvacuated(new Set(['north']));
    expect(unavailabilityFor(table)).toEqual({ reason: 'no_runner' });
  });

  it('returns the shortest pause if all runners have asked for one', () => {
    const table = tableOf(['north', 'ready'], ['south', 'ready']);
    table.get('runner-0')?.pauseUntil(NOW + 900);
    expect(unavailabilityFor(table)).toEqual({ reason: 'no_runner' });
    table.get('runner-1')?.pauseUntil(NOW + 400);
    const expected = { reason: 'asked_for_time', pauseMilliseconds: 400 } as const;
    expect(unavailabilityFor(table)).toEqual(expected);
  });

  it('reports that all runners are cold', () => {
    const table = tableOf(['north', 'ready'], ['south', 'ready']);
    expect(unavailabilityFor(table, 'chat', true)).toEqual({ reason: 'cold' });
  });

  it('reports that no runner of the version that a stream needs is left', () => {
    const runners = tableOf(['north', 'ready']);
    const admission = new RunnerAdmission();
    const question = { runners, admission, service: 'chat', now: NOW };
    expect(unavailabilityOf({ ...question, softwareVersion: 'v2' })).toEqual({
      reason: 'no_runner_of_version',
    });
    expect(unavailabilityOf({ ...question, softwareVersion: '' })).toEqual({ reason: 'no_runner' });
  });

  it('reports that no home region of the request has a runner', () => {
    const runners = tableOf(['north', 'ready']);
    const admission = new RunnerAdmission({ regionOf: () => 'other' });
    const question = { runners, admission, service: 'chat', homeRegions: ['home'], now: NOW };
    expect(unavailabilityOf(question)).toEqual({ reason: 'no_home' });
  });
});
