/**
 * Route of plain services: forwards requests with their method, headers and body.
 */
import { requireAccount } from './requireAccount.js';
import { BodyAnswer } from './BodyAnswer.js';
import { CallerError } from './CallerError.js';
import { CallerRoute } from './CallerRoute.js';
import type { Exchange } from './Exchange.js';
import { headersForRunner } from './forwardedHeaders.js';
import { runRequest } from './runRequest.js';
import { findPlainService, findService, isIdempotentMethod } from './serviceAccess.js';

/**
 * Token count of a plain request. Loads are measured in tokens, which plain requests do not have. Each
 * request counts as one token, so that the load of a plain runner is its number of requests.
 */
const TOKENS_PER_REQUEST = 1;

/** Forwards a request to the service whose path prefix matches. */
export class PlainServiceRoute extends CallerRoute {
  override readonly name = 'plain';

  override async answer(exchange: Exchange): Promise<void> {
    const account = requireAccount(exchange);
    const { url, context } = exchange;
    const found = url && findPlainService(context.fleet, url.pathname);
    if (!found) {
      throw new CallerError({
        code: 'unknown_resource',
        message: 'no service has a prefix of this path',
      });
    }
    const service = findService(context.fleet, account, found.name);
    exchange.note({ service: service.name });
    exchange.checkFindings();
    const body = await exchange.readBody();
    await runRequest(exchange, {
      account,
      service,
      // A request without a chat is placed by its own id, which spreads such requests over the runners.
      chat: exchange.headers.chat ?? exchange.requestId,
      idempotent: isIdempotentMethod(service, exchange.method),
      promptTokens: 0,
      maximumTokens: TOKENS_PER_REQUEST,
      headers: headersForRunner(exchange.request.rawHeaders, exchange.requestId),
      // The path keeps the prefix, so that links, redirects and cookie paths in the answer stay valid.
      path: `${url.pathname}${url.search}`,
      body,
      streaming: false,
      choose: (started) => new BodyAnswer({ exchange, started }),
    });
  }
}
