/**
 * Runs single runs of the routing measurement in a thread of its own; it gets options and posts figures.
 */
import { parentPort } from 'node:worker_threads';

import { RoutingRun } from './RoutingRun.js';
import type { RoutingRunOptions } from './routingRunOptions.js';

parentPort?.on('message', (options: RoutingRunOptions) => {
  parentPort?.postMessage(new RoutingRun(options).run());
});
