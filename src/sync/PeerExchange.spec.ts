import { createServer } from 'node:http';
import { gzipSync } from 'node:zlib';
import { describe, it, mock } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { listen } from '../http/listen.js';
import type { Log } from '../logging/Log.js';
import { SystemClock } from '../time/SystemClock.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import { PeerCatchUp } from './PeerCatchUp.js';
import { PeerExchange } from './PeerExchange.js';
import { syncLogEvents } from './syncFeature.js';
import { createTestKnowledge } from './testKnowledge.js';

/** Delay of the first byte, in ms: longer than the timeout of other requests, shorter than that of a configuration. */
const FIRST_BYTE_DELAY_MILLISECONDS = 500;

/** Starts to ask other daemons all the time. */
function startCatchUp(peers: PeerExchange, knowledge: FleetKnowledge, log: Log): PeerCatchUp {
  const catchUp = new PeerCatchUp({
    knowledge,
    clock: new SystemClock(),
    log,
    addresses: () => peers.addresses(),
    fetchKnowledge: (address, onResponse) => peers.fetchKnowledge(address, onResponse),
    isStoreUnresponsive: () => true,
    pollMilliseconds: 1,
  });
  catchUp.start();
  return catchUp;
}

describe(PeerExchange.name, () => {
  it('waits for a configuration whose sender serves other daemons first', async () => {
    // Guards against daemons on links of 10 Mbit/s that read a large configuration from the store, where it is four times
    // as large, instead of from another daemon. Twenty daemons request a version of 1,400 routes from the same one, and a
    // timeout of 300 ms to the first byte is too short for those served last.
    const bytes = gzipSync(JSON.stringify({ version: 7 }));
    const busy = createServer((_request, response) => {
      setTimeout(() => response.end(bytes), FIRST_BYTE_DELAY_MILLISECONDS);
    });
    const { port } = await listen(busy, { host: '127.0.0.1', port: 0 });
    const receiver = new PeerExchange({
      knowledge: createTestKnowledge().knowledge,
      clock: new SystemClock(),
      ownAddress: '127.0.0.1:1',
      seeds: [],
    });
    const answer = receiver.fetchConfiguration(`127.0.0.1:${port}`).then(
      ({ version }) => version,
      (error: Error) => error.message,
    );
    const result = await answer;
    busy.close();
    expect(result).toEqual(7);
  });

  it('treats a malformed answer as a failed request, and continues', async () => {
    // Guards against a daemon that exits while the store is unavailable: it polls a port that another program has taken
    // over, and an error thrown while parsing that answer in an event handler would end the process.
    const answers = ['<html>', '{"revision"', '{}', 'null'];
    const server = createServer((_request, response) => response.end(answers.shift() ?? '<html>'));
    const { address, port } = await listen(server, { host: '127.0.0.1', port: 0 });
    const log = new MemoryLog();
    const { knowledge } = createTestKnowledge();
    const peers = new PeerExchange({
      knowledge,
      clock: new SystemClock(),
      ownAddress: '127.0.0.1:1',
      seeds: [`${address}:${port}`],
    });
    const catchUp = startCatchUp(peers, knowledge, log);
    while (log.fieldsOf(syncLogEvents.peerFailed).length < 5) await new Promise(setImmediate);
    catchUp.stop();
    server.close();
    server.closeAllConnections();
    expect(answers).toEqual([]);
  });

  it('polls only daemons that the failure detector reports as alive', async () => {
    // Guards against a daemon that the store refuses and that learns a new configuration seconds late: a third of the
    // fleet has lost power, it polls all listed daemons one after the other, and each dead one costs it a timeout.
    const answers = createServer((_request, response) => response.end('{}'));
    const { address, port } = await listen(answers, { host: '127.0.0.1', port: 0 });
    const { knowledge } = createTestKnowledge();
    const daemons = ['dead', 'living'].map((name) => {
      const own = name === 'living' ? `${address}:${port}` : '127.0.0.1:1';
      return { name, dataCentre: 'a', callerAddress: own, peerAddress: own, newsAddress: own };
    });
    const facts = daemons.map((daemon) => ({ kind: 'daemon', daemon }) as const);
    knowledge.applyFullRead({ revision: 1, facts }, 0);
    const log = new MemoryLog();
    const peers = new PeerExchange({
      knowledge,
      clock: new SystemClock(),
      ownAddress: '127.0.0.1:2',
      seeds: [],
      aliveDaemons: () => daemons.slice(1),
    });
    const catchUp = startCatchUp(peers, knowledge, log);
    while (log.fieldsOf(syncLogEvents.peerFailed).length < 5) await new Promise(setImmediate);
    catchUp.stop();
    answers.close();
    answers.closeAllConnections();
    const asked = new Set(log.fieldsOf(syncLogEvents.peerFailed).map((fields) => fields.address));
    expect([...asked]).toEqual([`${address}:${port}`]);
  });

  it('answers a daemon whose entry lapsed before its first request', async () => {
    // Guards against 403 to a daemon that the store refuses, from every daemon that it has not asked before.
    mock.timers.enable({ apis: ['setInterval'] });
    const { knowledge } = createTestKnowledge();
    const common = { clock: new SystemClock(), ownAddress: '127.0.0.1:1', seeds: [] };
    const peers = new PeerExchange({ ...common, knowledge });
    await peers.listen({ host: '127.0.0.1', port: 0 });
    const peerAddress = '10.0.0.2:1';
    const addresses = { callerAddress: peerAddress, peerAddress, newsAddress: peerAddress };
    const daemon = { name: 'daemon-2', dataCentre: 'here', ...addresses };
    knowledge.applyChanges({ revision: 1, facts: [{ kind: 'daemon', daemon }] }, 0);
    mock.timers.tick(400);
    const gone = { kind: 'daemon_gone', name: daemon.name } as const;
    knowledge.applyChanges({ revision: 2, facts: [gone] }, 0);
    peers.close();
    mock.timers.reset();
    expect(knowledge.daemons.size).toEqual(0);
    expect(peers.isAllowedHost('10.0.0.2')).toEqual(true);
  });

  it('serves its configuration, and reads one that arrives slowly to its end', async () => {
    // Guards against daemons that have no configuration for ten seconds after a power failure. A configuration of a
    // thousand routes takes longer to transfer than the timeout; if the timeout ran from the request and not from the
    // last bytes, it would be requested again and again.
    const { knowledge } = createTestKnowledge();
    const limits = {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    };
    knowledge.applyConfiguration({ version: 7, routes: [], services: [], limits });
    const common = { clock: new SystemClock() };
    const own = '127.0.0.1:1';
    const sender = new PeerExchange({ ...common, knowledge, ownAddress: own, seeds: [own] });
    const senderAddress = await sender.listen({ host: '127.0.0.1', port: 0 });
    const receiver = new PeerExchange({
      ...common,
      knowledge: createTestKnowledge().knowledge,
      ownAddress: own,
      seeds: [],
    });
    const configuration = await receiver.fetchConfiguration(`127.0.0.1:${senderAddress.port}`);
    expect(configuration.version).toEqual(7);
    const bytes = gzipSync(JSON.stringify(configuration));
    const pieces = 4;
    const slow = createServer((_request, response) => {
      let sent = 0;
      const timer = setInterval(() => {
        sent += 1;
        const isLast = sent === pieces;
        const size = Math.ceil(bytes.length / pieces);
        response.write(bytes.subarray((sent - 1) * size, sent * size));
        if (!isLast) return;
        clearInterval(timer);
        response.end();
      }, 150);
    });
    const { port } = await listen(slow, { host: '127.0.0.1', port: 0 });
    expect((await receiver.fetchConfiguration(`127.0.0.1:${port}`)).version).toEqual(7);
    slow.close();
    slow.closeAllConnections();
    sender.close();
  });
});
