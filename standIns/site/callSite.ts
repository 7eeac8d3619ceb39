/**
 * Sends one request to the site, on a new connection.
 */
import { Agent, request as sendRequest } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';

import { SITE_HOST, SITE_KEY } from './StandInSite.js';

/** A request of a caller. */
export interface SiteCall {
  /** IP address and port of a daemon. */
  address: string;
  path: string;
  method?: string;
  body?: string;
  headers?: Record<string, string>;
  /** Called when the first bytes arrive, for example to act while a stream is in progress. */
  onData?: () => void;
  /** Whether the caller breaks the connection off now that it has received this much of the body. */
  leaves?: (received: string) => boolean;
  agent?: Agent;
}

/** The answer to a caller. */
export interface SiteAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the HTTP message ended regularly. */
  readonly isComplete: boolean;
}

let nextId = 0;

/**
 * @param call - the request.
 * @returns The answer, also if it breaks off.
 */
export function callSite({
  address,
  path,
  method = 'POST',
  body = '',
  headers = {},
  onData = () => undefined,
  leaves = () => false,
  agent = new Agent({ keepAlive: false }),
}: SiteCall): Promise<SiteAnswer> {
  const [host, port] = address.split(':');
  nextId += 1;
  const own = { Host: SITE_HOST, 'Attempt-Id': `attempt-${nextId}`, Credential: SITE_KEY };
  return new Promise((done, fail) => {
    const request = sendRequest({
      host,
      port,
      path,
      method,
      agent,
      headers: { ...own, ...headers },
    });
    request.once('error', fail);
    request.once('response', (response) => {
      const chunks: Buffer[] = [];
      let hasLeft = false;
      response.on('error', () => undefined);
      response.on('data', (chunk: Buffer) => {
        if (chunks.length === 0) onData();
        chunks.push(chunk);
        if (!leaves(Buffer.concat(chunks).toString())) return;
        hasLeft = true;
        response.destroy();
      });
      response.once('close', () =>
        done({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          // The rest of the answer may have been read with the part after which the caller leaves.
          isComplete: response.complete && !hasLeft,
        }),
      );
    });
    request.end(body);
  });
}
