/**
 * Settings and log events of the synchronization of the configuration; event numbers 1200 to 1299.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';
import { DEFAULT_SYNC_TIMING } from './SyncSchedule.js';

const milliseconds = (standard: number, text: string) =>
  z.int().positive().default(standard).describe(`${text}, in milliseconds.`);

/** Schema of the settings for synchronizing the configuration and the list of runners. */
export const configurationSettings = z.strictObject({
  watchersPerDataCentre: z
    .int()
    .min(1)
    .max(10)
    .default(2)
    .describe("Daemons in each data centre that hold a watch on the platform's store."),
  backOffBaseMilliseconds: milliseconds(
    DEFAULT_SYNC_TIMING.backOffBaseMilliseconds,
    "First back-off after a failure of the platform's store",
  ),
  backOffMaximumMilliseconds: milliseconds(
    DEFAULT_SYNC_TIMING.backOffMaximumMilliseconds,
    "Longest back-off after a failure of the platform's store",
  ),
  checkMilliseconds: milliseconds(
    DEFAULT_SYNC_TIMING.checkMilliseconds,
    'Interval between the reads by which a watcher verifies that its watch has missed nothing',
  ),
  runnersCheckMilliseconds: milliseconds(
    DEFAULT_SYNC_TIMING.runnersCheckMilliseconds,
    'Interval between these reads for the list of runners, which is read whole',
  ),
  pullSpreadMilliseconds: milliseconds(
    DEFAULT_SYNC_TIMING.pullSpreadMilliseconds,
    'Time over which daemons spread their pulls after learning of a newer revision',
  ),
  pullTimeoutMilliseconds: milliseconds(3000, 'Timeout of a pull from a peer'),
  historyChanges: z
    .int()
    .min(1000)
    .max(1_000_000)
    .default(20_000)
    .describe('Minimum number of changes that the history keeps.'),
});

/** Settings for synchronizing the configuration and the list of runners, with defaults filled in. */
export type ConfigurationSettings = z.infer<typeof configurationSettings>;

/** Log events of the configuration. */
export const configurationLogEvents = {
  applied: defineLogEvent({
    number: 1200,
    name: 'configuration.applied',
    level: 'info',
    text: 'A newer revision of a document is in force on this daemon.',
    operatorAction: 'None.',
  }),
  behindRefused: defineLogEvent({
    number: 1201,
    name: 'configuration.behind_refused',
    level: 'warn',
    text: 'A source offered an older revision of a document than the fleet has in force; it was not applied.',
    operatorAction:
      "Check whether the platform's store returns stale data or was restored from an older backup.",
  }),
  contentDiffers: defineLogEvent({
    number: 1202,
    name: 'configuration.content_differs',
    level: 'error',
    text: 'The content of a document does not match its digest, or differs from a peer at the same revision.',
    operatorAction:
      'None: the daemon fetches the whole document again. If it repeats, report a bug.',
  }),
  platformFailed: defineLogEvent({
    number: 1203,
    name: 'configuration.platform_failed',
    level: 'warn',
    text: "A watcher could not read or watch a document in the platform's store; it retries with back-off.",
    operatorAction:
      "None while peers serve new revisions; check the platform's store if it persists.",
  }),
  pullFailed: defineLogEvent({
    number: 1204,
    name: 'configuration.pull_failed',
    level: 'info',
    text: 'A pull of a document from a peer failed; another peer is tried.',
    operatorAction: 'None, unless the same peer is named repeatedly; then check that peer.',
  }),
  watchStarted: defineLogEvent({
    number: 1205,
    name: 'configuration.watch_started',
    level: 'info',
    text: "This daemon started to watch a document in the platform's store.",
    operatorAction: 'None.',
  }),
  watchStopped: defineLogEvent({
    number: 1206,
    name: 'configuration.watch_stopped',
    level: 'info',
    text: "This daemon stopped watching a document in the platform's store.",
    operatorAction: 'None.',
  }),
  snapshotWritten: defineLogEvent({
    number: 1207,
    name: 'configuration.snapshot_written',
    level: 'info',
    text: 'A snapshot of the configuration was written, so that starting daemons read fewer changes.',
    operatorAction: 'None.',
  }),
  snapshotFailed: defineLogEvent({
    number: 1208,
    name: 'configuration.snapshot_failed',
    level: 'warn',
    text: 'A snapshot of the configuration could not be written; the next change retries it.',
    operatorAction: "Check the platform's store if it repeats.",
  }),
  platformBehind: defineLogEvent({
    number: 1209,
    name: 'configuration.platform_behind',
    level: 'error',
    text: "The platform's store holds an older revision than this daemon has in force; changes are refused.",
    operatorAction:
      'If the store was restored from an older backup, have a daemon write its configuration back.',
  }),
  badInstance: defineLogEvent({
    number: 1210,
    name: 'configuration.bad_instance',
    level: 'warn',
    text: "An entry of the platform's list of instances is invalid and is skipped.",
    operatorAction: 'Correct the entry in the list of instances.',
  }),
} as const;

/** The configuration feature: its settings and log events. */
export const configurationFeature = defineFeature({
  name: 'configuration',
  settings: configurationSettings,
  logEvents: configurationLogEvents,
});
