/**
 * The `failed` events that callers of non-idempotent requests get when this daemon ran nothing
 * for them.
 *
 * For a request with a binding, "not run" is a statement about the binding, and only the ledger
 * of the daemon that issued it can make it: a copy of the request may have arrived by another
 * way. All other failures have `notRun: false`.
 */
import type { IssuedBinding } from './BindingIssuer.js';
import type { CallerEvent } from './requestTypes.js';

type Failed = Extract<CallerEvent, { kind: 'failed' }>;

/**
 * @param binding - the binding that was issued for the account.
 * @returns The answer to a non-idempotent request without a binding; the request did not run.
 */
export function bindingRequired({ token, address }: IssuedBinding): Failed {
  return {
    kind: 'failed',
    code: 'binding_required',
    notRun: true,
    message: 'A request that is not idempotent needs a binding; send it again with this one.',
    binding: { token, address },
  };
}

/**
 * @param leaving - whether the daemon is leaving; otherwise its ledger is full.
 * @param retryAfterMilliseconds - when the caller may retry, in milliseconds.
 * @returns The answer to a request without a binding when none can be issued; the request did not
 *   run.
 */
export function bindingUnavailable(leaving: boolean, retryAfterMilliseconds: number): Failed {
  return {
    kind: 'failed',
    code: leaving ? 'draining' : 'overloaded',
    notRun: true,
    message: leaving ? 'This daemon is leaving.' : 'This daemon takes no new bindings now.',
    retryAfterMilliseconds,
  };
}

/**
 * @param message - why the outcome is unknown.
 * @returns The answer when it is not known whether the request ran.
 */
export function outcomeUnknown(message: string): Failed {
  return { kind: 'failed', code: 'outcome_unknown', notRun: false, message };
}

/** @returns The answer to a binding token that is malformed or was not signed by this fleet. */
export function invalidBinding(): Failed {
  return {
    kind: 'failed',
    code: 'invalid_request',
    notRun: false,
    message: 'The binding is malformed or not of this fleet; this copy of the request was not run.',
  };
}

/** @returns The answer to a binding that was issued to another client account. */
export function bindingOfOtherAccount(): Failed {
  return {
    kind: 'failed',
    code: 'forbidden',
    notRun: true,
    message: 'The binding was issued to another client account.',
  };
}

/**
 * @returns The answer when the binding was used for another request; this request never runs
 *   under it.
 */
export function bindingUsedByOtherRequest(): Failed {
  return {
    kind: 'failed',
    code: 'invalid_request',
    notRun: true,
    message: 'The binding was already used for another request.',
  };
}

/**
 * @param retryAfterMilliseconds - when the next entry of the ledger expires, in milliseconds.
 * @returns The answer when the ledger is full. The binding stays valid, so another copy of the
 *   request may still run.
 */
export function ledgerFull(retryAfterMilliseconds: number): Failed {
  return {
    kind: 'failed',
    code: 'overloaded',
    notRun: false,
    message: 'Too many bindings are in use; repeat with the same binding.',
    retryAfterMilliseconds,
  };
}
