import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { forwardingLogEvents } from './forwardingFeature.js';
import type { ForwardingContext } from './forwardingTypes.js';
import { statusLineInTime } from './testReceived.js';
import { DEADLINE_MILLISECONDS, FIRST_RUNNER, RequestUnderTest } from './testRequest.js';

function fail(): never {
  throw new Error('this step fails');
}

/** Steps of a request that throw. */
const STEPS: Readonly<Record<string, (context: ForwardingContext) => void>> = {
  'the quarantine': ({ quarantine }) => Object.assign(quarantine, { begin: fail }),
  'the choice of a runner': ({ selector }) => Object.assign(selector, { select: fail }),
  'the count of requests': ({ budget }) => Object.assign(budget, { recordRequest: fail }),
  'the connection to the runner': ({ connections }) =>
    Object.assign(connections, { agentOf: fail }),
};

describe('A request one of whose steps throws', () => {
  let test: RequestUnderTest;

  afterEach(() => test.close());

  async function expectAnswer(breakStep: (context: ForwardingContext) => void): Promise<void> {
    test = await RequestUnderTest.open();
    breakStep(test.context);
    const { caller } = await test.send();
    expect(await statusLineInTime(caller)).toEqual('HTTP/1.1 502 Bad Gateway');
    // Guards against failed requests that no line of the log accounts for.
    const ends = test.log.fieldsOf(forwardingLogEvents.notServed);
    expect(ends.map(({ outcome }) => outcome)).toEqual(['internal']);
  }

  for (const [name, breakStep] of Object.entries(STEPS)) {
    // Guards against a caller without any answer, since nothing looks at the request again.
    it(`is answered: ${name}`, () => expectAnswer(breakStep));
  }

  // Guards against a caller that is not answered at its deadline, as a step before the answer throws.
  it('is answered at its deadline', async () => {
    test = await RequestUnderTest.open();
    const { caller } = await test.begin();
    Object.assign(test.runners.get(FIRST_RUNNER)?.backlog ?? {}, { recordUnanswered: fail });
    const thrown: Error[] = [];
    process.setUncaughtExceptionCaptureCallback((error) => thrown.push(error));
    await test.pass(DEADLINE_MILLISECONDS);
    process.setUncaughtExceptionCaptureCallback(null);
    expect(thrown.length).toEqual(1);
    expect(await statusLineInTime(caller)).toEqual('HTTP/1.1 502 Bad Gateway');
  });
});
