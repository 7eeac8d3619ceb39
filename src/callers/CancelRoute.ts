/**
 * Route `DELETE /v1/requests/{id}`: cancels a request in progress.
 */
import { requireAccount } from './requireAccount.js';
import { CallerError } from './CallerError.js';
import { CallerRoute } from './CallerRoute.js';
import type { Exchange } from './Exchange.js';
import { REQUESTS_PREFIX } from './matchRoute.js';

const ACCEPTED = 202;

/** Decodes a percent-encoded id; malformed encoding is returned as it is, and matches no request. */
function decodeRequestId(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}

/** Cancels a request that belongs to the caller's account. */
export class CancelRoute extends CallerRoute {
  override readonly name = 'cancel';

  override readonly availableWhileDraining = true;

  override readonly refersToEarlierRequest = true;

  override async answer(exchange: Exchange): Promise<void> {
    const account = requireAccount(exchange);
    const requestId = decodeRequestId(exchange.url?.pathname.slice(REQUESTS_PREFIX.length) ?? '');
    const known = await exchange.context.requests.cancel(account.name, requestId);
    if (!known) {
      throw new CallerError({
        code: 'unknown_resource',
        message: 'this daemon has no such request in progress',
        notRun: false,
      });
    }
    await exchange.sendJson(ACCEPTED, { request_id: requestId, cancelled: true });
  }
}
