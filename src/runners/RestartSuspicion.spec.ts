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

  it('ends with data on a connection that was open before', () => {
    // Guards against runners that close idle connections and are in doubt for good.
    suspicion = new RestartSuspicion();
    suspicion.record(10_000);
    suspicion.takeData(8_900, 10_900);
    expect(suspicion.isSuspected).toEqual(true);
    suspicion.takeData(8_900, 11_000);
    expect(suspicion.isSuspected).toEqual(false);
  });

  it('does not end with data on a connection that was opened since, or shortly before', () => {
    // Guards against a runner that has started again and answers.
    suspicion = new RestartSuspicion();
    suspicion.record(10_000);
    suspicion.takeData(9_100, 20_000);
    suspicion.takeData(10_300, 20_000);
    expect(suspicion.isSuspected).toEqual(true);
    expect(suspicion.isSameLifeAt(9_100)).toEqual(false);
  });

  it('is about the time after the last proof, however often connections are closed', () => {
    // Guards against streams whose version is known at no time, as the next connection is closed before the proof.
    suspicion = new RestartSuspicion();
    for (let at = 10_000; at < 14_000; at += 100) {
      suspicion.record(at);
      suspicion.takeData(at < 12_000 ? 8_000 : 10_500, at);
    }
    expect(suspicion.isSuspected).toEqual(true);
    expect([suspicion.isSameLifeAt(12_900), suspicion.isSameLifeAt(12_901)]).toEqual([true, false]);
  });

  it('is about the last seconds alone while the list is current', () => {
    // Guards against the same where no connection is open for long.
    for (let at = 0; at <= 10_000; at += STEP_MILLISECONDS) {
      suspicion.record(at);
      suspicion.confirmListed(at + 1);
    }
    expect(suspicion.isSuspected).toEqual(true);
    expect([suspicion.isSameLifeAt(7_001), suspicion.isSameLifeAt(7_002)]).toEqual([true, false]);
  });

  it('does not end with data where another daemon has been in doubt for a while', () => {
    // Guards against a connection that was opened after the restart, before this daemon heard of it.
    suspicion = new RestartSuspicion();
    suspicion.recordNotice(10_000, { isLasting: true });
    suspicion.takeData(1_000, 20_000);
    expect(suspicion.isSuspected).toEqual(true);
  });
});
