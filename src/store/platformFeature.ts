/**
 * The platform's key-value service: its settings and its log events, numbers 1800 to 1899.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';

const milliseconds = (standard: number, text: string) =>
  z.int().positive().default(standard).describe(`${text}, in milliseconds.`);

/** Settings of the connection to the platform. */
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

/** Settings of the connection to the platform, with defaults filled in. */
export type PlatformSettings = z.infer<typeof platformSettings>;

/** Events of the platform's store. */
export const platformLogEvents = {
  unavailable: defineLogEvent({
    number: 1800,
    name: 'platform.unavailable',
    level: 'warn',
    text: "The platform's key-value service stopped answering this daemon.",
    operatorAction:
      'Requests go on. Changes of configuration wait. Look at the platform if this lasts for minutes.',
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
    text: 'The answer to a write was lost; its author reads back whether it took effect.',
    operatorAction: 'None; when frequent, look at the network to the platform.',
  }),
} as const;

/** The platform feature. */
export const platformFeature = defineFeature({
  name: 'platform',
  settings: platformSettings,
  logEvents: platformLogEvents,
});
