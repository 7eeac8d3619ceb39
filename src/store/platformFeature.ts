/**
 * Settings and log events, numbers 1800 to 1899, of the connection to the store, the platform's key-value service.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';

const milliseconds = (standard: number, text: string) =>
  z.int().positive().default(standard).describe(`${text}, in milliseconds.`);

/** Schema of the settings of the connection to the store. */
export const platformSettings = z.strictObject({
  addresses: z
    .array(z.url({ protocol: /^https?$/ }))
    .min(1)
    .default(['http://127.0.0.1:2379'])
    .describe("Addresses of the platform's key-value service; the next is tried when one fails."),
  connectTimeoutMilliseconds: milliseconds(1000, 'How long a connection may take to open'),
  callTimeoutMilliseconds: milliseconds(2000, 'How long one call may take'),
  pingIntervalMilliseconds: milliseconds(
    10_000,
    'After how long without data a connection is checked',
  ),
  pingTimeoutMilliseconds: milliseconds(3000, 'How long such a check may take'),
});

/** Settings of the connection to the store, with defaults filled in. */
export type PlatformSettings = z.infer<typeof platformSettings>;

/** Log events of the connection to the store. */
export const platformLogEvents = {
  unavailable: defineLogEvent({
    number: 1800,
    name: 'platform.unavailable',
    level: 'warn',
    text: "The platform's key-value service stopped answering this daemon.",
    operatorAction:
      'Requests are still served; changes of the configuration wait. Check the service if this lasts for minutes.',
  }),
  available: defineLogEvent({
    number: 1801,
    name: 'platform.available',
    level: 'info',
    text: "The platform's key-value service answers again.",
    operatorAction: 'None.',
  }),
  unsure: defineLogEvent({
    number: 1802,
    name: 'platform.unsure',
    level: 'info',
    text: 'The answer to a write was lost; the writer reads the entry to find out whether the write took effect.',
    operatorAction:
      'None; if it happens often, check the network between this daemon and the service.',
  }),
} as const;

/** The platform feature: the connection to the store. */
export const platformFeature = defineFeature({
  name: 'platform',
  settings: platformSettings,
  logEvents: platformLogEvents,
});
