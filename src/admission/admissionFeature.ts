/**
 * Log events (numbers 3300 to 3399) of admission control.
 */
import { defineLogEvent } from '../logging/logEvent.js';

/** Log events about requests that wait for capacity. */
export const admissionLogEvents = {
  overloadBegan: defineLogEvent({
    number: 3300,
    name: 'admission.overload_began',
    level: 'warn',
    text: 'The runners of a service cannot take all requests in time; the first request waits for capacity here.',
    operatorAction: 'If it lasts, add runners, or see which client account has grown.',
  }),
  overloadEnded: defineLogEvent({
    number: 3301,
    name: 'admission.overload_ended',
    level: 'info',
    text: 'No request waits for capacity any more; the fields tell for how long requests waited, and how many.',
    operatorAction: 'None.',
  }),
  coordinatorLost: defineLogEvent({
    number: 3302,
    name: 'admission.coordinator_lost',
    level: 'warn',
    text: 'A coordinator at which a request waited did not answer two repetitions; the daemon chooses by itself.',
    operatorAction: 'None; if it goes on, look at the coordinator.',
  }),
};
