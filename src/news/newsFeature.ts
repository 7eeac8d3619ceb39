/**
 * Log events of what daemons tell each other all the time, numbers 2800 to 2899.
 */
import { defineLogEvent } from '../logging/logEvent.js';

/** Only what is out of the ordinary. */
export const newsLogEvents = {
  failed: defineLogEvent({
    number: 2800,
    name: 'news.failed',
    level: 'warn',
    text: 'A message to or from another daemon could not be sent or read.',
    operatorAction: 'None for single ones; many of them mean a mixed fleet or a wrong network.',
  }),
};
