import { execFile } from 'node:child_process';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { describe, it } from 'node:test';
import { promisify } from 'node:util';

import { expect } from 'earl';

import { freePort } from './freePort.js';

const PROCESSES = 6;
const ROUNDS = 12;
const PORTS_A_ROUND = 40;

/** Few ports, so that the processes compete for the same ones. */
const LOWEST = 20_000;
const END = 23_300;

describe(freePort.name, () => {
  it('gives a port to one process only, however many ask at the same time', async () => {
    // Guards against a daemon that sometimes fails at its start with an address in use: between the check of a free port and
    // its use, another process got the same port or opened it for its own check.
    const program = ['--import', 'tsx', 'standIns/site/openPorts.ts'];
    const words = [ROUNDS, PORTS_A_ROUND, LOWEST, END].map(String);
    const runs = Array.from({ length: PROCESSES }, () =>
      promisify(execFile)(process.execPath, [...program, ...words]),
    );
    const failures = (await Promise.all(runs)).map(({ stdout }) => stdout.trim());
    expect(failures).toEqual(Array.from({ length: PROCESSES }, () => '0'));
  });

  it('gives no port on which another process receives datagrams', async () => {
    // Guards against a daemon that cannot start beside one of another program, which uses the port for datagrams only.
    const [lowest, end] = [24_000, 24_004];
    const taken = Array.from({ length: end - lowest - 1 }, (_, index) => lowest + index);
    const sockets = taken.map((port) => createSocket('udp4').bind(port, '127.0.0.1'));
    await Promise.all(sockets.map((socket) => once(socket, 'listening')));
    const port = await freePort({ lowest, end });
    for (const socket of sockets) socket.close();
    expect(port).toEqual(end - 1);
  });
});
