/**
 * Log events of the failure detector, numbers 3000 to 3099.
 */
import { defineLogEvent } from '../logging/logEvent.js';

/** Changes in the set of unavailable daemons. */
export const livenessLogEvents = {
  daemonsOut: defineLogEvent({
    number: 3000,
    name: 'liveness.daemons_out',
    level: 'warn',
    text: 'Daemons that the store still lists have become unavailable: they have died, do not answer, or are stopping. Callers are not sent to them.',
    operatorAction: 'Check these daemons, unless they were stopped as planned.',
  }),
  daemonsBack: defineLogEvent({
    number: 3001,
    name: 'liveness.daemons_back',
    level: 'info',
    text: 'Daemons that were unavailable have been heard again, or are no longer listed.',
    operatorAction: 'None; if it happens repeatedly, check the network between daemons.',
  }),
};
