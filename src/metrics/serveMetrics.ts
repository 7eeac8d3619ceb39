/**
 * Serves a daemon's metrics as text.
 */
import { createServer } from 'node:http';
import type { Server } from 'node:http';

import { listen } from '../http/listen.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { MetricRegistry } from './MetricRegistry.js';
import { formatScrapePage, SCRAPE_CONTENT_TYPE } from './scrapePage.js';

const OK = 200;

/**
 * @param registry - of the daemon.
 * @param address - where the page is.
 * @returns The server, once it listens.
 */
export async function serveMetrics(
  registry: MetricRegistry,
  address: HostAndPort,
): Promise<Server> {
  const server = createServer((_request, response) => {
    const page = formatScrapePage(registry.snapshot());
    response.writeHead(OK, { 'Content-Type': SCRAPE_CONTENT_TYPE }).end(page);
  });
  await listen(server, address);
  return server;
}
