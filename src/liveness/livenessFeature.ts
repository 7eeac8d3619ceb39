/**
 * Log events of the failure detector, numbers 3000 to 3099.
 */
import { defineLogEvent } from '../logging/logEvent.js';

/** Changes of who is alive. */
export const livenessLogEvents = {
  daemonsOut: defineLogEvent({
    number: 3000,
    name: 'liveness.daemons_out',
    level: 'warn',
    text: 'Daemons that the store still lists have died, do not answer, or have said that they stop; callers are not sent there.',
    operatorAction: 'Look at these daemons unless they were stopped as planned.',
  }),
  daemonsBack: defineLogEvent({
    number: 3001,
    name: 'liveness.daemons_back',
    level: 'info',
    text: 'Daemons that were out of use are heard again, or are listed no more.',
    operatorAction: 'None; if it comes and goes, look at the network between daemons.',
  }),
};
