/**
 * One question to another daemon, over HTTP.
 */
import { request as sendRequest } from 'node:http';
import type { Agent } from 'node:http';

import { parseAddress } from '../http/parseAddress.js';

/** A question. */
export interface PeerQuestion {
  /** Of the daemon for other daemons' questions. */
  address: string;
  path: string;
  /** Sent as JSON where there is one. */
  body?: string;
  /** The answer is given up after this time without a byte of it, in ms. */
  silenceMilliseconds: number;
  agent: Agent;
}

const OK = 200;

/** A whole configuration with hundreds of routes is about 200 kB. */
const MAXIMUM_ANSWER_BYTES = 4_194_304;

/**
 * @param question - whom and what.
 * @returns The body of the answer.
 * @throws When there is none in time, or it is no success.
 */
export function askPeer(question: PeerQuestion): Promise<Buffer> {
  const { address, path, body, silenceMilliseconds, agent } = question;
  const { host, port } = parseAddress(address);
  const method = body === undefined ? 'GET' : 'POST';
  return new Promise((done, fail) => {
    let timer: NodeJS.Timeout | undefined;
    const request = sendRequest({ host, port, path, method, agent }, (answer) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      answer.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
        timer?.refresh();
        bytes += chunk.length;
        if (bytes > MAXIMUM_ANSWER_BYTES) request.destroy(new Error('the answer is too large'));
      });
      answer.once('error', fail);
      answer.once('end', () => {
        if (answer.statusCode === OK) done(Buffer.concat(chunks));
        else fail(new Error(`status ${answer.statusCode}`));
      });
    });
    const giveUp = () => request.destroy(new Error('no answer in time'));
    timer = setTimeout(giveUp, silenceMilliseconds);
    request.once('close', () => clearTimeout(timer));
    request.once('error', fail);
    request.end(body);
  });
}
