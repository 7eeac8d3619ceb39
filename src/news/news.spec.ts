import { describe, it } from 'node:test';

import { create } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { expect } from 'earl';

import { DaemonNewsSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { DaemonNews } from '../generated/baobabdock/v1/news_pb.js';
import { PeerLoads } from './PeerLoads.js';
import { decodeNews, encodeNews } from './newsCodec.js';

/** Number of requests by runner. */
type Counts = Readonly<Record<string, number>>;

function newsOf({
  counts = { r: 2 },
  ...changes
}: MessageInitShape<typeof DaemonNewsSchema> & { counts?: Counts } = {}): DaemonNews {
  const loads = Object.entries(counts).map(([runner, requests]) => ({ runner, requests }));
  return create(DaemonNewsSchema, { daemon: 'd', life: 1, number: 1, loads, ...changes });
}

describe('messages between daemons', () => {
  it('are accepted only with a valid authentication code', () => {
    const datagram = encodeNews(newsOf(), 'secret');
    expect(decodeNews(datagram, 'secret')).toEqual(newsOf());
    expect(decodeNews(datagram, 'other')).toEqual(undefined);
    const forged = Buffer.from(datagram);
    forged[forged.length - 2] = 0x20;
    expect(decodeNews(forged, 'secret')).toEqual(undefined);
    expect(() => decodeNews(Buffer.alloc(4), 'secret')).toThrow();
  });

  it('add up the requests of all daemons, and older messages do not replace newer ones', () => {
    const loads = new PeerLoads();
    loads.take(newsOf({ number: 5, counts: { r: 3 } }), 0);
    loads.take(newsOf({ number: 4, counts: { r: 9 } }), 1);
    loads.take(newsOf({ daemon: 'e', counts: { r: 1, s: 1 } }), 2);
    expect([loads.of('r'), loads.of('s'), loads.of('t')]).toEqual([4, 1, 0]);
    loads.take(newsOf({ life: 2, number: 1, counts: {} }), 3);
    expect(loads.of('r')).toEqual(1);
  });

  it('are accepted from a daemon that has restarted, whatever its clock says', () => {
    // Guards against a runner that appears more or less loaded than it is for seconds. It happens when the time of
    // day is set back and a daemon restarts, if its incarnations are ordered by time: the new one looks older.
    const loads = new PeerLoads();
    loads.take(newsOf({ life: 9, number: 50, counts: { r: 3 } }), 0);
    loads.take(newsOf({ life: 4, number: 1, counts: { r: 1 } }), 1);
    expect(loads.of('r')).toEqual(1);
  });

  it('expire when a daemon sends no more', () => {
    // Guards against runners that appear full for ever. It happens when a daemon dies with requests in flight, if its
    // last message never expires.
    const loads = new PeerLoads();
    loads.take(newsOf(), 0);
    loads.expire(2_501);
    expect(loads.of('r')).toEqual(0);
  });
});
