/**
 * Sends one HTTP request to another daemon.
 */
import { request as sendRequest } from 'node:http';
import type { Agent } from 'node:http';

import { parseAddress } from '../http/parseAddress.js';
import { readWholeBody } from '../http/readWholeBody.js';

/** A request to another daemon. */
export interface PeerRequest {
  /** The daemon's address for requests of other daemons. */
  address: string;
  path: string;
  /** Request body as JSON; if it is set, the method is POST, otherwise GET. */
  body?: string;
  /** The request is aborted after this time without a byte of the response, in ms. */
  silenceMilliseconds: number;
  agent: Agent;
  /** Called when the response begins. */
  onResponse?: () => void;
}

const OK = 200;

/** Largest response that is accepted; a configuration with hundreds of routes is about 200 kB. */
const MAXIMUM_ANSWER_BYTES = 4_194_304;

/**
 * Sends a request to another daemon.
 *
 * @param peerRequest - the address, path, body and timeout.
 * @returns The body of the response.
 * @throws If no response comes in time, or its status is not 200.
 */
export function requestPeer(peerRequest: PeerRequest): Promise<Buffer> {
  const { address, path, body, silenceMilliseconds, agent, onResponse } = peerRequest;
  const { host, port } = parseAddress(address);
  const method = body === undefined ? 'GET' : 'POST';
  return new Promise((done, fail) => {
    let timer: NodeJS.Timeout | undefined;
    const request = sendRequest({ host, port, path, method, agent }, (answer) => {
      onResponse?.();
      const onPart = () => timer?.refresh();
      readWholeBody(answer, { maximumBytes: MAXIMUM_ANSWER_BYTES, onPart }).then((content) => {
        if (answer.statusCode === OK) done(content);
        else fail(new Error(`status ${answer.statusCode}`));
      }, fail);
    });
    const giveUp = () =>
      request.destroy(new Error(`no byte of the response within ${silenceMilliseconds} ms`));
    timer = setTimeout(giveUp, silenceMilliseconds);
    request.once('close', () => clearTimeout(timer));
    request.once('error', fail);
    request.end(body);
  });
}
