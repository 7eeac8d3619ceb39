/**
 * The requests that are being forwarded, so that each of them gets an answer when the daemon stops.
 */
import type { ServerResponse } from 'node:http';

import type { ForwardedRequest } from './ForwardedRequest.js';

/** Keeps the requests. */
export class RequestsInProgress {
  private readonly requests = new Set<ForwardedRequest>();

  /**
   * @param forwarded - a request that has not been started.
   * @param response - its answer; when it is closed, the request ends.
   */
  add(forwarded: ForwardedRequest, response: ServerResponse): void {
    this.requests.add(forwarded);
    response.once('close', () => {
      this.requests.delete(forwarded);
      forwarded.callerLeft();
    });
  }

  /** Answers the requests that are still in progress. */
  end(): void {
    for (const forwarded of [...this.requests]) forwarded.endForStop();
  }
}
