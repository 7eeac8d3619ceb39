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

  function askLink(suspect: Runner): Promise<boolean> {
    return new Promise((done) => {
      link.ask(suspect, done);
    });
  }

  it('blames no runner if there is no other one to compare with', async () => {
    expect(await askLink(addRunner('alone', hanging.port))).toEqual(false);
  });

  it('considers the link healthy when one of the runners that sent data last accepts', async () => {
    const suspect = addRunner('suspect', hanging.port);
    addRunner('dark', hanging.port, 3);
    addRunner('there', openPort, 2);
    expect(await askLink(suspect)).toEqual(true);
    expect(log.lines).toEqual([]);
  });

  it('logs once that the link is suspected, and once that it has recovered', async () => {
    const suspect = addRunner('suspect', hanging.port);
    addRunner('dark', hanging.port);
    expect([await askLink(suspect), await askLink(suspect)]).toEqual([false, false]);
    expect(log.fieldsOf(forwardingLogEvents.linkSuspected).length).toEqual(1);
    addRunner('there', openPort, 1);
    expect([await askLink(suspect), await askLink(suspect)]).toEqual([true, true]);
    expect(log.fieldsOf(forwardingLogEvents.linkSound)).toEqual([
      { witness: 'there', milliseconds: 0 },
    ]);
  });

  it('eventually probes a distant runner if all that sent data last are unresponsive', async () => {
    // Guards against refusing all new requests of a daemon for seconds although runners in another data centre are healthy.
    // A rack fails, and the runners that sent data last are all in it. They were used as references for each other again
    // and again, so none of them was ever found unresponsive, and distant runners were never probed.
    const suspect = addRunner('suspect', hanging.port, 9);
    for (const id of ['near-1', 'near-2', 'near-3']) addRunner(id, hanging.port, 8);
    addRunner('far', openPort, 1);
    expect([await askLink(suspect), await askLink(suspect)]).toEqual([false, true]);
  });

  it('probes a runner again before it is considered unresponsive', async () => {
    // Guards against giving up healthy runners just when a saturated link recovers. A runner is probed while the link is
    // saturated, and the reference runner afterwards, so the two results are not comparable.
    const suspect = addRunner('suspect', openPort);
    addRunner('there', openPort);
    expect(await askLink(suspect)).toEqual(false);
  });

  it('does not use a runner that accepts as a reference against itself', async () => {
    // Guards against considering a runner unresponsive although it accepts connections. A new connection to it hangs for
    // 90 ms; a check that began for another runner probes it as a reference, and it accepts. Its own result was counted as
    // that of another runner.
    const there = addRunner('there', openPort);
    const suspect = addRunner('suspect', hanging.port);
    expect(await Promise.all([askLink(suspect), askLink(there)])).toEqual([true, false]);
  });
});
