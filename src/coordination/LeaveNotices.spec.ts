import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { HostAndPort } from '../http/parseAddress.js';
import { parseAddress } from '../http/parseAddress.js';
import { SilentLog } from '../logging/Log.js';
import type { MessageHandler } from '../news/FleetSocket.js';
import { seededRandom } from '../random/seededRandom.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { broadcastersOf, monitorsOf } from './daemonRoles.js';
import { LeaveNotices } from './LeaveNotices.js';

const LIFE = 'runner-1@1';

/** Rounds of message delivery, after which nothing is left to send. */
const ROUNDS = 12;

function daemonOf(index: number): DaemonEntry {
  const address = `10.1.${Math.floor(index / 250)}.${1 + (index % 250)}:7000`;
  const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
  return { name: `daemon-${index}`, dataCentre: 'here', ...addresses };
}

/** Notifies one daemon that a runner leaves, and returns how many daemons know of it in the end. */
function countInformed(count: number, loss: number): number {
  const random = seededRandom(count);
  const listed = Array.from({ length: count }, (_, index) => daemonOf(index));
  const watchers = monitorsOf(listed);
  const handlers = new Map<string, MessageHandler>();
  let calls: (() => void)[] = [];
  const send = (message: Uint8Array, recipients: readonly HostAndPort[]) => {
    for (const { host, port } of recipients) {
      const isLost = random() < loss;
      if (!isLost) calls.push(() => handlers.get(`${host}:${port}`)?.(message));
    }
  };
  const daemons = listed.map(({ name, newsAddress }) => {
    const others = (entries: readonly DaemonEntry[]) =>
      entries
        .filter((entry) => entry.name !== name)
        .map((entry) => parseAddress(entry.newsAddress));
    const isBroadcaster = broadcastersOf(watchers).some((teller) => teller.name === name);
    const runners = new RunnerTable();
    const leaving = new LeaveNotices({
      daemon: name,
      runners,
      connections: { release: () => undefined },
      socket: {
        handle: (_kind, handler) => handlers.set(newsAddress, handler),
        send: (_kind, message, recipients) => send(message, recipients),
      },
      log: new SilentLog(),
      reportRecipients: () => others(watchers.length > 0 ? watchers : listed),
      broadcastRecipients: () => (isBroadcaster ? others(listed) : []),
      later: (call) => calls.push(call),
    });
    return { runners, leaving };
  });
  daemons[count - 1]?.leaving.recordFromRunner(LIFE);
  for (let round = 0; round < ROUNDS; round += 1) {
    const due = calls;
    calls = [];
    for (const call of due) call();
  }
  return daemons.filter(({ runners }) => !runners.markLeaving(LIFE)).length;
}

describe(LeaveNotices.name, () => {
  for (const count of [2, 9, 20, 66, 195, 390]) {
    it(`forwards a notice from one daemon to all others in spite of message loss: ${count} daemons`, () => {
      expect(countInformed(count, 0.05)).toEqual(count);
    });
  }
});
