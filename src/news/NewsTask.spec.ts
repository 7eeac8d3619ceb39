import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { once } from 'node:events';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { WarmPlaces } from '../runners/WarmPlaces.js';
import { ManualClock } from '../time/ManualClock.js';
import { PeerLoads } from './PeerLoads.js';
import { decodeNews, encodeNews } from './newsCodec.js';
import { NewsTask } from './NewsTask.js';

const HOST = '127.0.0.1';
const SECRET = 'secret';

describe(NewsTask.name, () => {
  let other: Socket;
  let task: NewsTask;
  let registry: MetricRegistry;
  let revision: number;
  let receivedRevisions: number[];
  let broadcastRevisions: number[];

  beforeEach(async () => {
    revision = 5;
    receivedRevisions = [];
    broadcastRevisions = [];
    other = createSocket('udp4');
    other.on('message', (datagram) => {
      broadcastRevisions.push(Number(decodeNews(datagram, SECRET)?.revision));
    });
    other.bind({ address: HOST, port: 0 });
    await once(other, 'listening');
    const clock = new ManualClock();
    registry = new MetricRegistry({ clock });
    task = new NewsTask({
      daemon: 'daemon-1',
      runners: new RunnerTable(),
      loads: new PeerLoads(),
      warmPlaces: new WarmPlaces(),
      // The clock stands still, so that no unchanged state is sent again.
      clock,
      registry,
      log: new MemoryLog(),
      changedAtRevision: () => revision,
      onNews: ({ revision: newer }) => receivedRevisions.push(Number(newer)),
      others: () => [other.address()].map(({ port }) => ({ host: HOST, port })),
      secret: () => SECRET,
    });
    await task.listen({ host: HOST, port: 0 });
  });

  afterEach(() => {
    task.close();
    other.close();
  });

  async function until(condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise(setImmediate);
  }

  it('counts the bytes sent, by kind of message', async () => {
    revision = 1;
    task.broadcastChange();
    await until(() => broadcastRevisions.length > 0);
    const sent = registry.snapshot().find(({ name }) => name.includes('datagram_bytes'));
    const news = sent?.series.find(({ labels }) => labels.kind === 'news');
    expect((news?.value ?? 0) > 0).toEqual(true);
  });

  it('broadcasts each change at once, and only once', async () => {
    task.broadcastChange();
    task.broadcastChange();
    revision = 6;
    task.broadcastChange();
    await until(() => broadcastRevisions.length >= 2);
    expect(broadcastRevisions).toEqual([5, 6]);
  });

  it('does not broadcast a change that another daemon has reported', async () => {
    // Guards against a change that makes every daemon send to every other one. It happens when a daemon that has
    // learnt of a change from a message broadcasts it again.
    const news = { daemon: 'daemon-2', life: 1, number: 1, revision: 9n };
    other.send(encodeNews(news, SECRET), task.port, HOST);
    await until(() => receivedRevisions.length > 0);
    expect(receivedRevisions).toEqual([9]);
    revision = 9;
    task.broadcastChange();
    revision = 10;
    task.broadcastChange();
    await until(() => broadcastRevisions.includes(10));
    expect(broadcastRevisions.includes(9)).toEqual(false);
  });
});
