import { createServer, Socket } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { Worker } from 'node:worker_threads';

import { expect } from 'earl';

import { RunnerAgent } from './RunnerAgent.js';
import { attemptAt } from './testAttempt.js';

const HEAD = 'HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r-1\r\n';

/** How long this thread is kept from reading, so that bytes and reset wait together; in ms. */
const BUSY_MILLISECONDS = 100;

/** A runner in a thread of its own: it sends half an answer and resets the connection at once. */
const RESETTING_RUNNER = `
  const { createServer } = require('node:net');
  const { parentPort } = require('node:worker_threads');
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', (data) => {
      const head = ${JSON.stringify(HEAD)} + 'Connection: close\\r\\n\\r\\nhalf';
      const resets = String(data).startsWith('GET /reset');
      socket.write(head, () => (resets ? socket.resetAndDestroy() : socket.end()));
    });
  });
  server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

describe('RunnerAttempt', () => {
  const servers: Server[] = [];
  const workers: Worker[] = [];

  afterEach(async () => {
    for (const server of servers.splice(0)) server.close();
    await Promise.all(workers.splice(0).map((worker) => worker.terminate()));
  });

  function listen(take: (socket: Socket) => void): Promise<number> {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      take(socket);
    });
    servers.push(server);
    return new Promise((done) => {
      server.listen(0, '127.0.0.1', () => done((server.address() as AddressInfo).port));
    });
  }

  function startResettingRunner(): Promise<number> {
    const worker = new Worker(RESETTING_RUNNER, { eval: true });
    workers.push(worker);
    return new Promise((done) => {
      worker.once('message', done);
    });
  }

  function keepThreadBusy(): void {
    const end = performance.now() + BUSY_MILLISECONDS;
    while (performance.now() < end);
  }

  it('does not take a reset that comes with bytes for the end of an answer without a length', async () => {
    // Symptom: a caller gets half an answer under success. Sequence: a runner answers without a length,
    // dies in the middle, and its bytes and the reset wait together when this daemon reads. Cause: the event
    // loop then reports an ordinary end, and the HTTP library takes that for the end of the answer.
    const port = await startResettingRunner();
    const result = attemptAt({ port, target: '/reset' });
    setImmediate(() => setImmediate(() => setImmediate(keepThreadBusy)));
    expect((await result).outcome).toEqual('broken');
  });

  it('takes the end of the connection for the end of an answer without a length', async () => {
    const port = await startResettingRunner();
    expect(await attemptAt({ port, target: '/whole' })).toEqual({
      outcome: 'ended',
      status: 200,
      body: 'half',
    });
  });

  it('does not hand out the answer to another request', async () => {
    // Symptom: a caller gets what belongs to another one. Sequence: a runner sends a second, late answer to
    // the request before; it is there when this request's answer is expected. Cause: only the id tells.
    const port = await listen((socket) => {
      socket.once('data', () => socket.write(`${HEAD}Content-Length: 2\r\n\r\nno`));
    });
    expect((await attemptAt({ port, requestId: 'r-2' })).outcome).toEqual('stray_answer');
  });

  it('does not pass a success without the runner’s signature', async () => {
    const port = await listen((socket) => {
      socket.once('data', () =>
        socket.write('HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 2\r\n\r\nno'),
      );
    });
    expect((await attemptAt({ port })).outcome).toEqual('stray_answer');
  });

  it('knows that nothing was sent where no connection could be made', async () => {
    const port = await listen(() => undefined);
    servers.splice(0).forEach((server) => server.close());
    expect((await attemptAt({ port })).outcome).toEqual('not_connected');
  });

  it('does not blame the runner for an error of its own instance', async () => {
    // Symptom: a daemon leaves sound runners alone, one after the other. Sequence: its instance has no descriptor or no
    // route left for a moment, so that each new connection fails at once. Cause: such an error was taken for the
    // refusal of the runner's instance.
    const agent = new RunnerAgent();
    agent.createConnection = () => {
      const socket = new Socket();
      Object.defineProperty(socket, 'connecting', { value: true });
      const error = Object.assign(new Error('too many open files'), { code: 'EMFILE' });
      setImmediate(() => socket.emit('error', error));
      return socket;
    };
    expect((await attemptAt({ port: 1, agent })).outcome).toEqual('connect_timeout');
  });

  it('closes an idle connection on which something arrives', async () => {
    // Symptom: answers belong to other requests. Sequence: a runner sends bytes after a complete answer,
    // while the connection is idle; the next request is sent on it. Cause: the bytes wait where the next
    // answer is expected.
    const sockets: Socket[] = [];
    const answer = `${HEAD}Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok`;
    const port = await listen((socket) => {
      sockets.push(socket);
      socket.on('data', () => socket.write(answer));
    });
    const agent = new RunnerAgent();
    expect((await attemptAt({ port, agent })).outcome).toEqual('ended');
    const closed = new Promise((done) => {
      sockets[0]?.once('close', done);
    });
    sockets[0]?.write(answer);
    await closed;
    expect((await attemptAt({ port, agent })).outcome).toEqual('ended');
    expect(sockets.length).toEqual(2);
    agent.destroy();
  });
});
