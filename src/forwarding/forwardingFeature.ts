/**
 * Log events of the forwarding path, numbers 2600 to 2699.
 */
import { defineLogEvent } from '../logging/logEvent.js';

/** The events by which a request can be followed from its id to its cause. */
export const forwardingLogEvents = {
  answered: defineLogEvent({
    number: 2600,
    name: 'forwarding.answered',
    level: 'info',
    text: 'A caller got a runner’s whole answer.',
    operatorAction: 'None.',
  }),
  notServed: defineLogEvent({
    number: 2601,
    name: 'forwarding.not_served',
    level: 'warn',
    text: 'A caller got an error of the daemon, or an answer that was cut.',
    operatorAction: 'Read the reason, then the lines 2603 with the same request.',
  }),
  callerLeft: defineLogEvent({
    number: 2602,
    name: 'forwarding.caller_left',
    level: 'info',
    text: 'A caller left before its answer was complete; its attempts were broken off.',
    operatorAction: 'None; many of them mean that answers are too slow for callers.',
  }),
  attemptFailed: defineLogEvent({
    number: 2603,
    name: 'forwarding.attempt_failed',
    level: 'warn',
    text: 'One runner did not answer a request; the fields say how, and what was decided.',
    operatorAction:
      'Many with one runner: look at that runner. Many with all: look at the network.',
  }),
  hedged: defineLogEvent({
    number: 2604,
    name: 'forwarding.hedged',
    level: 'info',
    text: 'A request that may be repeated was sent to a second runner because the first is slow.',
    operatorAction: 'None; many with one runner mean that it is slow.',
  }),
  runnersError: defineLogEvent({
    number: 2611,
    name: 'forwarding.runners_error',
    level: 'info',
    text: 'A runner answered a request with an error of its own; the fields say whether another one is asked.',
    operatorAction:
      'Many with one runner: look at that runner. Many with `budget_empty`: the service fails broadly.',
  }),
  runnerPaused: defineLogEvent({
    number: 2605,
    name: 'forwarding.runner_paused',
    level: 'warn',
    text: 'A runner fails requests and is left alone for a while.',
    operatorAction: 'Look at the runner; it is tried again by itself.',
  }),
  rejected: defineLogEvent({
    number: 2606,
    name: 'forwarding.rejected',
    level: 'info',
    text: 'A request was refused before any runner was chosen: no route, no valid key, too large, or not ready.',
    operatorAction: 'Many with one reason: look at callers, or at why the daemon is not ready.',
  }),
  linkSuspected: defineLogEvent({
    number: 2607,
    name: 'forwarding.link_suspected',
    level: 'warn',
    text: 'Several runners accept no connection at the same time: the daemon’s own link may be full or cut, so that no runner is given up for its silence.',
    operatorAction:
      'Look at the link of this instance; a large configuration fills a slow one for a second.',
  }),
  pauseAsked: defineLogEvent({
    number: 2609,
    name: 'forwarding.pause_asked',
    level: 'info',
    text: 'A runner has refused a request and wants none from this daemon for a while.',
    operatorAction: 'Many with one runner: it is overloaded or starts slowly.',
  }),
  askedPauseCorrected: defineLogEvent({
    number: 2610,
    name: 'forwarding.asked_pause_corrected',
    level: 'warn',
    text: 'A runner has asked for a pause that cannot be read or is too long; a shorter one is kept.',
    operatorAction: 'Look at what the runner sends as Retry-After.',
  }),
  linkSound: defineLogEvent({
    number: 2608,
    name: 'forwarding.link_sound',
    level: 'info',
    text: 'A runner accepted a connection again after the daemon’s own link had been suspected.',
    operatorAction: 'None.',
  }),
};
