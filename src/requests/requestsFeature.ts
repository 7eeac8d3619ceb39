/**
 * Settings and log events of the requests feature.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { DEFAULT_MAXIMUM_BUFFERED_BYTES } from './CallerEventQueue.js';
import { REQUEST_LOG_EVENTS } from './requestLogEvents.js';
import { DEFAULT_REQUEST_TIMINGS as TIMINGS } from './requestTimings.js';
import { DEFAULT_RETRY_BURST, DEFAULT_RETRY_RATIO } from './RetryBudget.js';

/** Maximum of the time settings below, in milliseconds: one hour. */
const MAXIMUM_MILLISECONDS = 3_600_000;

function milliseconds(fallback: number, description: string, minimum = 1) {
  return z
    .number()
    .int()
    .min(minimum)
    .max(MAXIMUM_MILLISECONDS)
    .default(fallback)
    .describe(`${description}, in milliseconds.`);
}

function count(fallback: number, maximum: number, description: string) {
  return z.number().int().min(1).max(maximum).default(fallback).describe(description);
}

/** Schema of the `requests` section. */
export const requestSettingsSchema = z.strictObject({
  homeTimeoutMilliseconds: milliseconds(
    TIMINGS.homeTimeoutMilliseconds,
    'How long the home of a chat is waited for before hash order decides alone',
  ),
  hopReserveMilliseconds: milliseconds(
    TIMINGS.hopReserveMilliseconds,
    'What each hop takes off the deadline that it passes on',
  ),
  maximumAttempts: count(
    TIMINGS.maximumAttempts,
    20,
    'How often one request is sent on in all: first, placement steps, retries and hedges together.',
  ),
  hedgeAfterMilliseconds: milliseconds(
    TIMINGS.hedgeAfterMilliseconds,
    'An idempotent request that has not started is sent a second time after this; 0 never does',
    0,
  ),
  resumePauseMilliseconds: milliseconds(
    TIMINGS.resumePauseMilliseconds,
    'Pause before the second resume of a broken stream; doubles from there',
  ),
  maximumResumePauseMilliseconds: milliseconds(
    TIMINGS.maximumResumePauseMilliseconds,
    'Longest pause between two resumes',
  ),
  maximumResumesInARow: count(
    TIMINGS.maximumResumesInARow,
    1_000,
    'Resumes without a new chunk before a stream counts as cut.',
  ),
  maximumResumes: count(TIMINGS.maximumResumes, 10_000, 'Resumes of one request in all.'),
  gateCheckMilliseconds: milliseconds(
    TIMINGS.gateCheckMilliseconds,
    'Silence after which the daemon of the gate is looked up in the membership',
  ),
  streamIdleMilliseconds: milliseconds(
    TIMINGS.streamIdleMilliseconds,
    'Silence of a started stream after which it is read anew',
  ),
  maximumBufferedBytes: z
    .number()
    .int()
    .min(1_024)
    .max(16_777_216)
    .default(DEFAULT_MAXIMUM_BUFFERED_BYTES)
    .describe('Bytes that wait for a slow caller before its stream is read no further.'),
  retryRatio: z
    .number()
    .min(0)
    .max(1)
    .default(DEFAULT_RETRY_RATIO)
    .describe('Retries that each request pays for, by client account and by pool.'),
  retryBurst: z
    .number()
    .int()
    .min(0)
    .max(10_000)
    .default(DEFAULT_RETRY_BURST)
    .describe('Retries that an account or a pool can save up.'),
  bindingLifetimeMilliseconds: milliseconds(
    120_000,
    'How long a binding is good, and the outcome of its request is remembered',
  ),
  maximumBindings: count(
    20_000,
    1_000_000,
    'Used bindings that are remembered at once; new ones are refused beyond.',
  ),
  maximumBindingsPerAccount: count(
    5_000,
    1_000_000,
    'Used bindings of one client account that are remembered at once.',
  ),
  maximumRememberedBytes: z
    .number()
    .int()
    .min(0)
    .max(16_777_216)
    .default(65_536)
    .describe('Bytes of one answer that are remembered with its outcome.'),
  maximumRememberedBytesInAll: z
    .number()
    .int()
    .min(0)
    .max(1_073_741_824)
    .default(33_554_432)
    .describe('Bytes of all remembered answers together.'),
});

/** Parsed `requests` section. */
export type RequestSettings = z.infer<typeof requestSettingsSchema>;

/** The requests feature. */
export const requestsFeature = defineFeature({
  name: 'requests',
  settings: requestSettingsSchema,
  logEvents: REQUEST_LOG_EVENTS,
});
