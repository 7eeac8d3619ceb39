/**
 * Name of the authenticated caller, which handlers of the peer service read from their context.
 */
import type { HandlerContext } from '@connectrpc/connect';
import { createContextKey } from '@connectrpc/connect';

/** Context key for the name of the authenticated caller. */
export const peerIdentityKey = createContextKey('', { description: 'authenticated daemon' });

/**
 * Returns the name of the authenticated caller.
 *
 * @param context - the context of a call.
 * @returns The name of the daemon that signed the call; the message itself has no influence on it.
 */
export function peerIdentity(context: HandlerContext): string {
  return context.values.get(peerIdentityKey);
}
