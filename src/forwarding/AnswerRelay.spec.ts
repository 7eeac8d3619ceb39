import { createServer } from 'node:http';
import type { IncomingMessage, Server } from 'node:http';
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { ByteBuffer } from '../http/ByteBuffer.js';
import { listen } from '../http/listen.js';
import { AnswerRelay } from './AnswerRelay.js';

describe(AnswerRelay.name, () => {
  let server: Server;

  afterEach(() => server.close());

  // Guards against a caller that learns another length from HEAD than from GET.
  it('passes the length on that the answer to a HEAD request names', async () => {
    server = createServer((_request, response) => {
      const answer = { statusCode: 200, headers: { 'content-length': '600' }, rawHeaders: [] };
      new AnswerRelay(response, () => true).sendBuffered({
        source: { sourceName: 'runner-1' },
        answer: answer as unknown as IncomingMessage,
        body: new ByteBuffer({ maximumBytes: 0 }),
      });
    });
    const { port } = await listen(server, { host: '127.0.0.1', port: 0 });
    const answer = await fetch(`http://127.0.0.1:${port}/`, { method: 'HEAD' });
    expect(answer.headers.get('content-length')).toEqual('600');
  });
});
