import { once } from 'node:events';
import { connect } from 'node:net';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { StoreStandIn } from './StoreStandIn.js';

describe('a stand-in of the store', () => {
  it('goes on when a caller leaves in the middle of a request', async () => {
    // Guards against a soak that ends with its daemons left behind because one of them was killed while it sent a write.
    const store = new StoreStandIn();
    const [host = '', port] = (await store.start()).split(':');
    const socket = connect({ host, port: Number(port) });
    await once(socket, 'connect');
    socket.write('POST /v1/kv-txn HTTP/1.1\r\nHost: store\r\nContent-Length: 100\r\n\r\n{"exp');
    while (!store.calls.has('POST /v1/kv-txn')) await new Promise(setImmediate);
    socket.resetAndDestroy();
    await once(socket, 'close');
    const answer = await fetch(`http://${host}:${port}/v1/kv-range?path_prefix=`);
    expect(answer.status).toEqual(200);
    store.stop();
  });
});
