/**
 * The platform's stand-in as a process of the demo.
 *
 * `node --import tsx standIns/platform/platformMain.ts [--port 2379] [--administration-port 2380]`
 * prints one JSON line with its addresses when it is ready, and ends on SIGTERM.
 */
import { parseArgs } from 'node:util';

import { PlatformAdministration } from './PlatformAdministration.js';
import { PlatformStandIn } from './PlatformStandIn.js';

const { values } = parseArgs({
  options: {
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    'administration-port': { type: 'string', default: '0' },
  },
});

const standIn = new PlatformStandIn({ host: values.host, port: Number(values.port) });
const administration = new PlatformAdministration({
  standIn,
  host: values.host,
  port: Number(values['administration-port']),
});

const ready = {
  ready: true,
  address: await standIn.start(),
  administration: await administration.start(),
};
process.stdout.write(`${JSON.stringify(ready)}\n`);

async function stop(): Promise<void> {
  await administration.stop();
  await standIn.stop();
}

process.once('SIGTERM', stop);
process.once('SIGINT', stop);
