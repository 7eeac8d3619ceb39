/**
 * The thread of one daemon's link.
 */
import { parentPort, workerData } from 'node:worker_threads';

import { Link } from './Link.js';
import type { LinkCommand, LinkData, LinkOpened } from './linkTypes.js';
import { watchLateness } from './watchLateness.js';

const link = new Link(workerData as LinkData, (opened: LinkOpened) => {
  parentPort?.postMessage(opened);
});

watchLateness((lateMilliseconds) => parentPort?.postMessage({ lateMilliseconds }));

parentPort?.on('message', (command: LinkCommand) => link.take(command));
