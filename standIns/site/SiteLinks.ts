/**
 * Links of the daemons that run in this process: each daemon reaches the store and the runners over a link of its own,
 * so that its path to the runners can be lost while all others work.
 */
import type { IncomingMessage } from 'node:http';

import { Link } from '../link/Link.js';
import type { LinkSide, Severance } from '../link/linkTypes.js';
import type { SiteRunner } from './SiteRunner.js';
import type { StoreItem } from './StoreStandIn.js';

const RUNNER_KEY = /^servers\/(.+)$/u;

/** The link of one daemon, and the addresses at which the daemon sees the runners. */
class SiteLink {
  readonly ownHost: string;

  private readonly link: Link;

  private readonly opened = new Map<number, (port: number) => void>();

  private readonly addresses = new Map<string, string>();

  private nextId = 0;

  /**
   * @param index - number of the daemon in the site.
   */
  constructor(index: number) {
    this.ownHost = `127.0.3.${index + 1}`;
    const hosts = { ownHost: this.ownHost, fillerHost: `127.0.4.${index + 1}` };
    this.link = new Link(hosts, ({ id, port }) => this.opened.get(id)?.(port));
  }

  /** @returns The address at which the daemon reaches the target. */
  async open(side: LinkSide, target: string): Promise<string> {
    this.nextId += 1;
    const id = this.nextId;
    const port = await new Promise<number>((done) => {
      this.opened.set(id, done);
      this.link.take({ kind: 'open', id, side, target });
    });
    return `127.0.0.1:${port}`;
  }

  async openRunner({ id, ownAddress }: SiteRunner): Promise<void> {
    this.addresses.set(id, await this.open('runners', ownAddress));
  }

  addressOf(runnerId: string): string | undefined {
    return this.addresses.get(runnerId);
  }

  closeRunner(runnerId: string): void {
    const port = Number(this.addresses.get(runnerId)?.split(':')[1]);
    this.link.take({ kind: 'close', port });
    this.link.take({ kind: 'reset', side: 'runners' });
  }

  sever(how: Severance): void {
    this.link.take({ kind: 'sever', side: 'runners', how });
  }

  rejoin(): void {
    this.link.take({ kind: 'rejoin', side: 'runners' });
  }

  close(): Promise<void> {
    return this.link.close();
  }
}

/** All links of a site, by the names of their daemons. */
export class SiteLinks {
  private readonly links = new Map<string, SiteLink>();

  /**
   * @param name - name of the daemon.
   * @param store - address of the store.
   * @param runners - the runners that are listed already.
   * @returns The address at which the daemon reaches the store.
   */
  async add(name: string, store: string, runners: readonly SiteRunner[]): Promise<string> {
    const link = new SiteLink(this.links.size);
    this.links.set(name, link);
    await Promise.all(runners.map((runner) => link.openRunner(runner)));
    return link.open('store', store);
  }

  /**
   * @param runner - a runner that is about to be listed.
   */
  async addRunner(runner: SiteRunner): Promise<void> {
    await Promise.all([...this.links.values()].map((link) => link.openRunner(runner)));
  }

  /**
   * @param name - name of the daemon whose path to all runners is lost.
   * @param how - what that does to connections.
   */
  sever(name: string, how: Severance): void {
    this.links.get(name)?.sever(how);
  }

  /**
   * @param name - name of the daemon whose path to one runner is lost for good; new connections are refused.
   * @param runnerId - id of the runner.
   */
  closeRunner(name: string, runnerId: string): void {
    this.links.get(name)?.closeRunner(runnerId);
  }

  /**
   * @param name - name of the daemon whose path to the runners is back.
   */
  rejoin(name: string): void {
    this.links.get(name)?.rejoin();
  }

  /**
   * @param item - an item of the store.
   * @param request - the call that reads it.
   * @returns The item as the calling daemon sees it: a runner has an address of the daemon's own link.
   */
  seenAs(item: StoreItem, { socket }: IncomingMessage): StoreItem {
    const [, id = ''] = RUNNER_KEY.exec(item.key) ?? [];
    const link = [...this.links.values()].find(({ ownHost }) => ownHost === socket.remoteAddress);
    const address = link?.addressOf(id);
    if (address === undefined) return item;
    const entry = JSON.parse(Buffer.from(item.value, 'base64').toString()) as object;
    const value = Buffer.from(JSON.stringify({ ...entry, address })).toString('base64');
    return { ...item, value };
  }

  /**
   * @param names - names of daemons.
   * @returns Whether a call comes from one of them.
   */
  comesFrom(names: readonly string[]): (request: IncomingMessage) => boolean {
    const hosts = new Set(names.map((name) => this.links.get(name)?.ownHost));
    return ({ socket }) => hosts.has(socket.remoteAddress);
  }

  /** Closes all links. */
  async close(): Promise<void> {
    await Promise.all([...this.links.values()].map((link) => link.close()));
  }
}
