/**
 * Route `GET /health`: reports whether this daemon accepts requests.
 */
import { CallerRoute } from './CallerRoute.js';
import type { Exchange } from './Exchange.js';

const OK = 200;
const UNAVAILABLE = 503;

/** Health check for process supervision and monitoring; callers use locate instead. */
export class HealthRoute extends CallerRoute {
  override readonly name = 'health';

  override readonly open = true;

  override readonly availableWhileDraining = true;

  override async answer(exchange: Exchange): Promise<void> {
    const { fleet, isDraining } = exchange.context;
    const configured = fleet.configurationRevision() > 0;
    const ready = configured && !isDraining();
    const unavailableState = isDraining() ? 'draining' : 'without_configuration';
    const document = { state: ready ? 'serving' : unavailableState };
    await exchange.sendJson(ready ? OK : UNAVAILABLE, document, { 'cache-control': 'no-store' });
  }
}
