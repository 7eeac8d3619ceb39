/**
 * Log events of the quarantine for requests that crash runners, numbers 3100 to 3199.
 */
import { defineLogEvent } from '../logging/logEvent.js';

/**
 * Events for crashes, for requests that enter or leave quarantine, and for failures to store or fetch the list.
 */
export const quarantineLogEvents = {
  runnerCrashed: defineLogEvent({
    number: 3100,
    name: 'quarantine.runner_crashed',
    level: 'warn',
    text: 'A runner crashed while it had requests of this daemon; the digests identify them, the parts are those of their prompts.',
    operatorAction:
      'Check the runner. A digest or part that appears with several runners identifies what crashes them.',
  }),
  requestQuarantined: defineLogEvent({
    number: 3101,
    name: 'quarantine.request_quarantined',
    level: 'error',
    text: 'Several runners have crashed while running a request, or requests with a part of their prompts, and none has answered: no more runners get it.',
    operatorAction:
      'Find its callers by the digest or the part in log events 2601 and 2603. Once the cause is fixed, release it at the metrics address.',
  }),
  requestReleased: defineLogEvent({
    number: 3102,
    name: 'quarantine.request_released',
    level: 'info',
    text: 'A request or part of prompts is no longer quarantined: it was answered or released, something else explains the crashes, or its quarantine has expired.',
    operatorAction: 'None.',
  }),
  keepingFailed: defineLogEvent({
    number: 3103,
    name: 'quarantine.keeping_failed',
    level: 'warn',
    text: 'The list of quarantined requests could not be written to the store, or the stored list could not be read.',
    operatorAction: 'If it persists, check the store and which clients write to it.',
  }),
  trialBegun: defineLogEvent({
    number: 3105,
    name: 'quarantine.trial_begun',
    level: 'info',
    text: 'A single request that is quarantined, or has a quarantined part, runs again to see whether runners still crash.',
    operatorAction: 'None. If its runner crashes, a line 3100 follows.',
  }),
  pullFailed: defineLogEvent({
    number: 3104,
    name: 'quarantine.pull_failed',
    level: 'warn',
    text: 'The list of quarantined requests could not be fetched from another daemon.',
    operatorAction: 'If there are many of them, check the network between daemons.',
  }),
};
