/**
 * Returns the client account of an authenticated exchange.
 */
import type { ClientAccount } from '../generated/baobabdock/v1/configuration_pb.js';
import { CallerError } from './CallerError.js';
import type { Exchange } from './Exchange.js';

/**
 * Returns the client account of an exchange on a route that requires a key.
 *
 * @param exchange - an authenticated request.
 * @returns The account of the request.
 * @throws {@link CallerError} when the request was not authenticated. This would be a bug in the dispatcher; the
 *   check ensures that nothing runs without an account.
 */
export function requireAccount(exchange: Exchange): ClientAccount {
  if (exchange.clientAccount) return exchange.clientAccount;
  throw new CallerError({ code: 'unauthenticated', message: 'the key was not checked' });
}
