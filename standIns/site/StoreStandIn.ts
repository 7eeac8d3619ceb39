/**
 * A stand-in of the platform's store: conditions, leases, watches and faults, in memory.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import { listen } from '../../src/http/listen.js';

interface Item {
  readonly key: string;
  /** Base64. */
  readonly value: string;
  readonly revision: number;
  readonly create_rev: number;
  readonly lease: number;
}

interface Removal {
  readonly key: string;
  readonly revision: number;
  readonly removed: true;
}

interface Transaction {
  readonly expected_revision: readonly { readonly key: string; readonly revision: number }[];
  readonly puts: readonly {
    readonly key: string;
    readonly value: string;
    readonly lease?: number;
  }[];
  readonly deletes: readonly string[];
}

interface Waiter {
  readonly prefix: string;
  readonly after: number;
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** How calls are answered: `busy` refuses with 503, `silent` never answers, `reset` resets connections. */
export type StoreFault = 'none' | 'busy' | 'silent' | 'reset';

/** Options of {@link StoreStandIn.faultFor}. */
export interface FaultFor {
  fault: StoreFault;
  /** Only calls from this port's connections are concerned; all others are served. */
  concerns?: (request: IncomingMessage) => boolean;
}

const PAGE_ITEMS = 500;

/** Serves the store's calls on a loopback port. */
export class StoreStandIn {
  /** Calls by method and path without parameters. */
  readonly calls = new Map<string, number>();

  private readonly items = new Map<string, Item>();

  private history: (Item | Removal)[] = [];

  private historyStart = 0;

  private revision = 1;

  private nextLease = 1;

  private readonly leases = new Map<number, { timer: NodeJS.Timeout; milliseconds: number }>();

  private readonly waiters = new Set<Waiter>();

  private fault: FaultFor = { fault: 'none' };

  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => {
      void this.take(request, response);
    });
  }

  /** @returns Its address, once it listens. */
  async start(): Promise<string> {
    const { address, port } = await listen(this.server, { host: '127.0.0.1', port: 0 });
    return `${address}:${port}`;
  }

  /** Ends everything. */
  stop(): void {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    for (const { timer } of this.waiters) clearTimeout(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * @param fault - how calls are answered from now on; watches that wait are cut.
   */
  faultFor(fault: FaultFor): void {
    this.fault = fault;
    for (const waiter of [...this.waiters]) {
      if (fault.fault !== 'none') this.cut(waiter);
    }
  }

  /** Forgets what has changed: watches from before get 410. */
  dropHistory(): void {
    this.history = [];
    this.historyStart = this.revision;
    for (const waiter of [...this.waiters]) this.cut(waiter);
  }

  /**
   * Writes as an operator or a runner does.
   *
   * @param key - the key.
   * @param content - encoded as JSON; `undefined` removes the key.
   * @returns The new revision.
   */
  write(key: string, content: unknown): number {
    if (content === undefined) this.remove(key);
    else this.put(key, Buffer.from(JSON.stringify(content)).toString('base64'), 0);
    this.wake();
    return this.revision;
  }

  /**
   * @param prefix - of keys.
   * @returns The keys that begin so.
   */
  keys(prefix: string): string[] {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  private async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname, searchParams } = new URL(request.url ?? '/', 'http://store');
    const name = `${request.method} ${pathname.replace(/\/\d+$/u, '')}`;
    this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
    if (this.isFaulty(request, response)) return;
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const text = Buffer.concat(chunks).toString();
    const body: unknown = text === '' ? {} : JSON.parse(text);
    const lease = Number(pathname.split('/').at(-1));
    if (name === 'GET /v1/kv-key') this.readKey(searchParams, response);
    else if (name === 'GET /v1/kv-range') this.range(searchParams, response);
    else if (name === 'GET /v1/kv-watch') this.watch(searchParams, response);
    else if (name === 'POST /v1/kv-txn') this.transact(body as Transaction, response);
    else if (name === 'POST /v1/kv-lease') this.grant(body as { ttl_ms: number }, response);
    else if (name === 'POST /v1/kv-keep') this.keep(lease, response);
    else if (name === 'DELETE /v1/kv-lease-end') this.end(lease, response);
    else StoreStandIn.answer(response, 404, {});
  }

  private isFaulty(request: IncomingMessage, response: ServerResponse): boolean {
    const { fault, concerns = () => true } = this.fault;
    if (fault === 'none' || !concerns(request)) return false;
    if (fault === 'reset') request.socket.resetAndDestroy();
    if (fault === 'busy') StoreStandIn.answer(response, 503, {});
    return true;
  }

  private static answer(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end(JSON.stringify(body));
  }

  private readKey(query: URLSearchParams, response: ServerResponse): void {
    const item = this.items.get(query.get('key') ?? '');
    StoreStandIn.answer(response, item ? 200 : 404, item ?? {});
  }

  private range(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('path_prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = this.keys(prefix).filter((key) => key > after);
    const items = keys.slice(0, PAGE_ITEMS).map((key) => this.items.get(key));
    const truncated = keys.length > PAGE_ITEMS;
    StoreStandIn.answer(response, 200, { items, truncated, as_of: this.revision });
  }

  private watch(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after'));
    if (after < this.historyStart) {
      StoreStandIn.answer(response, 410, {});
      return;
    }
    const endWait = () => {
      const waiting = [...this.waiters].find((one) => one.response === response);
      if (waiting) this.finish(waiting, []);
    };
    const timer = setTimeout(endWait, Number(query.get('wait_ms')));
    this.waiters.add({ prefix, after, response, timer });
    this.wake();
  }

  private finish(waiter: Waiter, events: readonly (Item | Removal)[]): void {
    clearTimeout(waiter.timer);
    this.waiters.delete(waiter);
    StoreStandIn.answer(waiter.response, 200, { events, as_of: this.revision });
  }

  private cut(waiter: Waiter): void {
    clearTimeout(waiter.timer);
    this.waiters.delete(waiter);
    waiter.response.destroy();
  }

  private wake(): void {
    for (const waiter of [...this.waiters]) {
      const events = this.history.filter(
        ({ key, revision }) => key.startsWith(waiter.prefix) && revision > waiter.after,
      );
      if (events.length > 0) this.finish(waiter, events);
    }
  }

  private transact(transaction: Transaction, response: ServerResponse): void {
    const { expected_revision: expected, puts, deletes } = transaction;
    const failed = expected.filter(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision,
    );
    if (failed.length > 0) {
      const items = expected.map(({ key }) => this.items.get(key) ?? { key, revision: 0 });
      StoreStandIn.answer(response, 412, { items });
      return;
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
      StoreStandIn.answer(response, 404, {});
      return;
    }
    for (const { key, value, lease = 0 } of puts) this.put(key, value, lease);
    for (const key of deletes) this.remove(key);
    StoreStandIn.answer(response, 200, { revision: this.revision });
    this.wake();
  }

  private put(key: string, value: string, lease: number): void {
    this.revision += 1;
    const created = this.items.get(key)?.create_rev ?? this.revision;
    const item: Item = { key, value, revision: this.revision, create_rev: created, lease };
    this.items.set(key, item);
    this.history.push(item);
  }

  private remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.history.push({ key, revision: this.revision, removed: true });
  }

  private grant({ ttl_ms: milliseconds }: { ttl_ms: number }, response: ServerResponse): void {
    const lease = this.nextLease;
    this.nextLease += 1;
    this.leases.set(lease, { milliseconds, timer: this.expiry(lease, milliseconds) });
    StoreStandIn.answer(response, 200, { lease, ttl_ms: milliseconds });
  }

  private expiry(lease: number, milliseconds: number): NodeJS.Timeout {
    return setTimeout(() => this.lapse(lease), milliseconds);
  }

  private lapse(lease: number): void {
    const known = this.leases.get(lease);
    if (!known) return;
    clearTimeout(known.timer);
    this.leases.delete(lease);
    for (const item of [...this.items.values()]) if (item.lease === lease) this.remove(item.key);
    this.wake();
  }

  private keep(lease: number, response: ServerResponse): void {
    const known = this.leases.get(lease);
    if (known) {
      clearTimeout(known.timer);
      known.timer = this.expiry(lease, known.milliseconds);
    }
    StoreStandIn.answer(response, known ? 200 : 404, { ttl_ms: known?.milliseconds });
  }

  private end(lease: number, response: ServerResponse): void {
    const isKnown = this.leases.has(lease);
    this.lapse(lease);
    StoreStandIn.answer(response, isKnown ? 200 : 404, {});
  }
}
