/**
 * A plain service stand-in as a process of its own, for the demo and for tests with processes.
 *
 * @example
 * ```sh
 * node --import tsx standIns/runners/plainMain.ts --name sample-warehouse-1 --port 0
 * ```
 */
import { parseArgs } from 'node:util';

import { readNumber, runUntilStopped } from './mainOptions.js';
import { PlainStandIn } from './PlainStandIn.js';

const { values } = parseArgs({
  options: {
    name: { type: 'string', default: 'plain' },
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    'work-milliseconds': { type: 'string', default: '2' },
    'without-echo': { type: 'boolean', default: false },
  },
});

await runUntilStopped(
  new PlainStandIn({
    host: values.host,
    port: readNumber(values.port, 'port'),
    workMilliseconds: readNumber(values['work-milliseconds'], 'work-milliseconds'),
    echoesAttemptId: !values['without-echo'],
  }),
  values.name,
);
