/**
 * Log events of the messages between daemons, numbers 2800 to 2899.
 */
import { defineLogEvent } from '../logging/logEvent.js';

/** Failures only; regular messages are not logged. */
export const newsLogEvents = {
  failed: defineLogEvent({
    number: 2800,
    name: 'news.failed',
    level: 'warn',
    text: 'A message to or from another daemon could not be sent or read.',
    operatorAction:
      'None for single failures; many of them point to daemons of different versions or to a network fault.',
  }),
};
