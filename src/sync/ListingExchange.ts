/**
 * Serves the complete listing of runners and daemons, compressed, to daemons that start, and fetches it from others.
 *
 * Without it, 300 daemons that start at once with 3,000 runners would each read 1.4 MB from the store, which occupies its
 * network link for three seconds.
 */
import { promisify } from 'node:util';
import { Agent } from 'node:http';
import type { RequestListener, ServerResponse } from 'node:http';

import type { Clock } from '../time/Clock.js';
import { requestPeer } from './requestPeer.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { KnowledgeSnapshot } from './knowledgeTypes.js';

/** Options of a {@link ListingExchange}. */
export interface ListingExchangeOptions {
  knowledge: FleetKnowledge;
  clock: Clock;
  /** Whether a host may read the listing of this daemon. */
  isAllowedHost: (host: string) => boolean;
}

/** HTTP path of the listing. */
export const LISTING_PATH = '/listing';

const OK = 200;
const FORBIDDEN = 403;
const UNAVAILABLE = 503;

/**
 * How long a request waits for the first read of this daemon, in ms. A daemon that has started together with the
 * requesting one reads the store within about this time.
 */
const FIRST_READ_WAIT_MILLISECONDS = 1_200;

/**
 * Timeout without a byte of the response, in ms: longer than the other daemon waits for its own first read, and shorter
 * than the store would take to serve all daemons.
 */
const RESPONSE_TIMEOUT_MILLISECONDS = 1_500;

interface WaitingRequest {
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** Client and server of the listing. */
export class ListingExchange {
  private readonly options: ListingExchangeOptions;

  private readonly agent = new Agent({ keepAlive: false });

  private readonly waiting = new Set<WaitingRequest>();

  /** The compressed listing of the latest revision that was requested. */
  private compressed: { readonly revision: number; readonly bytes: Promise<Buffer> } | undefined;

  /**
   * @param options - what is served, and to which hosts.
   */
  constructor(options: ListingExchangeOptions) {
    this.options = options;
  }

  /** @returns Request handler that answers other daemons, after the first read of this daemon at the earliest. */
  get handler(): RequestListener {
    return (_request, response) => {
      if (this.options.knowledge.revision > 0) void this.answer(response);
      else this.holdRequest(response);
    };
  }

  /** Answers the waiting requests. Called after each update of this daemon's knowledge. */
  answerWaiting(): void {
    if (this.waiting.size === 0 || this.options.knowledge.revision === 0) return;
    for (const { response, timer } of this.waiting) {
      clearTimeout(timer);
      void this.answer(response);
    }
    this.waiting.clear();
  }

  /**
   * Requests the listing of another daemon.
   *
   * @param address - the daemon's address for requests of other daemons.
   * @returns Its listing, without the configuration.
   */
  async fetchListing(address: string): Promise<KnowledgeSnapshot> {
    const { agent } = this;
    const silenceMilliseconds = RESPONSE_TIMEOUT_MILLISECONDS;
    const bytes = await requestPeer({ address, path: LISTING_PATH, silenceMilliseconds, agent });
    const { gunzip } = await import('node:zlib');
    return JSON.parse((await promisify(gunzip)(bytes)).toString()) as KnowledgeSnapshot;
  }

  private holdRequest(response: ServerResponse): void {
    const waiting: WaitingRequest = {
      response,
      timer: setTimeout(() => {
        this.waiting.delete(waiting);
        response.writeHead(UNAVAILABLE, { 'Content-Length': 0 }).end();
      }, FIRST_READ_WAIT_MILLISECONDS),
    };
    this.waiting.add(waiting);
    response.once('close', () => {
      clearTimeout(waiting.timer);
      this.waiting.delete(waiting);
    });
  }

  /** The host is checked only here, since a daemon that waited for its first read did not know the list of daemons. */
  private async answer(response: ServerResponse): Promise<void> {
    if (!this.options.isAllowedHost(response.req.socket.remoteAddress ?? '')) {
      response.writeHead(FORBIDDEN, { 'Content-Length': 0 }).end();
      return;
    }
    const bytes = await this.compressedListing();
    response.writeHead(OK, { 'Content-Type': 'application/gzip', 'Content-Length': bytes.length });
    response.end(bytes);
  }

  private compressedListing(): Promise<Buffer> {
    const { knowledge, clock } = this.options;
    const { revision } = knowledge;
    if (this.compressed?.revision === revision) return this.compressed.bytes;
    const now = clock.monotonicMilliseconds();
    const text = JSON.stringify(knowledge.snapshot(Number.POSITIVE_INFINITY, now));
    const bytes = import('node:zlib').then(({ gzip }) => promisify(gzip)(text));
    this.compressed = { revision, bytes };
    return bytes;
  }
}
