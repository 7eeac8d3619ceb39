/**
 * Distinguishes failed calls that were never sent from calls whose outcome is unknown.
 */
import { ConnectError } from '@connectrpc/connect';

/**
 * Thrown when no authenticated connection could be opened: no byte of the call can have reached the daemon, so the call
 * may be reported as "not run". It is the cause of the `ConnectError` that the call throws.
 */
export class PeerNotReachedError extends Error {
  /**
   * @param message - address of the daemon and the failure.
   * @param options - the underlying error as `cause`.
   */
  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = 'PeerNotReachedError';
  }
}

/**
 * Distinguishes a call that was never sent from one whose outcome is unknown. After a connection reset the outcome is
 * unknown, even if a keep-alive connection turned out to be closed: the other side may have read the call.
 *
 * @param error - the error that a call of a `PeerLink` threw.
 * @returns Whether it is certain that the daemon received nothing of the call.
 */
export function wasNeverSent(error: unknown): boolean {
  return error instanceof ConnectError && error.cause instanceof PeerNotReachedError;
}

/**
 * Distinguishes a daemon that is not running from one that cannot be reached: the host of the first one refuses the
 * connection because no process listens on the port.
 *
 * @param error - the error that a call of a `PeerLink` threw.
 * @returns Whether the host refused the connection.
 */
export function wasConnectionRefused(error: unknown): boolean {
  if (!wasNeverSent(error)) return false;
  const { cause } = (error as ConnectError).cause as PeerNotReachedError;
  return cause instanceof Error && 'code' in cause && cause.code === 'ECONNREFUSED';
}
