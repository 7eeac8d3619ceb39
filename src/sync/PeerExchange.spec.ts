import { createServer } from 'node:http';
import { gzipSync } from 'node:zlib';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { listen } from '../http/listen.js';
import { SystemClock } from '../time/SystemClock.js';
import { PeerExchange } from './PeerExchange.js';
import { syncLogEvents } from './syncFeature.js';
import { createTestKnowledge } from './testKnowledge.js';

/** Between a configuration's first bytes and the time at which a daemon with nothing to hand over is given up, in ms. */
const BEHIND_OTHERS_MILLISECONDS = 500;

describe(PeerExchange.name, () => {
  it('waits for a configuration behind those that its sender hands to others', async () => {
    // Symptom: on links of 10 Mbit/s a large configuration is read from the store, four times as large, by daemons that
    // others would have given it to. Sequence: a version of 1,400 routes comes; twenty daemons ask the same one for it.
    // Cause: an answer that had not begun after 300 ms was given up.
    const bytes = gzipSync(JSON.stringify({ version: 7 }));
    const busy = createServer((_request, response) => {
      setTimeout(() => response.end(bytes), BEHIND_OTHERS_MILLISECONDS);
    });
    const { port } = await listen(busy, { host: '127.0.0.1', port: 0 });
    const asker = new PeerExchange({
      knowledge: createTestKnowledge().knowledge,
      clock: new SystemClock(),
      log: new MemoryLog(),
      ownAddress: '127.0.0.1:1',
      seeds: [],
      isStoreSilent: () => false,
    });
    const answer = asker.fetchConfiguration(`127.0.0.1:${port}`).then(
      ({ version }) => version,
      (error: Error) => error.message,
    );
    const result = await answer;
    busy.close();
    expect(result).toEqual(7);
  });

  it('takes an answer that is no knowledge for a failure, and goes on', async () => {
    // Symptom: a daemon ends while the store is away. Sequence: it asks a port that another program has taken
    // since. Cause: the answer is read in an event handler, where an error that is thrown ends the process.
    const answers = ['<html>', '{"revision"', '{}', 'null'];
    const server = createServer((_request, response) => response.end(answers.shift() ?? '<html>'));
    const { address, port } = await listen(server, { host: '127.0.0.1', port: 0 });
    const log = new MemoryLog();
    const peers = new PeerExchange({
      knowledge: createTestKnowledge().knowledge,
      clock: new SystemClock(),
      log,
      ownAddress: '127.0.0.1:1',
      seeds: [`${address}:${port}`],
      isStoreSilent: () => true,
      pollMilliseconds: 1,
    });
    await peers.listen({ host: '127.0.0.1', port: 0 });
    while (log.of(syncLogEvents.peerFailed).length < 5) await new Promise(setImmediate);
    peers.close();
    server.close();
    server.closeAllConnections();
    expect(answers).toEqual([]);
  });

  it('asks only daemons that live where it is told which these are', async () => {
    // Symptom: a daemon that the store turns away knows a new configuration seconds late. Sequence: a third of the fleet
    // has lost power; it asks one daemon after the other, each dead one costs it a question. Cause: it asked all that
    // the store's list named.
    const answers = createServer((_request, response) => response.end('{}'));
    const { address, port } = await listen(answers, { host: '127.0.0.1', port: 0 });
    const { knowledge } = createTestKnowledge();
    const daemons = ['dead', 'living'].map((name) => {
      const own = name === 'living' ? `${address}:${port}` : '127.0.0.1:1';
      return { name, dataCentre: 'a', callerAddress: own, peerAddress: own, newsAddress: own };
    });
    const facts = daemons.map((daemon) => ({ kind: 'daemon', daemon }) as const);
    knowledge.applyAll({ revision: 1, facts }, 0);
    const log = new MemoryLog();
    const peers = new PeerExchange({
      knowledge,
      clock: new SystemClock(),
      log,
      ownAddress: '127.0.0.1:2',
      seeds: [],
      living: () => daemons.slice(1),
      isStoreSilent: () => true,
      pollMilliseconds: 1,
    });
    await peers.listen({ host: '127.0.0.1', port: 0 });
    while (log.of(syncLogEvents.peerFailed).length < 5) await new Promise(setImmediate);
    peers.close();
    answers.close();
    answers.closeAllConnections();
    const asked = new Set(log.of(syncLogEvents.peerFailed).map((fields) => fields.address));
    expect([...asked]).toEqual([`${address}:${port}`]);
  });

  it('hands its configuration on, and reads one that arrives slowly to its end', async () => {
    // Symptom: daemons know no configuration for ten seconds after a loss of power. Sequence: a configuration of a
    // thousand routes takes longer to arrive than an answer may stay away, and is asked for again and again. Cause:
    // the time was counted from the question, not from the last bytes.
    const { knowledge } = createTestKnowledge();
    const limits = {
      maximumHeaderBytes: 1,
      maximumBodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    };
    knowledge.applyConfiguration({ version: 7, routes: [], services: [], limits });
    const common = { clock: new SystemClock(), log: new MemoryLog(), isStoreSilent: () => false };
    const own = '127.0.0.1:1';
    const teller = new PeerExchange({ ...common, knowledge, ownAddress: own, seeds: [own] });
    const told = await teller.listen({ host: '127.0.0.1', port: 0 });
    const asker = new PeerExchange({
      ...common,
      knowledge: createTestKnowledge().knowledge,
      ownAddress: own,
      seeds: [],
    });
    const configuration = await asker.fetchConfiguration(`127.0.0.1:${told.port}`);
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
    expect((await asker.fetchConfiguration(`127.0.0.1:${port}`)).version).toEqual(7);
    slow.close();
    slow.closeAllConnections();
    teller.close();
  });
});
