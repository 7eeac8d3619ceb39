import { Agent, createServer } from 'node:http';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { BodyBudget } from '../callers/BodyBudget.js';
import { CallerError } from '../callers/CallerError.js';
import { RequestReader } from '../callers/RequestReader.js';
import { fetchRunnerLife } from '../forwarding/fetchRunnerLife.js';
import { TestProtocol } from '../forwarding/testProtocol.js';
import { Runner } from '../runners/Runner.js';
import { requestPeer } from '../sync/requestPeer.js';
import { listen } from './listen.js';
import { parseAddress } from './parseAddress.js';
import {
  ALLOWED_MEMORY_BYTES,
  memoryAfterSmallChunks,
  SmallChunksServer,
} from './testSmallChunks.js';

const LONG_MILLISECONDS = 10_000;

/** Largest bodies that the readers accept, in bytes. */
const MAXIMUM_BYTES = 1_048_576;

/** Sends a request to the server, and reads its answer in the way of one part of the program. */
type Reader = (address: string) => void;

const READERS: Readonly<Record<string, Reader>> = {
  'the report of a runner': (address) => {
    const entry = { id: 'runner-1', life: 'runner-1@1', service: 'chat', dataCentre: 'here' };
    const runner = new Runner({ ...entry, ...parseAddress(address), state: 'ready' });
    fetchRunnerLife({ runner, protocol: new TestProtocol() }, () => undefined);
  },
  'an answer of another daemon': (address) => {
    const silenceMilliseconds = LONG_MILLISECONDS;
    requestPeer({ address, path: '/', silenceMilliseconds, agent: new Agent() }).catch(
      () => undefined,
    );
  },
};

describe('A body in chunks of one byte', () => {
  const open: { close: () => void }[] = [];

  afterEach(() => {
    for (const one of open.splice(0)) one.close();
  });

  for (const [name, read] of Object.entries(READERS)) {
    // Guards against a process that runs out of memory, as each chunk is kept as an object.
    it(`costs its bytes: ${name}`, async () => {
      const server = new SmallChunksServer();
      open.push(server);
      read(await server.listen());
      expect(await server.memory).toBeLessThan(ALLOWED_MEMORY_BYTES);
    });
  }

  // Guards against callers whose small chunks pass the limits of bodies, which count bytes alone.
  it('costs its bytes: a request of a caller', async () => {
    const error = () => new CallerError({ code: 'invalid_request', message: 'late' });
    const server = createServer((request, response) => {
      const reader = new RequestReader({
        ...{ request, response, expectsContinue: false, maximumBytes: MAXIMUM_BYTES },
        budget: new BodyBudget({ maximumBytes: MAXIMUM_BYTES }),
        ...{ overloadRetryAfterMilliseconds: 1, lingerMilliseconds: 1 },
      });
      reader.read({ milliseconds: LONG_MILLISECONDS, error }).catch(() => undefined);
    });
    const { port } = await listen(server, { host: '127.0.0.1', port: 0 });
    const socket = connect({ host: '127.0.0.1', port });
    open.push(server, { close: () => socket.destroy() });
    socket.on('error', () => undefined);
    socket.write('POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
    expect(await memoryAfterSmallChunks(socket)).toBeLessThan(ALLOWED_MEMORY_BYTES);
  });
});
