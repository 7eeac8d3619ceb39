import { createServer, get } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { TriedRunners } from '../forwarding/TriedRunners.js';
import type { DaemonAnswer } from '../forwarding/AnswerRelay.js';
import { BROKEN_HEADER, triedRunnersIn, UNREACHED_HEADER } from './handOverHeaders.js';
import { TakenOverRelay } from './TakenOverRelay.js';

/** Sends an error to another daemon and returns its headers. */
async function headersOf(own: DaemonAnswer): Promise<IncomingHttpHeaders> {
  const server = createServer((_, response) => {
    const tried = new TriedRunners({ lives: ['a/1'] });
    new TakenOverRelay(response, () => true, tried).sendDaemonAnswer(own);
  });
  await new Promise<void>((done) => {
    server.listen(0, '127.0.0.1', done);
  });
  const { port } = server.address() as AddressInfo;
  const headers = await new Promise<IncomingHttpHeaders>((done) => {
    get({ host: '127.0.0.1', port }, (answer) => {
      answer.resume();
      done(answer.headers);
    });
  });
  server.close();
  return headers;
}

describe('an error of a daemon that took a request over', () => {
  it('says that no runner was reached', async () => {
    const headers = await headersOf({ status: 503, reason: 'connect_timeout' });
    expect(headers[UNREACHED_HEADER]).toEqual('connect_timeout');
  });

  // Guards against a stream that is given up because its second daemon reached nobody, as if it had run there.
  it('says so of a request that had run elsewhere before', async () => {
    const headers = await headersOf({ status: 502, reason: 'no_runner' });
    expect(headers[UNREACHED_HEADER]).toEqual('no_runner');
    expect(headers[BROKEN_HEADER]).toEqual(undefined);
  });

  it('says that the request may have run', async () => {
    const headers = await headersOf({ status: 502, reason: 'broken' });
    expect(headers[BROKEN_HEADER]).toEqual('broken');
    expect(triedRunnersIn(headers)).toEqual(['a/1']);
  });

  it('says neither of a refusal that holds at any daemon', async () => {
    const headers = await headersOf({ status: 503, reason: 'quarantined', retryAfterSeconds: 1 });
    expect(headers[UNREACHED_HEADER]).toEqual(undefined);
    expect(headers[BROKEN_HEADER]).toEqual(undefined);
  });
});
