/**
 * Tests how far a request may go when the nearest runners refuse it.
 */
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { PlacementDecisions } from './PlacementDecisions.js';
import type { PlacementCandidate, PlacementQuestion } from './placementTypes.js';

function runner(id: string, dataCentre: string): PlacementCandidate {
  return { id, state: 'live', dataCentre, region: 'rosario', accelerators: 8 };
}

function question(changes: Partial<PlacementQuestion>): PlacementQuestion {
  return {
    requestId: 'request',
    service: 'tile-sales-assistant',
    chat: 'terrace',
    clientAccount: 'showroom',
    promptTokens: 1000,
    maximumTokens: 40,
    deadlineMilliseconds: 30_000,
    dataCentre: 'rosario-1',
    region: 'rosario',
    policy: { bound: 1.25, warmChoices: 8, coldChoices: 4, reuseWeight: 0.8, overflow: 'region' },
    candidates: [
      runner('near', 'rosario-1'),
      runner('next', 'rosario-2'),
      runner('far', 'rosario-3'),
    ],
    warm: [],
    mean: 0,
    lightest: [],
    refusals: [],
    ...changes,
  };
}

describe('reach of a placement', () => {
  it('goes on to the region when the only warm runner is also the only one nearby, and is down', () => {
    // Guards against "not run: refused everywhere" after one refusal, while two live runners of the region are free.
    // It happens when each data centre has one runner, the chat is warm on the near one, and that one is killed, so
    // that its gate answers "runner refused". If a refusal by a warm runner does not extend the search outward, the
    // search stays in the caller's data centre, where no runner is left.
    const action = new PlacementDecisions().place(
      question({
        warm: [{ runnerId: 'near', cachedTokens: 900, ageMilliseconds: 10 }],
        refusals: [
          {
            runnerId: 'near',
            reason: 'runner_refused',
            retryAfterMilliseconds: 1000,
            load: 0,
            mean: 0,
            lastChoice: false,
          },
        ],
      }),
    );
    expect(action.kind).toEqual('choose');
  });
});
