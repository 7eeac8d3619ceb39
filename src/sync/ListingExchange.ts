/**
 * Hands out whole lists of runners and daemons, compressed, to daemons that start.
 *
 * What goes wrong without it: 300 daemons that start at once before 3,000 runners each read 1.4 MB from the store, which
 * takes its link three seconds.
 */
import { promisify } from 'node:util';
import { Agent } from 'node:http';
import type { RequestListener, ServerResponse } from 'node:http';

import type { Clock } from '../time/Clock.js';
import { askPeer } from './askPeer.js';
import type { FleetKnowledge } from './FleetKnowledge.js';
import type { KnowledgeSnapshot } from './knowledgeTypes.js';

/** Options of a {@link ListingExchange}. */
export interface ListingExchangeOptions {
  knowledge: FleetKnowledge;
  clock: Clock;
  /** Whether somebody at a host may learn what this daemon knows. */
  mayAsk: (host: string) => boolean;
}

/** Where a daemon hands out its list. */
export const LISTING_PATH = '/listing';

const OK = 200;
const FORBIDDEN = 403;
const UNAVAILABLE = 503;

/** A daemon that has started with the one that asks reads the store within about this time; in ms. */
const WAIT_MILLISECONDS = 1_200;

/** Longer than the other one waits for its own first read, and less than the store takes for everybody; in ms. */
const SILENCE_MILLISECONDS = 1_500;

interface Waiting {
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** Asks and answers. */
export class ListingExchange {
  private readonly options: ListingExchangeOptions;

  private readonly agent = new Agent({ keepAlive: false });

  private readonly waiting = new Set<Waiting>();

  /** Of the latest revision that was asked for. */
  private compressed: { readonly revision: number; readonly bytes: Promise<Buffer> } | undefined;

  /**
   * @param options - what is handed out, and to whom.
   */
  constructor(options: ListingExchangeOptions) {
    this.options = options;
  }

  /** @returns Answers other daemons, once this one knows anything. */
  get handler(): RequestListener {
    return (_request, response) => {
      if (this.options.knowledge.revision > 0) void this.answer(response);
      else this.wait(response);
    };
  }

  /** This daemon has learnt something: those that wait are answered. */
  updated(): void {
    if (this.waiting.size === 0 || this.options.knowledge.revision === 0) return;
    for (const { response, timer } of this.waiting) {
      clearTimeout(timer);
      void this.answer(response);
    }
    this.waiting.clear();
  }

  /**
   * @param address - of a daemon for other daemons' questions.
   * @returns What it lists, without the configuration.
   */
  async fetch(address: string): Promise<KnowledgeSnapshot> {
    const { agent } = this;
    const silenceMilliseconds = SILENCE_MILLISECONDS;
    const bytes = await askPeer({ address, path: LISTING_PATH, silenceMilliseconds, agent });
    const { gunzip } = await import('node:zlib');
    return JSON.parse((await promisify(gunzip)(bytes)).toString()) as KnowledgeSnapshot;
  }

  private wait(response: ServerResponse): void {
    const waiting: Waiting = {
      response,
      timer: setTimeout(() => {
        this.waiting.delete(waiting);
        response.writeHead(UNAVAILABLE, { 'Content-Length': 0 }).end();
      }, WAIT_MILLISECONDS),
    };
    this.waiting.add(waiting);
    response.once('close', () => {
      clearTimeout(waiting.timer);
      this.waiting.delete(waiting);
    });
  }

  /** Who may ask is known only with the list of daemons. */
  private async answer(response: ServerResponse): Promise<void> {
    if (!this.options.mayAsk(response.req.socket.remoteAddress ?? '')) {
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
