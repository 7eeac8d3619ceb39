import { describe, it } from 'node:test';

import { expect } from 'earl';

import { TriedRunners } from './TriedRunners.js';

describe(TriedRunners.name, () => {
  // Guards against a daemon without a path that keeps others from the runners which it alone does not reach.
  it('tells other daemons of the runners that may have run the request only', () => {
    const tried = new TriedRunners({ mayHaveRun: 1, lives: ['elsewhere'] });
    tried.recordAttempt('unreached');
    tried.recordFailure('unreached', 'not_connected');
    tried.recordAttempt('broken');
    tried.recordFailure('broken', 'broken');
    tried.recordAttempt('answering');
    expect(tried.lives).toEqual(['elsewhere', 'broken', 'answering']);
    expect([...tried.excluded].sort()).toEqual(['answering', 'broken', 'elsewhere', 'unreached']);
    expect(tried.mayHaveRun).toEqual(2);
  });
});
