/**
 * Leases and orders to engines: settings and log events, numbers 1700 to 1799.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';
import { DEFAULT_LEASE_TIMINGS } from './leaseTimings.js';
import { DEFAULT_ROLLOUT_TIMINGS } from './rolloutTimings.js';

const DEFAULT_WEIGHT_BYTES_PER_SECOND = 1_000_000_000;
const DEFAULT_CONCURRENT_LOADS = 4;

const milliseconds = (standard: number, text: string) =>
  z.int().positive().default(standard).describe(`${text}, in milliseconds.`);

/** Settings of leases and orders. */
export const ordersSettings = z.strictObject({
  leaseTimeToLiveMilliseconds: milliseconds(
    DEFAULT_LEASE_TIMINGS.timeToLiveMilliseconds,
    'How long the platform keeps the lease of a pool without renewal; in this time each holder renews it three times and reads its key twice',
  ),
  longestOrderMilliseconds: milliseconds(
    DEFAULT_LEASE_TIMINGS.longestOrderMilliseconds,
    'Timeout of an order that is not answered; a new holder waits this long before it gives orders to engines that ignore fencing tokens',
  ),
  weightStoreBytesPerSecond: z
    .int()
    .positive()
    .default(DEFAULT_WEIGHT_BYTES_PER_SECOND)
    .describe(
      'Rate at which the weight store serves one data centre, in bytes per second; the engine pools of the data centre share it evenly.',
    ),
  weightStoreConcurrentLoads: z
    .int()
    .positive()
    .default(DEFAULT_CONCURRENT_LOADS)
    .describe('Maximum number of concurrent loads from the weight store in one data centre.'),
  longestDrainMilliseconds: milliseconds(
    DEFAULT_ROLLOUT_TIMINGS.longestDrainMilliseconds,
    'Requests in progress on a drained runner that last longer halt the roll-out; they are not aborted',
  ),
  longestSilenceMilliseconds: milliseconds(
    DEFAULT_ROLLOUT_TIMINGS.longestSilenceMilliseconds,
    'A runner that was drained for a roll-out and is unresponsive for this long halts it',
  ),
});

/** Settings of leases and orders, checked and with defaults. */
export type OrdersSettings = z.infer<typeof ordersSettings>;

/** Log events of leases and orders, by their names in the code. */
export const ordersLogEvents = {
  leaseAcquired: defineLogEvent({
    number: 1700,
    name: 'orders.lease_acquired',
    level: 'info',
    text: 'This daemon acquired the lease of a pool in its data centre.',
    operatorAction: 'None.',
  }),
  leaseHeld: defineLogEvent({
    number: 1701,
    name: 'orders.lease_held',
    level: 'info',
    text: 'This daemon holds the lease of a pool and may now give orders to its engines.',
    operatorAction: 'None.',
  }),
  leaseLost: defineLogEvent({
    number: 1702,
    name: 'orders.lease_lost',
    level: 'warn',
    text: 'This daemon no longer holds the lease of a pool; it gives no further orders.',
    operatorAction:
      'None for a single one. Many at once mean that the platform is unavailable: roll-outs pause, requests are still served.',
  }),
  leaseFailed: defineLogEvent({
    number: 1703,
    name: 'orders.lease_failed',
    level: 'info',
    text: 'An attempt to acquire a lease failed and will be retried.',
    operatorAction: 'None; see orders.lease_lost.',
  }),
  leaseUnsure: defineLogEvent({
    number: 1704,
    name: 'orders.lease_unsure',
    level: 'info',
    text: 'The answer to the write of a lease was lost; the key is read to find out whether the write took effect.',
    operatorAction: 'None.',
  }),
  leaseReleased: defineLogEvent({
    number: 1705,
    name: 'orders.lease_released',
    level: 'info',
    text: 'This daemon is stopping and released the lease of a pool.',
    operatorAction: 'None.',
  }),
  orderGiven: defineLogEvent({
    number: 1710,
    name: 'orders.given',
    level: 'info',
    text: 'An order was issued to an engine.',
    operatorAction: 'None.',
  }),
  orderEnded: defineLogEvent({
    number: 1711,
    name: 'orders.ended',
    level: 'info',
    text: 'An order to an engine ended, with or without an answer.',
    operatorAction:
      'None. After an unknown outcome the state of the engine is read and the order is repeated if needed.',
  }),
  orderLate: defineLogEvent({
    number: 1712,
    name: 'orders.late',
    level: 'warn',
    text: 'An order ended after its lease had expired; the engine may have received it alongside orders of the next holder.',
    operatorAction:
      'None; the next holder reads the engines and repeats its orders. If it happens often, find out why daemon processes are paused.',
  }),
  runnerFailed: defineLogEvent({
    number: 1713,
    name: 'orders.runner_failed',
    level: 'error',
    text: 'An engine did not reach the state that the configuration wants.',
    operatorAction: 'Check the engine; then resume the roll-out or roll it back.',
  }),
  runnerSilent: defineLogEvent({
    number: 1714,
    name: 'orders.runner_silent',
    level: 'warn',
    text: 'An engine did not report what it has loaded; if this lasts, it counts as unavailable.',
    operatorAction: 'None for a single one; if it lasts, check the instance.',
  }),
  runnerDiffers: defineLogEvent({
    number: 1715,
    name: 'orders.runner_differs',
    level: 'warn',
    text: 'An engine differs from what the configuration wants, and no roll-out is open.',
    operatorAction: 'Start a roll-out to the wanted version: `operator rollout start`.',
  }),
  runnersTaken: defineLogEvent({
    number: 1720,
    name: 'orders.runners_taken',
    level: 'info',
    text: 'A roll-out drained runners, returned runners to service, or both.',
    operatorAction: 'None.',
  }),
  rolloutHalted: defineLogEvent({
    number: 1721,
    name: 'orders.rollout_halted',
    level: 'error',
    text: 'A roll-out halted because of failures.',
    operatorAction: 'Read the reason; then `operator rollout resume` or `roll-back`.',
  }),
  dataCentreFinished: defineLogEvent({
    number: 1722,
    name: 'orders.data_centre_finished',
    level: 'info',
    text: 'A roll-out finished in one data centre.',
    operatorAction: 'None.',
  }),
  changeFailed: defineLogEvent({
    number: 1723,
    name: 'orders.change_failed',
    level: 'warn',
    text: 'A roll-out could not change the configuration; it retries with the newest configuration.',
    operatorAction: 'None; if it lasts, check whether the platform answers.',
  }),
} as const;

/** The feature of leases and orders, for registration in the program. */
export const ordersFeature = defineFeature({
  name: 'orders',
  settings: ordersSettings,
  logEvents: ordersLogEvents,
});
