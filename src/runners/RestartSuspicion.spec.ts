import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { RestartSuspicion } from './RestartSuspicion.js';

const STEP_MILLISECONDS = 500;

describe('the suspicion that a runner has started again', () => {
  let suspicion: RestartSuspicion;

  beforeEach(() => {
    suspicion = new RestartSuspicion();
    suspicion.record(0);
  });

  /** Confirms the list twice a second. */
  function confirm(from: number, until: number): void {
    for (let at = from; at <= until; at += STEP_MILLISECONDS) suspicion.confirmListed(at);
  }

  it('does not end with time', () => {
    // Guards against a runner that is trusted again although its new entry could not be read.
    suspicion.confirmListed(-STEP_MILLISECONDS);
    expect(suspicion.record(60_000)).toEqual(false);
    expect(suspicion.isSuspected).toEqual(true);
  });

  it('ends once the list has been current for longer than a new entry takes', () => {
    // Guards against a sound runner that gets no streams for good.
    confirm(STEP_MILLISECONDS, 2_500);
    expect(suspicion.isSuspected).toEqual(true);
    confirm(3_000, 3_000);
    expect(suspicion.isSuspected).toEqual(false);
  });

  it('does not end at the first answer of a store that was silent', () => {
    // Guards against a list from before the silence, during which the runner could not write its entry.
    confirm(STEP_MILLISECONDS, 1_000);
    confirm(9_000, 11_500);
    expect(suspicion.isSuspected).toEqual(true);
    confirm(12_000, 12_000);
    expect(suspicion.isSuspected).toEqual(false);
  });

  it('is counted from the last lost connection', () => {
    // Guards against a runner that starts again while it is suspected.
    confirm(STEP_MILLISECONDS, 2_500);
    suspicion.record(2_600);
    confirm(3_000, 5_500);
    expect(suspicion.isSuspected).toEqual(true);
  });

  it('is not prolonged by repeated notices', () => {
    // Guards against daemons that keep each other in doubt.
    confirm(STEP_MILLISECONDS, 2_500);
    expect(suspicion.recordNotice(2_600)).toEqual(false);
    confirm(3_000, 3_000);
    expect(suspicion.isSuspected).toEqual(false);
  });

  it('ends by a report of the same life that was requested after the last lost connection', () => {
    // Guards against a report of the life that has ended since.
    expect(suspicion.takeReport(true, -1)).toEqual('outdated');
    expect(suspicion.isSuspected).toEqual(true);
    expect(suspicion.takeReport(true, 1)).toEqual('same_life');
    expect(suspicion.isSuspected).toEqual(false);
  });

  it('becomes certain by a report of another life, until the new entry is known', () => {
    // Guards against an old entry that outweighs what the runner says of itself.
    expect(suspicion.takeReport(false, 1)).toEqual('restarted');
    confirm(STEP_MILLISECONDS, 10_000);
    expect(suspicion.isSuspected).toEqual(true);
    expect(suspicion.hasRestarted).toEqual(true);
  });
});
