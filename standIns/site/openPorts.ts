/**
 * A process that repeatedly reserves ports and opens each a little later, as a daemon does. Prints how many of them
 * could not be opened.
 */
import { createServer } from 'node:net';
import type { Server } from 'node:net';

import { listen } from '../../src/http/listen.js';
import { freePort } from './freePort.js';

const [rounds = '', portsARound = '', lowest = '', end = ''] = process.argv.slice(2);

async function openAll(ports: readonly number[]): Promise<{ taken: number; servers: Server[] }> {
  const servers = ports.map(() => createServer());
  const openings = ports.map((port, index) =>
    listen(servers[index] as Server, { host: '127.0.0.1', port }),
  );
  const outcomes = await Promise.allSettled(openings);
  return { taken: outcomes.filter(({ status }) => status === 'rejected').length, servers };
}

let failures = 0;
for (let round = 0; round < Number(rounds); round += 1) {
  const asked = Array.from({ length: Number(portsARound) }, () =>
    freePort({ lowest: Number(lowest), end: Number(end) }),
  );
  const { taken, servers } = await openAll(await Promise.all(asked));
  failures += taken;
  for (const server of servers) server.close();
}
process.stdout.write(`${failures}\n`);
process.exit(0);
