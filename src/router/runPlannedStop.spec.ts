import { describe, it } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';

import { expect } from 'earl';

import { SystemClock } from '../time/SystemClock.js';
import { runPlannedStop } from './runPlannedStop.js';

const STOP_SECONDS = 1;

/** After the time in which requests are still accepted, in ms. */
const LATE_MILLISECONDS = 600;

describe(runPlannedStop.name, () => {
  /** Stops a daemon with one request of another daemon, which is answered when the daemon ends it, or before. */
  async function stop(isAnswered: boolean): Promise<string[]> {
    const steps: string[] = [];
    const handedOver = {
      inProgress: 1,
      endRemaining() {
        steps.push(`${handedOver.inProgress} left`);
        handedOver.inProgress = 0;
      },
    };
    const front = {
      inFlight: 0,
      endRemaining: () => undefined,
      close: () => {
        steps.push('closed');
      },
    };
    const settings = { stopSeconds: STOP_SECONDS };
    const clock = new SystemClock();
    const setPhase = () => undefined;
    const stopped = runPlannedStop({ front, handedOver, clock, settings, setPhase });
    await wait(LATE_MILLISECONDS);
    steps.push('late');
    if (isAnswered) handedOver.inProgress = 0;
    await stopped;
    return steps;
  }

  // Guards against writes that are cut at a daemon whose own callers have all been served.
  it('waits for requests that other daemons have handed over', async () => {
    expect(await stop(true)).toEqual(['late', '0 left', 'closed']);
  });

  it('ends them when the time is up', async () => {
    expect(await stop(false)).toEqual(['late', '1 left', 'closed']);
  });
});
