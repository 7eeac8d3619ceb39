/**
 * A sound client of a case: sends one request on a new connection and waits as long as it says.
 */
import { request as sendRequest } from 'node:http';

import { SITE_HOST, SITE_KEY } from '../../standIns/site/StandInSite.js';

/** A request. */
export interface Call {
  readonly address: string;
  readonly id: string;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
  /** How long the client waits for the end of the answer, in ms. */
  readonly patienceMilliseconds: number;
}

/** What the client has seen. */
export interface CallResult {
  readonly id: string;
  /** 0 if there was no answer. */
  readonly status: number;
  readonly body: string;
  /** Whether the HTTP message ended in order. */
  readonly isComplete: boolean;
  readonly milliseconds: number;
}

/**
 * @param call - the request.
 * @returns The answer, or that there was none.
 */
export function sendCall(call: Call): Promise<CallResult> {
  const { address, id, path, method, body = '', headers = {}, patienceMilliseconds } = call;
  const [host, port] = address.split(':');
  const startedAt = performance.now();
  return new Promise((done) => {
    const own = {
      Host: SITE_HOST,
      'Attempt-Id': id,
      Credential: SITE_KEY,
      'Deadline-Ms': String(patienceMilliseconds),
    };
    const request = sendRequest({
      ...{ host, port, path, method, agent: false },
      headers: { ...own, ...headers },
    });
    const chunks: Buffer[] = [];
    let status = 0;
    let isComplete = false;
    const timer = setTimeout(() => request.destroy(), patienceMilliseconds);
    request.on('error', () => undefined);
    request.once('response', (response) => {
      status = response.statusCode ?? 0;
      response.on('error', () => undefined);
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.once('end', () => {
        isComplete = response.complete;
      });
    });
    request.once('close', () => {
      clearTimeout(timer);
      const milliseconds = Math.round(performance.now() - startedAt);
      const text = Buffer.concat(chunks).toString('latin1');
      done({ id, status, body: text, isComplete, milliseconds });
    });
    request.end(body);
  });
}
