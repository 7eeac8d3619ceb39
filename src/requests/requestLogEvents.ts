/**
 * Log events 1600 to 1699, on the course of requests.
 */
import { defineLogEvent } from '../logging/logEvent.js';

/** Log events of the requests feature. */
export const REQUEST_LOG_EVENTS = {
  placed: defineLogEvent({
    number: 1600,
    name: 'requests.placed',
    level: 'info',
    text: 'A runner was chosen for a request; the line lists the runners that were passed over, with reasons.',
    operatorAction: 'None. Shows why a chat was placed on its runner.',
  }),
  nobody: defineLogEvent({
    number: 1601,
    name: 'requests.nobody',
    level: 'warn',
    text: 'No runner could be chosen for a request.',
    operatorAction:
      "Check the logged reasons: whether the service's runners are live, drained, or all tried.",
  }),
  refused: defineLogEvent({
    number: 1602,
    name: 'requests.refused',
    level: 'debug',
    text: 'A gate refused an attempt; it did not run.',
    operatorAction: 'None. Many in a row indicate an overloaded or failing pool.',
  }),
  lost: defineLogEvent({
    number: 1603,
    name: 'requests.lost',
    level: 'warn',
    text: 'The connection to a gate broke during an attempt.',
    operatorAction: 'Look for a dead daemon or a network partition between data centres.',
  }),
  resumed: defineLogEvent({
    number: 1604,
    name: 'requests.resumed',
    level: 'info',
    text: 'A broken stream is resumed after its last chunk.',
    operatorAction: 'None. Many in a row indicate a failing daemon or runner.',
  }),
  dropped: defineLogEvent({
    number: 1605,
    name: 'requests.dropped',
    level: 'warn',
    text: 'An event was dropped because it was late, repeated, out of order or of another attempt.',
    operatorAction:
      'With other_attempt: a runner mixes up the answers of different requests; drain it.',
  }),
  retryDenied: defineLogEvent({
    number: 1606,
    name: 'requests.retry_denied',
    level: 'warn',
    text: 'A request was not retried: the retry budget is spent, or the limit of attempts is reached.',
    operatorAction:
      'Find out why the pool fails; the retry budget keeps retries from adding to its load.',
  }),
  completed: defineLogEvent({
    number: 1607,
    name: 'requests.completed',
    level: 'info',
    text: 'A request completed with its full answer.',
    operatorAction: 'None.',
  }),
  failed: defineLogEvent({
    number: 1608,
    name: 'requests.failed',
    level: 'warn',
    text: 'A request ended without its full answer; the caller got the logged code.',
    operatorAction: 'Check the code and the earlier lines of the same request.',
  }),
  cancelled: defineLogEvent({
    number: 1609,
    name: 'requests.cancelled',
    level: 'debug',
    text: 'An attempt is cancelled at its gate and runner.',
    operatorAction: 'None.',
  }),
  cancelFailed: defineLogEvent({
    number: 1610,
    name: 'requests.cancel_failed',
    level: 'warn',
    text: 'An attempt could not be cancelled; it may run until its deadline.',
    operatorAction: 'None, unless the gate stays unreachable.',
  }),
  bindingIssued: defineLogEvent({
    number: 1620,
    name: 'requests.binding_issued',
    level: 'debug',
    text: 'A binding for a non-idempotent request was issued.',
    operatorAction: 'None.',
  }),
  bindingJoined: defineLogEvent({
    number: 1621,
    name: 'requests.binding_joined',
    level: 'info',
    text: 'A repeated non-idempotent request got the answer of its single run.',
    operatorAction: 'None.',
  }),
  bindingRefused: defineLogEvent({
    number: 1622,
    name: 'requests.binding_refused',
    level: 'warn',
    text: 'A non-idempotent request was not run: its binding is not valid here, has expired or was used for another request, or the ledger is full.',
    operatorAction:
      'With ledger_full: raise requests.maximumBindings, or find the account with too many requests.',
  }),
  bindingForwarded: defineLogEvent({
    number: 1623,
    name: 'requests.binding_forwarded',
    level: 'info',
    text: 'A bound request is forwarded to the one daemon that may run it.',
    operatorAction: 'None.',
  }),
  bindingUnreachable: defineLogEvent({
    number: 1624,
    name: 'requests.binding_unreachable',
    level: 'warn',
    text: 'The daemon that issued a binding has left or did not answer; the caller may not learn the outcome.',
    operatorAction:
      'Find out whether that daemon died; callers have to check which of their requests took effect.',
  }),
  paused: defineLogEvent({
    number: 1625,
    name: 'requests.paused',
    level: 'warn',
    text: 'This process was paused; the pause is subtracted from the deadlines of requests that may have waited.',
    operatorAction: 'Look for an overloaded or paused instance.',
  }),
} as const;
