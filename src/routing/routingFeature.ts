/**
 * Settings of the choice of runners. The choices are logged together with the request, whose owner knows the account
 * and the outcome; see `requests.placed`.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import {
  DEFAULT_MAXIMUM_ATTEMPTS,
  DEFAULT_MAXIMUM_WARM_WAIT_MILLISECONDS,
  DEFAULT_WAIT_MILLISECONDS_PER_CACHED_TOKEN,
} from './PlacementDecisions.js';

/**
 * Settings of the choice of runners. The load bound, the numbers of choices and the reuse weight are not here but in
 * the routing policies of the operators.
 */
export const routingSettings = z.strictObject({
  maximumAttempts: z
    .int()
    .min(1)
    .max(16)
    .default(DEFAULT_MAXIMUM_ATTEMPTS)
    .describe('Gates that one request asks at most; the last one queues it.'),
  waitMillisecondsPerCachedToken: z
    .number()
    .min(0)
    .max(100)
    .default(DEFAULT_WAIT_MILLISECONDS_PER_CACHED_TOKEN)
    .describe('How long to wait at a runner for each prompt token that is cached there, in ms.'),
  maximumWarmWaitMilliseconds: z
    .int()
    .min(0)
    .max(60_000)
    .default(DEFAULT_MAXIMUM_WARM_WAIT_MILLISECONDS)
    .describe('Longest wait at a warm runner that is preferred to a cold one, in ms.'),
});

/** Settings of the choice of runners, with defaults filled in. */
export type RoutingSettings = z.infer<typeof routingSettings>;

/** The feature of the choice of runners. */
export const routingFeature = defineFeature({
  name: 'routing',
  settings: routingSettings,
  logEvents: {},
});
