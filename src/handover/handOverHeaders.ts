/**
 * Path and headers with which daemons hand requests over to each other.
 */

/** Path at the address for requests of other daemons. */
export const HAND_OVER_PATH = '/handover';

/** Set on a refusal: the daemon has not taken the request and another one should be asked; its value is the reason. */
export const REFUSED_HEADER = 'handover-refused';

/** Set on an error of a daemon that took the request and reached no runner, so that it has not run. */
export const UNREACHED_HEADER = 'handover-unreached';

/** Set on an error of a daemon whose runner broke off, so that the request may have run. */
export const BROKEN_HEADER = 'handover-broken';
