import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { Runner } from '../runners/Runner.js';
import { ManualClock } from '../time/ManualClock.js';
import { forwardingLogEvents } from './forwardingFeature.js';
import { createForwardingMetrics } from './ForwardingMetrics.js';
import { LinkCheck } from './LinkCheck.js';
import { HangingPort } from './testHangingPort.js';

describe('LinkCheck', () => {
  let hanging: HangingPort;
  let server: Server;
  let openPort: number;
  let log: MemoryLog;
  let runners: Runner[];
  let link: LinkCheck;

  beforeEach(async () => {
    hanging = await HangingPort.open();
    server = createServer((socket) => socket.on('error', () => undefined));
    await new Promise<void>((done) => {
      server.listen(0, '127.0.0.1', done);
    });
    openPort = (server.address() as AddressInfo).port;
    log = new MemoryLog();
    runners = [];
    const clock = new ManualClock({ monotonicMilliseconds: 100 });
    const metrics = createForwardingMetrics(new MetricRegistry({ clock }));
    link = new LinkCheck({ runners: () => runners, clock, log, metrics });
  });

  afterEach(async () => {
    server.close();
    await hanging.close();
  });

  function addRunner(id: string, port: number, lastHeardAt = 0): Runner {
    const entry = { id, life: id, service: 'chat', dataCentre: 'here', state: 'ready' } as const;
    const runner = new Runner({ ...entry, host: '127.0.0.1', port });
    runner.lastHeardAt = lastHeardAt;
    runners.push(runner);
    return runner;
  }

  function check(suspect: Runner): Promise<boolean> {
    return new Promise((done) => {
      link.ask(suspect, done);
    });
  }

  it('knows nothing where there is no other runner', async () => {
    expect(await check(addRunner('alone', hanging.port))).toEqual(false);
  });

  it('takes the link for sound when one of the runners heard from last accepts', async () => {
    const suspect = addRunner('suspect', hanging.port);
    addRunner('dark', hanging.port, 3);
    addRunner('there', openPort, 2);
    expect(await check(suspect)).toEqual(true);
    expect(log.lines).toEqual([]);
  });

  it('says once that the link is suspected, and once that it is sound again', async () => {
    const suspect = addRunner('suspect', hanging.port);
    addRunner('dark', hanging.port);
    expect([await check(suspect), await check(suspect)]).toEqual([false, false]);
    expect(log.of(forwardingLogEvents.linkSuspected).length).toEqual(1);
    addRunner('there', openPort, 1);
    expect([await check(suspect), await check(suspect)]).toEqual([true, true]);
    expect(log.of(forwardingLogEvents.linkSound)).toEqual([{ witness: 'there', milliseconds: 0 }]);
  });

  it('finds a far runner in the end, where those that were heard from last are all dark', async () => {
    // Symptom: all new requests of a daemon are refused, seconds long, though a data centre away runners are sound.
    // Sequence: a rack is gone; the runners heard from last are its own. Cause: they were asked about each other again
    // and again, so that none of them was ever found dark, and the far ones were never heard from.
    const suspect = addRunner('suspect', hanging.port, 9);
    for (const id of ['near-1', 'near-2', 'near-3']) addRunner(id, hanging.port, 8);
    addRunner('far', openPort, 1);
    expect([await check(suspect), await check(suspect)]).toEqual([false, true]);
  });

  it('asks a runner again before it is taken for dark', async () => {
    // Symptom: sound runners are given up just when a full link is free again. Sequence: a runner is asked while the
    // link is full, the witness afterwards. Cause: the two were compared although the link was another one by then.
    const suspect = addRunner('suspect', openPort);
    addRunner('there', openPort);
    expect(await check(suspect)).toEqual(false);
  });

  it('does not let a runner that accepts bear witness against itself', async () => {
    // Symptom: a runner that accepts connections is taken for dark. Sequence: its new connection waits 90 ms; a check
    // that began for another runner asks it too, and it accepts. Cause: its own word counted as that of another one.
    const there = addRunner('there', openPort);
    const suspect = addRunner('suspect', hanging.port);
    expect(await Promise.all([check(suspect), check(there)])).toEqual([true, false]);
  });
});
