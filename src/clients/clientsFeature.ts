/**
 * Settings and log events (numbers 3500 to 3599) of the limits for all clients of a process together.
 */
import { z } from 'zod';

import { defineLogEvent } from '../logging/logEvent.js';

/** Schema of the settings, a section of those of a daemon. */
export const clientsSettings = z
  .strictObject({
    memoryMegabytes: z
      .int()
      .positive()
      .optional()
      .describe('Memory of this instance; what the operating system states by default.'),
    descriptors: z
      .int()
      .positive()
      .optional()
      .describe('Descriptors of this process; what the operating system allows by default.'),
    maximumBytes: z
      .int()
      .positive()
      .optional()
      .describe('For connections, heads, bodies and unread answers; from the memory by default.'),
    maximumConnections: z
      .int()
      .positive()
      .optional()
      .describe('Connections of clients at all ports; from the descriptors by default.'),
    maximumUnreadAnswers: z
      .int()
      .positive()
      .default(16)
      .describe('Answers that clients have not read on with for a second; more are broken off.'),
  })
  .prefault({})
  .describe('Limits for all clients together.');

/** Limits for clients, validated and with defaults filled in. */
export type ClientsSettings = z.output<typeof clientsSettings>;

/** Log events about clients that a limit for all of them has stopped. */
export const clientsLogEvents = {
  limits: defineLogEvent({
    number: 3500,
    name: 'clients.limits',
    level: 'info',
    text: 'The limits for all clients of the process together, from its memory and its descriptors.',
    operatorAction: 'None; router.clients sets others.',
  }),
  stopped: defineLogEvent({
    number: 3501,
    name: 'clients.stopped',
    level: 'warn',
    text: 'A client was refused or cut off, so that the process keeps to its memory and its descriptors; the reason tells which limit was reached. At most 20 lines in 10 s; the counter client_stops has all.',
    operatorAction:
      'Look where the connections come from. If they are ordinary callers, add daemons or memory.',
  }),
};
