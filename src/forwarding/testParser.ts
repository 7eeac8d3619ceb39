/**
 * What the HTTP parser of this runtime accepts, which differs between versions of it.
 */
import { get } from 'node:http';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/**
 * @param line - a line of a head.
 * @returns Whether an answer with it is read.
 */
export async function isAcceptedInHead(line: string): Promise<boolean> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.end(`HTTP/1.1 200 OK\r\n${line}\r\nContent-Length: 0\r\n\r\n`);
  });
  await new Promise<void>((done) => {
    server.listen(0, '127.0.0.1', done);
  });
  const { port } = server.address() as AddressInfo;
  try {
    return await new Promise<boolean>((done) => {
      const request = get({ host: '127.0.0.1', port, agent: false }, (answer) => {
        answer.resume();
        done(true);
      });
      request.once('error', () => done(false));
    });
  } finally {
    server.close();
  }
}
