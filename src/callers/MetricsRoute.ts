/**
 * Route `GET /metrics`: the metrics page, if the settings enable it on the callers' port.
 */
import { CallerError } from './CallerError.js';
import { CallerRoute } from './CallerRoute.js';
import type { Exchange } from './Exchange.js';

const OK = 200;

/** Sends the page that `CallerMetrics` renders. */
export class MetricsRoute extends CallerRoute {
  override readonly name = 'metrics';

  override readonly open = true;

  override readonly availableWhileDraining = true;

  override async answer(exchange: Exchange): Promise<void> {
    const { settings, metrics } = exchange.context;
    const page = settings.serveMetrics ? metrics.renderPage() : undefined;
    if (!page) throw new CallerError({ code: 'unknown_resource', message: 'no metrics here' });
    await exchange.send(OK, Buffer.from(page.text), { 'content-type': page.contentType });
  }
}
