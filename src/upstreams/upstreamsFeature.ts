/**
 * Settings and log events of the connections to runners.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';

const milliseconds = z.number().int().positive();
const bytes = z.number().int().positive();

const settings = z.object({
  maximumSocketsPerRunner: z
    .number()
    .int()
    .positive()
    .default(512)
    .describe('Connections at once to one runner.'),
  connectTimeoutMilliseconds: milliseconds
    .default(1_000)
    .describe('Time for a connection to a runner to stand, in milliseconds.'),
  idleMilliseconds: milliseconds
    .default(10_000)
    .describe('Silence in a stream after which the runner counts as frozen, in milliseconds.'),
  callTimeoutMilliseconds: milliseconds
    .default(2_000)
    .describe('Time for a report, an order or a cancellation, in milliseconds.'),
  maximumAnswerBytes: bytes.default(33_554_432).describe('Largest answer of a runner, in bytes.'),
  maximumEventBytes: bytes
    .default(262_144)
    .describe('Largest server-sent event of a runner, in bytes.'),
  cacheTimeoutMilliseconds: milliseconds
    .default(30_000)
    .describe("Time for the export or import of a chat's KV cache, in milliseconds."),
  maximumCacheBytes: bytes
    .default(17_179_869_184)
    .describe('Largest KV cache of one chat that is moved, in bytes.'),
  attemptIdEcho: z
    .enum(['required', 'optional'])
    .default('optional')
    .describe('Whether plain services must echo the attempt id, or are checked only when they do.'),
  healthPath: z
    .string()
    .startsWith('/')
    .default('/health')
    .describe('Path at which a plain service answers 2xx while it works.'),
});

/** Settings of the connections to runners. */
export type UpstreamsSettings = z.output<typeof settings>;

/** Numbered events of this feature. */
export const upstreamsLogEvents = {
  attemptFailed: defineLogEvent({
    number: 1900,
    name: 'upstreams.attempt_failed',
    level: 'warn',
    text: 'An attempt at a runner failed without a complete answer.',
    operatorAction:
      'None for a single one: it is resumed or reported to the caller. If one runner causes many, inspect that runner.',
  }),
  crossedAnswer: defineLogEvent({
    number: 1901,
    name: 'upstreams.crossed_answer',
    level: 'error',
    text: 'A runner sent the answer of another attempt; the answer was dropped.',
    operatorAction:
      'Remove the runner from service and report the fault to its vendor: it mixes up its requests.',
  }),
  resumed: defineLogEvent({
    number: 1902,
    name: 'upstreams.resumed',
    level: 'info',
    text: 'A cut stream was resumed at its runner.',
    operatorAction:
      'None for a few. If there are many, check the network between this daemon and the runner.',
  }),
  reportFailed: defineLogEvent({
    number: 1903,
    name: 'upstreams.report_failed',
    level: 'debug',
    text: 'A runner did not return its load report or its cache events.',
    operatorAction: 'None; the gate ejects a runner that fails repeatedly and logs the ejection.',
  }),
};

/** The feature's registration. */
export const upstreamsFeature = defineFeature({
  name: 'upstreams',
  settings,
  logEvents: upstreamsLogEvents,
});
