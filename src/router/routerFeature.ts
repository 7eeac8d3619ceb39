/**
 * Settings and log events (numbers 2500 to 2599) of a daemon that forwards requests directly to runners.
 */
import { z } from 'zod';

import { capacitySettings } from '../capacity/capacityFeature.js';
import { clientsSettings } from '../clients/clientsFeature.js';
import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';
import { spillSettings } from '../spill/spillFeature.js';
import type { DaemonEntry } from '../sync/FleetStore.js';

const ADDRESS = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/u;

const address = (text: string) =>
  z
    .string()
    .regex(ADDRESS, 'has to be an IP number and a port, as in 10.0.0.1:7400')
    .describe(`IP number and port ${text}.`);

/** Schema of the settings of a daemon that forwards requests directly to runners. */
export const routerSettings = z.strictObject({
  name: z.string().min(1).describe('Name of this daemon, unique in the fleet.'),
  region: z.string().min(1).describe('The region.'),
  dataCentre: z.string().min(1).describe('The data centre.'),
  dataCentreRegions: z
    .record(z.string(), z.string().min(1).describe('Name of its region.'))
    .default({})
    .describe('Region of each data centre by its name, this one too.'),
  addresses: z
    .strictObject({
      callers: address('for callers'),
      readiness: address('at which the platform asks whether this daemon is ready'),
      directory: address('at which callers ask where to connect'),
      peers: address('for questions of other daemons'),
      news: address('for datagrams of other daemons'),
      metrics: address('of the page of metrics'),
    })
    .describe('Where this daemon listens.'),
  seeds: z
    .array(address('of another daemon'))
    .default([])
    .describe('Addresses for daemons of a few others; asked while the store does not answer.'),
  store: address('of the platform’s store'),
  directoryLifeSeconds: z
    .number()
    .positive()
    .default(1.5)
    .describe('How long callers keep an answer of the directory.'),
  changeBoundsMilliseconds: z
    .array(z.int().positive())
    .min(1)
    .default([2_000])
    .describe('Times within which changes of the store have to be in force; the shortest counts.'),
  stopSeconds: z.number().positive().default(8).describe('Time that a planned stop may take.'),
  retryBudget: z
    .strictObject({
      // Retries that each request earns, and retries in a window that the whole fleet may send in addition to those.
      ratio: z.number().min(0).max(10).default(0.2).describe('Retries for each request.'),
      allowance: z.number().min(0).default(50).describe('Retries of all daemons besides.'),
      windowSeconds: z.number().positive().default(10).describe('Length of the window.'),
    })
    .prefault({})
    .describe('What all daemons together may send once more, for each service.'),
  clients: clientsSettings,
  capacity: capacitySettings,
  spill: spillSettings,
  // Bandwidth of the instance's network link; the daemons with the fastest links become coordinators of a large fleet.
  linkMegabits: z
    .number()
    .positive()
    .default(1_000)
    .describe('Of this instance, in Mbit/s; in a large fleet those with most of it coordinate.'),
  logLinesPerSecond: z
    .int()
    .min(1)
    .default(300)
    .describe('Lines of the log beyond this are left out and counted.'),
});

/** Settings of a daemon that forwards requests directly, validated and with defaults filled in. */
export type RouterSettings = z.output<typeof routerSettings>;

/**
 * @param settings - the settings of this daemon.
 * @param dataCentre - name of any data centre.
 * @returns Region of the data centre, or `undefined` if the settings do not list it.
 */
export function regionOfDataCentre(
  { dataCentre: own, region, dataCentreRegions }: RouterSettings,
  dataCentre: string,
): string | undefined {
  return dataCentre === own ? region : dataCentreRegions[dataCentre];
}

/**
 * @param settings - the settings of this daemon.
 * @returns The entry under which the daemon registers itself for the other daemons.
 */
export function daemonEntryOf({
  name,
  dataCentre,
  addresses,
  linkMegabits,
}: RouterSettings): DaemonEntry {
  const { callers: callerAddress, peers: peerAddress, news: newsAddress } = addresses;
  return { name, dataCentre, callerAddress, peerAddress, newsAddress, linkMegabits };
}

/** Log events about the start, the settings, the log and the stop of the daemon. */
export const routerLogEvents = {
  started: defineLogEvent({
    number: 2500,
    name: 'router.started',
    level: 'info',
    text: 'The daemon accepts connections.',
    operatorAction: 'None.',
  }),
  ready: defineLogEvent({
    number: 2501,
    name: 'router.ready',
    level: 'info',
    text: 'The daemon has the configuration and the list of runners, and is ready.',
    operatorAction: 'None.',
  }),
  stopping: defineLogEvent({
    number: 2502,
    name: 'router.stopping',
    level: 'info',
    text: 'A planned stop has begun: the daemon reports not ready, leaves the directory and finishes its requests.',
    operatorAction: 'None; wait for 2503.',
  }),
  stopped: defineLogEvent({
    number: 2503,
    name: 'router.stopped',
    level: 'info',
    text: 'The planned stop is complete.',
    operatorAction: 'None; if the field cut is above 0, raise router.stopSeconds.',
  }),
  settingsReloaded: defineLogEvent({
    number: 2504,
    name: 'router.settings_reloaded',
    level: 'info',
    text: 'The settings file was read again; the fields name what changed and what needs a restart.',
    operatorAction: 'Restart the daemon if a field needs it.',
  }),
  settingsRefused: defineLogEvent({
    number: 2505,
    name: 'router.settings_refused',
    level: 'error',
    text: 'The changed settings file is invalid or cannot be read; the previous settings stay in force.',
    operatorAction: 'Correct the findings in the fields.',
  }),
  failed: defineLogEvent({
    number: 2506,
    name: 'router.failed',
    level: 'error',
    text: 'An error reached the top of the program without being handled.',
    operatorAction: 'Report it with this log line. The daemon keeps running where it can.',
  }),
  linesLeftOut: defineLogEvent({
    number: 2507,
    name: 'router.lines_left_out',
    level: 'warn',
    text: 'More log lines were written than the settings allow; the fields count those left out.',
    operatorAction: 'None, or raise router.logLinesPerSecond.',
  }),
  linesDropped: defineLogEvent({
    number: 2508,
    name: 'router.lines_dropped',
    level: 'warn',
    text: 'The reader of the log did not keep up; the fields count the lines that were dropped.',
    operatorAction: 'Check the process that reads standard output on this instance.',
  }),
};

/** The feature of a daemon that forwards requests directly to runners. */
export const routerFeature = defineFeature({
  name: 'router',
  settings: routerSettings,
  logEvents: routerLogEvents,
});
