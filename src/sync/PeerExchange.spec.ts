import { createServer } from 'node:http';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { listen } from '../http/listen.js';
import { SystemClock } from '../time/SystemClock.js';
import { PeerExchange } from './PeerExchange.js';
import { syncLogEvents } from './syncFeature.js';
import { createTestKnowledge } from './testKnowledge.js';

describe(PeerExchange.name, () => {
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
});
