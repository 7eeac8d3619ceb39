/**
 * Route `POST /locate/binding`: issues a binding, which a caller needs for one non-idempotent request.
 */
import { requireAccount } from './requireAccount.js';
import { CallerError } from './CallerError.js';
import { CallerRoute } from './CallerRoute.js';
import type { Exchange } from './Exchange.js';

const CREATED = 201;

/** Issues bindings to callers. */
export class BindingRoute extends CallerRoute {
  override readonly name = 'binding';

  override async answer(exchange: Exchange): Promise<void> {
    const { bindings, settings } = exchange.context;
    const issued = bindings.issue(requireAccount(exchange).name);
    if (!issued) {
      throw new CallerError({
        code: 'overloaded',
        message: 'this daemon takes no new bindings now; locate another',
        retryAfterMilliseconds: settings.overloadRetryAfterMilliseconds,
      });
    }
    const { token, address, expiresInMilliseconds } = issued;
    const document = { binding: token, address, expiresInMilliseconds };
    await exchange.sendJson(CREATED, document, { 'cache-control': 'no-store' });
  }
}
