/**
 * Port through which the callers' interface obtains bindings. A non-idempotent request needs a
 * binding, which ensures that it runs at most once.
 */

/** A binding in the form that is sent to a caller. */
export interface IssuedBinding {
  /** Opaque signed token, valid for one request of the client account. */
  readonly token: string;
  /**
   * Caller address of the daemon that may run the request; other daemons forward the request to
   * it.
   */
  readonly address: string;
  /** How long the token is valid, in milliseconds. */
  readonly expiresInMilliseconds: number;
}

/** Issues bindings that only the current incarnation of this daemon can use. */
export abstract class BindingIssuer {
  /**
   * Issues a binding. This uses no memory: a binding is stored only from its first use on.
   *
   * @param clientAccount - the only client account that may use the binding.
   * @returns The binding, or `undefined` while this daemon issues none: it is leaving, or the
   *   ledger of used bindings is full. A full ledger refuses new bindings rather than drop one that
   *   is still valid.
   */
  abstract issue(clientAccount: string): IssuedBinding | undefined;
}
