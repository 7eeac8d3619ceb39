import { once } from 'node:events';
import { createServer, Socket } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { Worker } from 'node:worker_threads';

import { expect } from 'earl';

import { RunnerAgent } from './RunnerAgent.js';
import type { RunnerAttempt } from './RunnerAttempt.js';
import { attemptAt } from './testAttempt.js';

const HEAD = 'HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r-1\r\n';

/** More than the socket buffers of both ends hold. */
const UPLOAD_BYTES = 32_000_000;

/** How long after the end of a connection a runner resets it, in ms. */
const LATE_RESET_MILLISECONDS = 30;

/** How long this thread is kept from reading, so that data and reset arrive together; in ms. */
const BUSY_MILLISECONDS = 100;

/** After this time a runner closes connections, in ms; half of it is more than a timer's delay on a busy machine. */
const IDLE_MILLISECONDS = 200;

/**
 * Runner in its own thread: sends part of an answer and then, depending on the path, resets the connection or closes it
 * in order.
 */
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
  const accepted: Socket[] = [];
  const workers: Worker[] = [];

  afterEach(async () => {
    // A paused socket does not see that its peer has closed the connection.
    for (const socket of accepted.splice(0)) socket.destroy();
    for (const server of servers.splice(0)) server.close();
    await Promise.all(workers.splice(0).map((worker) => worker.terminate()));
  });

  function listen(take: (socket: Socket) => void): Promise<number> {
    const server = createServer((socket) => {
      accepted.push(socket);
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

  it('detects a reset that arrives together with data of an answer without a length', async () => {
    // Guards against a truncated answer with a success status. A runner answers without a length and dies in the middle,
    // and its data and the reset are both waiting when this daemon reads. The event loop then reports an ordinary end,
    // which the HTTP library treats as the end of the answer.
    const port = await startResettingRunner();
    const result = attemptAt({ port, target: '/reset' });
    setImmediate(() => setImmediate(() => setImmediate(keepThreadBusy)));
    expect((await result).outcome).toEqual('broken');
  });

  it('treats an orderly close of the connection as the end of an answer without a length', async () => {
    const port = await startResettingRunner();
    expect(await attemptAt({ port, target: '/whole' })).toEqual({
      outcome: 'ended',
      status: 200,
      body: 'half',
    });
  });

  // Guards against a part of an answer that is taken for the whole: its runner gave up while the upload was being written.
  it('takes no end of a connection for the end of an answer while the request is still being written', async () => {
    for (const kind of ['close', 'reset'] as const) {
      const port = await listen((socket) => {
        socket.once('data', () => {
          socket.pause();
          const close = () => (kind === 'reset' ? socket.resetAndDestroy() : socket.end());
          socket.write(`${HEAD}Connection: close\r\n\r\nhalf`, close);
        });
      });
      const body = Buffer.alloc(UPLOAD_BYTES);
      expect((await attemptAt({ port, body })).outcome).toEqual('broken');
    }
  });

  // Guards against the same with an upload that fits the buffers of the operating system, of which the runner reads little.
  it('takes no end of a connection for the end of an answer if a reset follows', async () => {
    for (const uploadBytes of [100_000, 200_000, 3_000_000]) {
      const port = await listen((socket) => {
        socket.once('data', () => {
          socket.pause();
          socket.write(`${HEAD}Connection: close\r\n\r\nhalf`, () => {
            socket.end();
            setTimeout(() => socket.resetAndDestroy(), LATE_RESET_MILLISECONDS);
          });
        });
      });
      expect((await attemptAt({ port, body: Buffer.alloc(uploadBytes) })).outcome).toEqual(
        'broken',
      );
    }
  });

  it('takes an orderly end behind a long upload for the end of an answer without a length', async () => {
    const body = Buffer.alloc(200_000);
    const port = await listen((socket) => {
      let received = 0;
      socket.on('data', (chunk) => {
        received += chunk.length;
        if (received > body.length) socket.end(`${HEAD}Connection: close\r\n\r\nwhole`);
      });
    });
    expect(await attemptAt({ port, body })).toEqual({
      outcome: 'ended',
      status: 200,
      body: 'whole',
    });
  });

  it('takes a whole answer with a length while the request is still being written', async () => {
    const port = await listen((socket) => {
      socket.once('data', () => {
        socket.pause();
        socket.write(`${HEAD}Connection: close\r\nContent-Length: 4\r\n\r\nfull`, () =>
          socket.end(),
        );
      });
    });
    const body = Buffer.alloc(UPLOAD_BYTES);
    expect(await attemptAt({ port, body })).toEqual({
      outcome: 'ended',
      status: 200,
      body: 'full',
    });
  });

  it('rejects the answer to another request', async () => {
    // Guards against sending one caller's answer to another. A runner sends a late second answer to the previous request,
    // which arrives when the answer to this request is expected; only the id differs.
    const port = await listen((socket) => {
      socket.once('data', () => socket.write(`${HEAD}Content-Length: 2\r\n\r\nno`));
    });
    expect((await attemptAt({ port, requestId: 'r-2' })).outcome).toEqual('stray_answer');
  });

  it('rejects a success without the runner’s signature', async () => {
    const port = await listen((socket) => {
      socket.once('data', () =>
        socket.write('HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nContent-Length: 2\r\n\r\nno'),
      );
    });
    expect((await attemptAt({ port })).outcome).toEqual('stray_answer');
  });

  it('reports that nothing was sent if the connection was refused', async () => {
    const port = await listen(() => undefined);
    servers.splice(0).forEach((server) => server.close());
    expect((await attemptAt({ port })).outcome).toEqual('not_connected');
  });

  it('does not blame the runner for a local error of this instance', async () => {
    // Guards against ejecting healthy runners one after the other. The daemon's instance has no free file descriptor or no
    // route for a moment, so each new connection fails at once; this was taken for a refusal by the runner's instance.
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

  for (const host of ['255.255.255.255', 'fe80::1%lo']) {
    it(`reports that nothing was sent if a connection to ${host} fails at once`, async () => {
      // Guards against a connection that was never opened and counts as broken, so that its request may have run.
      expect((await attemptAt({ host, port: 80 })).outcome).toEqual('connect_timeout');
    });
  }

  for (const [isPathLost, expected] of [
    [true, 'reset'],
    [false, 'closed'],
  ] as const) {
    // Guards against requests that were given up during a loss of the path and all run once it is back.
    it(`${expected === 'reset' ? 'resets' : 'closes'} the connection of a request that is given up, with the path ${isPathLost ? 'lost' : 'well'}`, async () => {
      let sent: RunnerAttempt | undefined;
      const ended = new Promise((done) => {
        void listen((socket) => {
          socket.once('error', () => done('reset'));
          socket.once('end', () => done('closed'));
          socket.once('data', () => sent?.cancel());
        }).then((port) => {
          const onAttempt = (attempt: RunnerAttempt) => {
            sent = attempt;
          };
          void attemptAt({ port, isPathLost, onAttempt });
        });
      });
      expect(await ended).toEqual(expected);
    });
  }

  it('closes an idle connection on which data arrives', async () => {
    // Guards against answers that belong to other requests. A runner sends data after a complete answer, while the
    // connection is idle; if the next request is sent on it, that data is read as its answer.
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

  it('closes idle connections sooner than a runner that has closed one', async () => {
    // Guards against a runner that closes connections after its answers, and so seems to start again and again.
    const answer = `${HEAD}Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok`;
    const sockets: Socket[] = [];
    const port = await listen((socket) => {
      sockets.push(socket);
      socket.on('data', () => {
        socket.write(answer);
        setTimeout(() => socket.end(), IDLE_MILLISECONDS);
      });
    });
    let lost = 0;
    const agent = new RunnerAgent({
      onLost: () => {
        lost += 1;
      },
    });
    for (let request = 0; request < 3; request += 1) {
      expect((await attemptAt({ port, agent })).outcome).toEqual('ended');
      await once(sockets[request]!, 'close');
    }
    expect(lost).toEqual(1);
    agent.destroy();
  });
});
