/**
 * Log events of requests that crash runners, numbers 3100 to 3199.
 */
import { defineLogEvent } from '../logging/logEvent.js';

/** Each crash, and each request that is kept from runners. */
export const quarantineLogEvents = {
  runnerCrashed: defineLogEvent({
    number: 3100,
    name: 'quarantine.runner_crashed',
    level: 'warn',
    text: 'A runner ended while it had requests of this daemon; the digests name them.',
    operatorAction:
      'Look at the runner. A digest that comes with several runners names a request that crashes them.',
  }),
  requestQuarantined: defineLogEvent({
    number: 3101,
    name: 'quarantine.request_quarantined',
    level: 'error',
    text: 'Several runners have ended under a request, and none has answered it: it is sent to no more runners.',
    operatorAction:
      'Find its caller by the digest in lines 2601 and 2603. Once its cause is mended, release it at the metrics address.',
  }),
  requestReleased: defineLogEvent({
    number: 3102,
    name: 'quarantine.request_released',
    level: 'info',
    text: 'A request is sent to runners again: it was answered or released, or its time is over.',
    operatorAction: 'None.',
  }),
  keepingFailed: defineLogEvent({
    number: 3103,
    name: 'quarantine.keeping_failed',
    level: 'warn',
    text: 'The list of quarantined requests could not be written to the store, or what is there could not be read.',
    operatorAction: 'Look at the store, and at who writes there, if it goes on.',
  }),
  pullFailed: defineLogEvent({
    number: 3104,
    name: 'quarantine.pull_failed',
    level: 'warn',
    text: 'Another daemon could not be asked for its quarantined requests.',
    operatorAction: 'With many of them: look at the network between daemons.',
  }),
};
