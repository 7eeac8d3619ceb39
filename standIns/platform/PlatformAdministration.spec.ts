/**
 * Faults that are switched on over HTTP reach the calls of the published interface.
 */
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { EtcdPlatformStore } from '../../src/store/EtcdPlatformStore.js';
import type { PlatformStoreError } from '../../src/store/PlatformStore.js';
import { PlatformAdministration } from './PlatformAdministration.js';
import { PlatformStandIn } from './PlatformStandIn.js';

const closing: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const close of closing.splice(0).reverse()) await close();
});

describe('the administration of the platform stand-in', () => {
  // Symptom of a failure here: a daemon dies when the platform goes down.
  // Sequence: the platform ends an idle connection; a call comes before the error of that connection.
  // Cause: a session's error that nobody listens for any more, see ErrorTolerantSessionManager.
  it('switches an outage on and off, plans faults, counts, and refuses what it does not know', async () => {
    const standIn = new PlatformStandIn();
    const administration = new PlatformAdministration({ standIn });
    const store = new EtcdPlatformStore({ addresses: [await standIn.start()] });
    const base = await administration.start();
    closing.push(
      () => standIn.stop(),
      () => administration.stop(),
      () => store.close(),
    );
    const ask = async (method: string, path: string, body?: unknown): Promise<Response> =>
      fetch(base + path, { method, ...(body !== undefined && { body: JSON.stringify(body) }) });
    const failure = (): Promise<string> =>
      store.get('k').then(
        () => 'none',
        (error: PlatformStoreError) => error.failure,
      );

    expect(await failure()).toEqual('none');
    await ask('PUT', '/faults', { outage: true });
    expect(await failure()).toEqual('unavailable');
    await ask('PUT', '/faults', { outage: false });
    expect(await failure()).toEqual('none');
    await ask('POST', '/faults/plan', { operation: 'get', fault: 'refuse' });
    expect(await failure()).toEqual('unavailable');
    expect(await failure()).toEqual('none');

    const state = (await (await ask('GET', '/state')).json()) as {
      counts: { totals: { get: number } };
    };
    expect(state.counts.totals.get).toEqual(4);
    expect((await ask('PUT', '/faults', { outrage: true })).status).toEqual(400);
    expect((await ask('GET', '/else')).status).toEqual(404);
  });
});
