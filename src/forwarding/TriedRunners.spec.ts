import { describe, it } from 'node:test';

import { expect } from 'earl';

import { Runner } from '../runners/Runner.js';
import { TEST_RUNNER } from '../runners/testRunner.js';
import { TriedRunners } from './TriedRunners.js';

function runnerOf(life: string): Runner {
  return new Runner({ ...TEST_RUNNER, life });
}

describe(TriedRunners.name, () => {
  // Guards against a daemon without a path that keeps others from the runners which it alone does not reach.
  it('tells other daemons of the runners that may have run the request only', () => {
    const tried = new TriedRunners({ mayHaveRun: 1, lives: ['elsewhere'] });
    tried.recordAttempt('unreached');
    tried.recordFailure(runnerOf('unreached'), 'not_connected');
    tried.recordAttempt('broken');
    tried.recordFailure(runnerOf('broken'), 'broken');
    tried.recordAttempt('answering');
    expect(tried.lives).toEqual(['elsewhere', 'broken', 'answering']);
    expect([...tried.excluded].sort()).toEqual(['answering', 'broken', 'elsewhere', 'unreached']);
    expect(tried.mayHaveRun).toEqual(2);
  });

  // Guards against a service with one runner that no daemon uses again after the path of one daemon broke.
  it('allows the runners of another daemon again, and none that has failed the request here', () => {
    const tried = new TriedRunners({ mayHaveRun: 1, lives: ['elsewhere'] });
    tried.recordAttempt('broken');
    tried.recordFailure(runnerOf('broken'), 'broken');
    expect(tried.readmit()).toEqual(true);
    expect([...tried.excluded]).toEqual(['broken']);
    expect(tried.readmit()).toEqual(false);
  });
});
