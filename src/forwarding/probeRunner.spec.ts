import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { expect } from 'earl';

import { Runner } from '../runners/Runner.js';
import { probeRunner } from './probeRunner.js';
import type { ProbeResult } from './probeRunner.js';

const QUIET_STREAMS = 20;

describe(probeRunner.name, () => {
  const resources: { destroy?: () => unknown; close?: () => unknown }[] = [];

  afterEach(() => {
    for (const one of resources.splice(0)) {
      one.destroy?.();
      one.close?.();
    }
  });

  it('shares one connection among simultaneous probes, and opens a new one for a later probe', async () => {
    // Guards against 160 connections to one runner in two seconds. A daemon's link is saturated, so twenty streams of the
    // runner stall, and each probed it although a probe was already in progress.
    const ports: (number | undefined)[] = [];
    const server = createServer((socket) => {
      ports.push(socket.remotePort);
      socket.on('error', () => undefined);
    });
    resources.push({ close: () => server.close() });
    await new Promise<void>((done) => {
      server.listen(0, '127.0.0.1', done);
    });
    const { port } = server.address() as AddressInfo;
    const entry = {
      id: 'a',
      life: 'a',
      service: 'chat',
      dataCentre: 'here',
      state: 'ready',
    } as const;
    const runner = new Runner({ ...entry, host: '127.0.0.1', port });
    const ask = () =>
      new Promise<ProbeResult>((done) => {
        probeRunner(runner, done);
      });
    const results = await Promise.all(Array.from({ length: QUIET_STREAMS }, ask));
    expect([...new Set(results)]).toEqual(['accepted']);
    expect(await ask()).toEqual('accepted');
    // Connections are accepted in order: once this one has been accepted, all earlier ones have been.
    const last = connect(port, '127.0.0.1');
    resources.push(last);
    await once(last, 'connect');
    while (!ports.includes(last.localPort)) await nextTurn();
    expect(ports.length).toEqual(3);
  });
});
