/**
 * Authenticates the requests of callers by the keys of their client accounts.
 */
import type { FleetView } from '../fleet/FleetView.js';
import type { ClientAccount } from '../generated/baobabdock/v1/configuration_pb.js';
import type { Log } from '../logging/Log.js';
import { accountNameOfKey, verifyKey } from './accountKeys.js';
import { CallerError } from './CallerError.js';
import { CALLER_EVENTS } from './callersFeature.js';

const BEARER = /^Bearer +(\S+)$/iu;

/** Retry-After sent while this daemon has no configuration yet, in milliseconds. */
const NO_CONFIGURATION_RETRY_MILLISECONDS = 1000;

/** Options of {@link AccountAuthentication}. */
export interface AccountAuthenticationOptions {
  fleet: FleetView;
  log: Log;
}

/** Maps an `Authorization` header to the client account whose key it carries. */
export class AccountAuthentication {
  private readonly fleet: FleetView;

  private readonly log: Log;

  /**
   * @param options - the fleet with the configured accounts, and the log for rejected keys.
   */
  constructor({ fleet, log }: AccountAuthenticationOptions) {
    this.fleet = fleet;
    this.log = log;
  }

  /**
   * Checks the `Authorization` header.
   *
   * @param authorization - the value of the header; `undefined` when the request has none.
   * @returns The account that the key belongs to.
   * @throws {@link CallerError} `unauthenticated`, or `not_run` while no configuration is known.
   */
  authenticate(authorization: string | undefined): ClientAccount {
    this.checkConfigured();
    const key = BEARER.exec(authorization ?? '')?.[1];
    const name = key === undefined ? undefined : accountNameOfKey(key);
    if (key === undefined || name === undefined) {
      throw this.unauthenticatedError('send the header "Authorization: Bearer <account>.<secret>"');
    }
    const account = this.fleet.clientAccount(name);
    const keyId = verifyKey(account?.keys, key);
    if (account && keyId !== undefined) return account;
    this.log.write(CALLER_EVENTS.unauthenticated, { accountKnown: account !== undefined });
    throw this.unauthenticatedError('the key is not valid');
  }

  /**
   * Rejects the request with a retriable error while no configuration is loaded. Without accounts a valid
   * key would look invalid, and its caller would discard it.
   */
  private checkConfigured(): void {
    if (this.fleet.configurationRevision() > 0) return;
    throw new CallerError({
      code: 'not_run',
      message: 'this daemon has no configuration yet',
      retryAfterMilliseconds: NO_CONFIGURATION_RETRY_MILLISECONDS,
    });
  }

  private unauthenticatedError(message: string): CallerError {
    return new CallerError({
      code: 'unauthenticated',
      message,
      headers: { 'www-authenticate': 'Bearer realm="baobabdock"' },
    });
  }
}
