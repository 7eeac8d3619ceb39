/**
 * The daemon feature: settings of the daemon's name, location, addresses and log, and log events 1000 to 1099.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';

const HIGHEST_PORT = 65_535;

/** Long enough for the streams that are open at the start of a planned stop to finish. */
const SHUTDOWN_GRACE_MILLISECONDS = 60_000;

const NAME = /^[a-z0-9][a-z0-9.-]{0,62}$/u;

const ADDRESS = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/u;

const name = (text: string) =>
  z
    .string()
    .regex(NAME, 'has to be a name of lower-case letters, digits, dots and hyphens, at most 63')
    .describe(text);

const port = (text: string) =>
  z
    .int()
    .min(0)
    .max(HIGHEST_PORT)
    .default(0)
    .describe(`TCP port for ${text}; 0 takes any free one.`);

/** Settings of the daemon itself. */
export const daemonSettings = z.strictObject({
  id: name('Name of this daemon, unique over the fleet and kept over its restarts.'),
  firm: name('The firm that owns this daemon.'),
  region: name('The region, for example a city.'),
  dataCentre: name('The data centre, unique over all regions.'),
  host: z
    .union([z.ipv4(), z.ipv6()], 'has to be an IP number')
    .default('127.0.0.1')
    .describe('IP number at which callers, daemons and operators reach this daemon.'),
  callerPort: port('callers'),
  peerPort: port('other daemons'),
  operatorPort: port('operators'),
  seeds: z
    .array(z.string().regex(ADDRESS, 'has to be an IP number and a port, as in 10.0.0.1:7400'))
    .default([])
    .describe(
      'Addresses (IP number and peer port) of some other daemons, contacted at the start; two or three in each ' +
        'data centre are enough. Empty only for the first daemon of a fleet.',
    ),
  log: z
    .strictObject({
      format: z
        .enum(['json', 'pretty'])
        .default('json')
        .describe('`json`: one object a line, for machines; `pretty`: for a terminal.'),
      level: z
        .enum(['error', 'warn', 'info', 'debug'])
        .default('info')
        .describe('The least important level that is written.'),
    })
    .prefault({})
    .describe('The log.'),
  shutdownGraceMilliseconds: z
    .int()
    .min(0)
    .default(SHUTDOWN_GRACE_MILLISECONDS)
    .describe('How long a planned stop waits for requests in progress, in milliseconds.'),
});

/** Settings of the daemon itself, checked and with defaults. */
export type DaemonSettings = z.output<typeof daemonSettings>;

/** The program's own log events. */
export const daemonLogEvents = {
  started: defineLogEvent({
    number: 1000,
    name: 'daemon.started',
    level: 'info',
    text: 'The daemon has started; its addresses are in the fields.',
    operatorAction: 'None.',
  }),
  stopping: defineLogEvent({
    number: 1001,
    name: 'daemon.stopping',
    level: 'info',
    text: 'A planned stop has begun: new requests are refused, those in progress finish.',
    operatorAction: 'None; event 1002 reports the end.',
  }),
  stopped: defineLogEvent({
    number: 1002,
    name: 'daemon.stopped',
    level: 'info',
    text: 'The planned stop is complete.',
    operatorAction: 'None.',
  }),
  stopForced: defineLogEvent({
    number: 1003,
    name: 'daemon.stop_forced',
    level: 'warn',
    text: 'The grace period of a planned stop ended with requests in progress; they were cut off.',
    operatorAction: 'Raise daemon.shutdownGraceMilliseconds above the longest stream.',
  }),
  startFailed: defineLogEvent({
    number: 1004,
    name: 'daemon.start_failed',
    level: 'error',
    text: 'The daemon could not start.',
    operatorAction: 'Read the cause; usual ones are a port in use and an address of another host.',
  }),
  failed: defineLogEvent({
    number: 1005,
    name: 'daemon.failed',
    level: 'error',
    text: 'An exception or rejected promise was not handled by any part of the program.',
    operatorAction: 'Report it with this log line. The daemon continues to run.',
  }),
  logLinesDropped: defineLogEvent({
    number: 1010,
    name: 'daemon.log_lines_dropped',
    level: 'warn',
    text: 'The reader of the log was too slow, so log lines were dropped.',
    operatorAction: 'Check the reader of the log; the daemon itself is not blocked.',
  }),
};

/** The daemon feature, with its settings and log events. */
export const daemonFeature = defineFeature({
  name: 'daemon',
  settings: daemonSettings,
  logEvents: daemonLogEvents,
  checkSettings: (settings, report) => {
    const ports = ['callerPort', 'peerPort', 'operatorPort'] as const;
    for (const [index, one] of ports.entries()) {
      const same = ports.slice(0, index).find((other) => settings[other] === settings[one]);
      if (same && settings[one] !== 0) report([one], `is the same port as ${same}`);
    }
    for (const [index, seed] of settings.seeds.entries()) {
      if (settings.seeds.indexOf(seed) !== index) report(['seeds', index], `names ${seed} twice`);
    }
  },
});
