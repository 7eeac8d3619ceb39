/**
 * Stand-in for the platform's store, in memory: transactions with conditions, leases, watches, restores from a copy, and
 * faults.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

import { listen } from '../../src/http/listen.js';
import { orderedRevisionOf } from '../../src/sync/orderedRevision.js';
import { readBody } from './readBody.js';
import { StoreFaults } from './StoreFaults.js';
import type { FaultFor } from './StoreFaults.js';
import { refusalOf } from './storeTransaction.js';
import type { Transaction } from './storeTransaction.js';

/** A key with its value. */
export interface StoreItem {
  readonly key: string;
  /** In base64. */
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

interface Waiter {
  readonly prefix: string;
  readonly after: number;
  readonly response: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** The state of the store at one moment. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, StoreItem>;
  readonly history: readonly (StoreItem | Removal)[];
  readonly historyStart: number;
  readonly revision: number;
  readonly nextLease: number;
  /** Time to live of each lease, in ms. */
  readonly leases: ReadonlyMap<number, number>;
}

const PAGE_ITEMS = 500;

const LONGEST_LEASE_MILLISECONDS = 600_000;

const SLOW_MILLISECONDS = 400;

function encode(content: unknown): string {
  return Buffer.from(JSON.stringify(content)).toString('base64');
}

/** Serves the store's HTTP calls on a loopback port. */
export class StoreStandIn {
  /** Number of calls by method and path, without parameters. */
  readonly calls = new Map<string, number>();

  /** Returns an item as a given caller sees it, for example with the address of that caller's own link. */
  seenAs: (item: StoreItem, request: IncomingMessage) => StoreItem = (item) => item;

  private readonly items = new Map<string, StoreItem>();

  private history: (StoreItem | Removal)[] = [];

  private historyStart = 0;

  private revision = 1;

  /** Number that grows by one with each restore; sent with all answers. */
  private era = 1;

  private nextLease = 1;

  /** Latest write of operators and runners for each key; `undefined` for a key that they removed. */
  private readonly written = new Map<string, unknown>();

  private readonly leases = new Map<number, { timer: NodeJS.Timeout; milliseconds: number }>();

  private readonly waiters = new Set<Waiter>();

  private readonly faults = new StoreFaults();

  /** Ends the fault of {@link faultFor}. */
  private endFault: () => void = () => undefined;

  /** Executed calls whose answers are to be lost. */
  private readonly lost = new WeakSet<ServerResponse>();

  private readonly server: Server;

  constructor() {
    this.server = createServer((request, response) => {
      void this.take(request, response);
    });
  }

  /** @returns The address on which it listens. */
  async start(): Promise<string> {
    const { address, port } = await listen(this.server, { host: '127.0.0.1', port: 0 });
    return `${address}:${port}`;
  }

  /** Stops the server and all timers. */
  stop(): void {
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    for (const { timer } of this.waiters) clearTimeout(timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Replaces the fault of the last call.
   *
   * @param fault - how calls are answered from now on; see {@link beginFault}.
   */
  faultFor(fault: FaultFor): void {
    this.endFault();
    this.endFault = this.beginFault(fault);
  }

  /**
   * Begins a fault beside those that are active; where several apply to a call, the first one counts.
   *
   * @param fault - how calls are answered. Waiting watches that it concerns are cut, or never answered if the store is
   *   silent.
   * @returns A function to be called when it ends.
   */
  beginFault(fault: FaultFor): () => void {
    const { fault: kind, concerns = () => true } = fault;
    const concerned = kind === 'none' ? [] : [...this.waiters];
    for (const waiter of concerned.filter(({ response }) => concerns(response.req))) {
      if (kind === 'silent') this.forget(waiter);
      else this.cut(waiter);
    }
    return this.faults.begin(fault);
  }

  /** Compacts the history: watches from an earlier revision get 410. */
  dropHistory(): void {
    this.history = [];
    this.historyStart = this.revision;
    for (const waiter of [...this.waiters]) this.cut(waiter);
  }

  /** @returns A copy of the state, for {@link restore}. */
  copy(): StoreCopy {
    const { revision, historyStart, nextLease } = this;
    const leases = [...this.leases].map(
      ([lease, { milliseconds }]) => [lease, milliseconds] as const,
    );
    const held = {
      items: new Map(this.items),
      history: [...this.history],
      leases: new Map(leases),
    };
    return { ...held, revision, historyStart, nextLease };
  }

  /**
   * Restores the state from a copy: later writes are lost, and their revisions and leases are given out again. Waiting
   * watches are cut.
   *
   * @param copy - the state to restore.
   */
  restore(copy: StoreCopy): void {
    for (const waiter of [...this.waiters]) this.cut(waiter);
    for (const { timer } of this.leases.values()) clearTimeout(timer);
    this.era += 1;
    this.revision = copy.revision;
    this.history = [...copy.history];
    this.historyStart = copy.historyStart;
    this.nextLease = copy.nextLease;
    this.items.clear();
    for (const [key, item] of copy.items) this.items.set(key, item);
    this.leases.clear();
    for (const [lease, milliseconds] of copy.leases) {
      this.leases.set(lease, { milliseconds, timer: this.expiry(lease, milliseconds) });
    }
  }

  /**
   * Repeats the latest writes of operators and runners that the store has lost.
   *
   * @param prefix - prefix of the keys.
   */
  writeAgain(prefix = ''): void {
    for (const [key, content] of this.written) {
      const held = this.items.get(key)?.value;
      const isSame = content === undefined ? held === undefined : held === encode(content);
      if (key.startsWith(prefix) && !isSame) this.write(key, content);
    }
  }

  /**
   * Writes a key on behalf of an operator or a runner.
   *
   * @param key - the key.
   * @param content - the value, encoded as JSON; `undefined` removes the key.
   * @returns The new revision, ordered over restores as daemons know it.
   */
  write(key: string, content: unknown): number {
    this.written.set(key, content);
    if (content === undefined) this.remove(key);
    else this.put(key, encode(content), 0);
    this.wake();
    return orderedRevisionOf({ epoch: this.era, revision: this.revision });
  }

  /**
   * @param prefix - prefix of the keys.
   * @returns The keys with this prefix.
   */
  keys(prefix: string): string[] {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  private async take(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { pathname, searchParams } = new URL(request.url ?? '/', 'http://store');
    const name = `${request.method} ${pathname.replace(/\/\d+$/u, '')}`;
    this.calls.set(name, (this.calls.get(name) ?? 0) + 1);
    if (await this.isFaulty(request, response)) return;
    const text = await readBody(request);
    if (text === undefined) return;
    const body: unknown = text === '' ? {} : JSON.parse(text);
    const lease = Number(pathname.split('/').at(-1));
    if (name === 'GET /v1/kv-key') this.readKey(searchParams, response);
    else if (name === 'GET /v1/kv-range') this.range(searchParams, response);
    else if (name === 'GET /v1/kv-watch') this.watch(searchParams, response);
    else if (name === 'POST /v1/kv-txn') this.transact(body as Transaction, response);
    else if (name === 'POST /v1/kv-lease') this.grant(body as { ttl_ms: number }, response);
    else if (name === 'POST /v1/kv-keep') this.keep(lease, response);
    else if (name === 'DELETE /v1/kv-lease-end') this.end(lease, response);
    else this.answer(response, 404, {});
  }

  private async isFaulty(request: IncomingMessage, response: ServerResponse): Promise<boolean> {
    const fault = this.faults.of(request);
    if (fault === 'none') return false;
    if (fault === 'slow') await wait(SLOW_MILLISECONDS);
    if (fault === 'loses_answers') this.lost.add(response);
    if (fault === 'slow' || fault === 'loses_answers') return false;
    if (fault === 'reset') request.socket.resetAndDestroy();
    if (fault === 'busy') this.answer(response, 503, {});
    return true;
  }

  private answer(response: ServerResponse, status: number, body: unknown): void {
    if (this.lost.has(response)) {
      response.req.socket.resetAndDestroy();
      return;
    }
    response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': this.era });
    response.end(JSON.stringify(body));
  }

  private readKey(query: URLSearchParams, response: ServerResponse): void {
    const item = this.items.get(query.get('key') ?? '');
    this.answer(response, item ? 200 : 404, item ? this.seenAs(item, response.req) : {});
  }

  private range(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('path_prefix') ?? '';
    const after = query.get('after') ?? '';
    const keys = this.keys(prefix).filter((key) => key > after);
    const items = keys
      .slice(0, PAGE_ITEMS)
      .flatMap((key) => this.items.get(key) ?? [])
      .map((item) => this.seenAs(item, response.req));
    const truncated = keys.length > PAGE_ITEMS;
    this.answer(response, 200, { items, truncated, as_of: this.revision });
  }

  private watch(query: URLSearchParams, response: ServerResponse): void {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after'));
    if (after < this.historyStart || after > this.revision) {
      this.answer(response, 410, {});
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

  private finish(waiter: Waiter, events: readonly (StoreItem | Removal)[]): void {
    const { response } = waiter;
    clearTimeout(waiter.timer);
    this.waiters.delete(waiter);
    const seen = events.map((event) =>
      'removed' in event ? event : this.seenAs(event, response.req),
    );
    this.answer(response, 200, { events: seen, as_of: this.revision });
  }

  private forget(waiter: Waiter): void {
    clearTimeout(waiter.timer);
    this.waiters.delete(waiter);
  }

  private cut(waiter: Waiter): void {
    this.forget(waiter);
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
    const refusal = refusalOf(transaction);
    if (refusal !== undefined) {
      this.answer(response, refusal, {});
      return;
    }
    const failed = expected.filter(
      ({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision,
    );
    if (failed.length > 0) {
      const items = expected.map(({ key }) => this.items.get(key) ?? { key, revision: 0 });
      this.answer(response, 412, { items });
      return;
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) {
      this.answer(response, 404, {});
      return;
    }
    for (const { key, value, lease = 0 } of puts) this.put(key, value, lease);
    for (const key of deletes) this.remove(key);
    this.answer(response, 200, { revision: this.revision });
    this.wake();
  }

  private put(key: string, value: string, lease: number): void {
    this.revision += 1;
    const created = this.items.get(key)?.create_rev ?? this.revision;
    const item: StoreItem = { key, value, revision: this.revision, create_rev: created, lease };
    this.items.set(key, item);
    this.history.push(item);
  }

  private remove(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.history.push({ key, revision: this.revision, removed: true });
  }

  private grant({ ttl_ms: wanted }: { ttl_ms: number }, response: ServerResponse): void {
    const milliseconds = Math.min(wanted, LONGEST_LEASE_MILLISECONDS);
    const lease = this.nextLease;
    this.nextLease += 1;
    this.leases.set(lease, { milliseconds, timer: this.expiry(lease, milliseconds) });
    this.answer(response, 200, { lease, ttl_ms: milliseconds });
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
    this.answer(response, known ? 200 : 404, { ttl_ms: known?.milliseconds });
  }

  private end(lease: number, response: ServerResponse): void {
    const isKnown = this.leases.has(lease);
    this.lapse(lease);
    this.answer(response, isKnown ? 200 : 404, {});
  }
}
