import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';

import { expect } from 'earl';

import { isWrite } from './StoreFaults.js';
import { StoreStandIn } from './StoreStandIn.js';

const PATIENCE_MILLISECONDS = 2_000;

const KEY = 'fleet/versions';

describe(StoreStandIn.name, () => {
  let store: StoreStandIn;
  let address: string;

  beforeEach(async () => {
    store = new StoreStandIn();
    address = await store.start();
  });

  afterEach(() => store.stop());

  /** @returns The status of the answer; 0 if there is none. */
  async function statusOf(path: string, init: RequestInit = {}): Promise<number> {
    const signal = AbortSignal.timeout(PATIENCE_MILLISECONDS);
    const answer = await fetch(`http://${address}${path}`, { ...init, signal }).catch(() => null);
    return answer?.status ?? 0;
  }

  function write(): Promise<number> {
    const puts = [{ key: KEY, value: 'e30=' }];
    const body = JSON.stringify({ expected_revision: [], puts, deletes: [] });
    return statusOf('/v1/kv-txn', { method: 'POST', body });
  }

  it('answers reads and watches while it refuses writes', async () => {
    // Guards against a soak whose refused writes are a store that is down.
    const watched = statusOf('/v1/kv-watch?path_prefix=op/&after=1&wait_ms=300');
    while (store.calls.size === 0) await wait(1);
    const over = store.beginFault({ fault: 'busy', concerns: isWrite });
    expect(await write()).toEqual(503);
    expect(await statusOf('/v1/kv-range?path_prefix=op/')).toEqual(200);
    expect(await watched).toEqual(200);
    over();
    expect(await write()).toEqual(200);
  });

  it('executes no write that it loses', async () => {
    // Guards against a soak whose lost writes are made.
    store.beginFault({ fault: 'silent', concerns: isWrite });
    expect(await write()).toEqual(0);
    expect(store.keys(KEY)).toEqual([]);
  });

  it('goes on with a fault when another one ends', async () => {
    // Guards against a series of faults that ends with the first of them.
    store.beginFault({ fault: 'busy', concerns: isWrite });
    const over = store.beginFault({ fault: 'silent', concerns: isWrite });
    over();
    store.faultFor({ fault: 'none' });
    expect(await write()).toEqual(503);
  });
});
