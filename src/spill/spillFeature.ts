/**
 * Settings and log events (numbers 3400 to 3499) of spillover to other data centres.
 */
import { z } from 'zod';

import { defineLogEvent } from '../logging/logEvent.js';

/** Schema of the settings, a section of those of the daemon. */
export const spillSettings = z
  .strictObject({
    millisecondsPerHop: z
      .number()
      .min(0)
      .default(10)
      .describe('Time that a request has to gain by leaving its data centre, besides its bytes.'),
    millisecondsPerKilobyte: z
      .number()
      .min(0)
      .default(1)
      .describe('Time that it has to gain for each 1,000 bytes of the request and the answer.'),
    reservedShare: z
      .number()
      .min(0)
      .max(1)
      .default(0.25)
      .describe('Capacity that each data centre keeps for its own callers; 1 keeps all of it.'),
  })
  .prefault({})
  .describe('Requests that leave their data centre because its runners are too few.');

/** Settings of spillover, validated and with defaults filled in. */
export type SpillSettings = z.output<typeof spillSettings>;

/** Log events about requests that leave their data centre. */
export const spillLogEvents = {
  began: defineLogEvent({
    number: 3400,
    name: 'spill.began',
    level: 'info',
    text: 'Requests leave a data centre whose runners are busier than those of another one; the fields tell the mean backlogs.',
    operatorAction: 'If it recurs, add runners in the data centre that sends.',
  }),
  ended: defineLogEvent({
    number: 3401,
    name: 'spill.ended',
    level: 'info',
    text: 'Requests no longer leave the data centre for lack of room; the fields tell how many did.',
    operatorAction: 'None.',
  }),
};
