/**
 * Serves a daemon's scrape page over HTTP.
 */
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';

import { listen } from '../http/listen.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { MetricRegistry } from './MetricRegistry.js';
import { formatScrapePage, SCRAPE_CONTENT_TYPE } from './scrapePage.js';

const OK = 200;

/**
 * Serves the metrics at each path that has no handler of its own.
 *
 * @param registry - the metrics of the daemon.
 * @param address - the address to listen at.
 * @param handlers - handlers of further pages, by the first segment of their path, such as `/quarantine`.
 * @returns The server, once it listens.
 */
export async function serveMetrics(
  registry: MetricRegistry,
  address: HostAndPort,
  handlers: ReadonlyMap<string, RequestListener> = new Map(),
): Promise<Server> {
  const server = createServer((request, response) => {
    const [, folder = ''] = (request.url ?? '').split('/');
    const handler = handlers.get(`/${folder}`);
    if (handler) {
      handler(request, response);
      return;
    }
    const page = formatScrapePage(registry.snapshot());
    response.writeHead(OK, { 'Content-Type': SCRAPE_CONTENT_TYPE }).end(page);
  });
  await listen(server, address);
  return server;
}
