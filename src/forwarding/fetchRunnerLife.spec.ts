import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { listen } from '../http/listen.js';
import { Runner } from '../runners/Runner.js';
import { fetchRunnerLife } from './fetchRunnerLife.js';
import { TestProtocol } from './testProtocol.js';

const LONGEST_MILLISECONDS = 1_000;

const TOO_MANY_BYTES = 1_000_000;

describe('the report of a runner', () => {
  let server: Server;

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  async function ask(listener: RequestListener): Promise<string | undefined> {
    server = createServer(listener);
    const { address: host, port } = await listen(server, { host: '127.0.0.1', port: 0 });
    const entry = { id: 'runner-1', life: 'runner-1@1', service: 'chat', dataCentre: 'here' };
    const runner = new Runner({ ...entry, host, port, state: 'ready' });
    const options = { runner, protocol: new TestProtocol() };
    return new Promise((done) => {
      fetchRunnerLife(options, done);
    });
  }

  it('tells its life, and is requested from this runner only', async () => {
    // Guards against the report of another runner at the same address.
    const life = await ask((request, response) => {
      response.end(`${request.headers.runner} at ${request.url}`);
    });
    expect(life).toEqual('runner-1 at /report');
  });

  it('is no evidence if it comes from another runner, is an error, is too long or breaks off', async () => {
    // Guards against a conclusion from an answer that says nothing of this runner.
    const listeners: RequestListener[] = [
      (_, response) => response.setHeader('speaker', 'runner-2').end('runner-1@2'),
      (_, response) => response.writeHead(404).end('runner-1@2'),
      (_, response) => response.end('x'.repeat(TOO_MANY_BYTES)),
      (_, response) => response.write('runner-1@2', () => response.destroy()),
    ];
    for (const listener of listeners) {
      expect(await ask(listener)).toEqual(undefined);
      server.closeAllConnections();
      server.close();
    }
  });

  it('is given up in time if the runner does not answer', async () => {
    // Guards against one question that prevents all further ones.
    const askedAt = performance.now();
    expect(await ask(() => undefined)).toEqual(undefined);
    expect(performance.now() - askedAt).toBeLessThan(LONGEST_MILLISECONDS);
  });
});
