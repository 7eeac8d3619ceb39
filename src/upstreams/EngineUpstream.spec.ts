import { after, afterEach, before, describe, it } from 'node:test';

import { expect } from 'earl';

import { expectedAnswer } from '../../standIns/runners/completionRequest.js';
import { EngineStandIn } from '../../standIns/runners/EngineStandIn.js';
import { EngineUpstream } from './EngineUpstream.js';
import { createAttempt, outcomeOf, readAll, textOf, TOKENS_PER_ATTEMPT } from './testAttempts.js';

async function* brokenCache(): AsyncGenerator<Uint8Array, void, undefined> {
  yield new Uint8Array(50);
  throw new Error('the source was cut');
}

describe(EngineUpstream.name, () => {
  const engine = new EngineStandIn({ stepMilliseconds: 1 });
  let engineUpstream: EngineUpstream;

  before(async () => {
    await engine.listen();
    engineUpstream = new EngineUpstream({ address: engine.address() });
  });

  afterEach(() => engine.setFaults({}));

  after(async () => {
    engineUpstream.close();
    await engine.close();
  });

  it('continues a cut stream after the last chunk, whole and once executed', async () => {
    const attempt = createAttempt('stream');
    engine.setFaults({ cutAfterChunks: 2, attempts: 1 });
    const first = await readAll(engineUpstream.run(attempt, new AbortController().signal));
    engine.setFaults({});
    const never = new AbortController().signal;
    const rest = await readAll(engineUpstream.resume(attempt.attemptId, 2, never));
    expect(outcomeOf(rest)).toEqual('completed');
    expect(textOf([...first, ...rest], 'stream')).toEqual(
      expectedAnswer(attempt.body, TOKENS_PER_ATTEMPT),
    );
    expect(engine.executionsOf(attempt.attemptId)).toEqual(1);
    const unknown = await readAll(engineUpstream.resume('never seen', 0, never));
    expect(outcomeOf(unknown)).toEqual('failed:unknown_attempt');
  });

  it('cancels at the runner what is aborted, and only leaves what is not read to its end', async () => {
    engine.setFaults({ slowMilliseconds: 5 });
    const aborted = createAttempt('stream');
    const abandoned = createAttempt('stream');
    const controller = new AbortController();
    for await (const event of engineUpstream.run(aborted, controller.signal)) {
      if (event.kind === 'chunk') controller.abort();
    }
    const stream = engineUpstream.run(abandoned, new AbortController().signal);
    await stream.next();
    await stream.return();
    engine.setFaults({});
    const never = new AbortController().signal;
    const rest = await readAll(engineUpstream.resume(abandoned.attemptId, 0, never));
    expect(textOf(rest, 'stream')).toEqual(expectedAnswer(abandoned.body, TOKENS_PER_ATTEMPT));
    const ended = await readAll(engineUpstream.resume(aborted.attemptId, 0, never));
    expect(outcomeOf(ended)).toEqual('failed:cut');
    const cancelled = engine.cancelledAttempts();
    expect(cancelled.includes(aborted.attemptId)).toEqual(true);
    expect(cancelled.includes(abandoned.attemptId)).toEqual(false);
  });

  it('shows gaps in cache events, checks fencing tokens and moves KV cache', async () => {
    const lossyEngine = new EngineStandIn({ stepMilliseconds: 1, cacheEventLoss: 0.5, seed: 3 });
    await lossyEngine.listen();
    const upstream = new EngineUpstream({ address: lossyEngine.address() });
    for (let index = 0; index < 12; index += 1) lossyEngine.cache.store(`chat ${index}`, 100);
    const numbers = (await upstream.readCacheEvents(0)).map(({ number }) => number);
    expect(numbers.length > 0 && numbers.length < 12).toEqual(true);
    const role = (name: 'prefill' | 'decode') => ({ kind: 'change_role', role: name }) as const;
    expect(await upstream.order(role('prefill'), 7)).toEqual({ kind: 'accepted' });
    expect(await upstream.order(role('decode'), 6)).toEqual({
      kind: 'refused_fencing',
      highestFencingToken: 7,
    });
    expect((await upstream.readState()).role).toEqual('prefill');
    const cache = await upstream.exportCache('chat 3');
    expect(await upstream.importCache('chat 77', cache!)).toEqual(100);
    await expect(upstream.importCache('chat 78', brokenCache())).toBeRejected();
    expect(lossyEngine.cache.peek('chat 78')).toEqual(0);
    expect(await upstream.exportCache('never seen')).toEqual(undefined);
    upstream.close();
    await lossyEngine.close();
  });
});
