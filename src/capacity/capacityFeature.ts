/**
 * Settings and log events (numbers 3200 to 3299) of placement and admission by the capacity of runners.
 */
import { z } from 'zod';

import { defineLogEvent } from '../logging/logEvent.js';

/** Schema of the settings, a section of those of the daemon. */
export const capacitySettings = z
  .strictObject({
    enabled: z
      .boolean()
      .default(true)
      .describe('Whether runners that state the speed of their instances are chosen by capacity.'),
  })
  .prefault({})
  .describe('Placement and admission by the capacity of runners.');

/** Log events about the capacity of runners. */
export const capacityLogEvents = {
  speedStated: defineLogEvent({
    number: 3200,
    name: 'capacity.speed_stated',
    level: 'info',
    text: 'Runners of a service state the speed of their instances; they are chosen by capacity from now on.',
    operatorAction: 'None; router.capacity.enabled switches it off.',
  }),
};
