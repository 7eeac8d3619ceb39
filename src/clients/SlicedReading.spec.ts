import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { SlicedReading } from './SlicedReading.js';

const SLICE_BYTES = 4_096;

const BODY_BYTES = 4 * 1_048_576;

/** What one read of a connection may bring, several times. */
const MAXIMUM_PENDING_BYTES = 262_144;

describe('SlicedReading', () => {
  let server: Server | undefined;
  let client: Socket | undefined;

  afterEach(() => {
    client?.destroy();
    server?.close();
  });

  // Guards against a body that is read as fast as it comes and kept, as the HTTP library resumes its connection.
  it('reads no more of a body while bytes of it wait', async () => {
    let mostPending = 0;
    let received = 0;
    await new Promise<void>((done) => {
      server = createServer((request, response) => {
        const pass = (reading: SlicedReading) => {
          mostPending = Math.max(mostPending, reading.pendingBytes);
          if (reading.passSlice(SLICE_BYTES)) setImmediate(pass, reading);
        };
        const sliced: SlicedReading = new SlicedReading(request.socket, () => {
          setImmediate(() => pass(sliced));
        });
        request.on('data', (chunk: Buffer) => {
          received += chunk.length;
        });
        request.once('end', () => {
          response.end();
          done();
        });
      });
      server.listen(0, '127.0.0.1', () => {
        client = connect((server?.address() as AddressInfo).port, '127.0.0.1');
        client.write(`POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`);
        client.write(Buffer.alloc(BODY_BYTES));
      });
    });
    expect(received).toEqual(BODY_BYTES);
    expect(mostPending).toBeLessThanOrEqual(MAXIMUM_PENDING_BYTES);
  });
});
