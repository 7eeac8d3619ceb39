/**
 * Route `GET /v1/streams` with `Last-Event-ID`: resumes a stream, through any daemon.
 */
import { requireAccount } from './requireAccount.js';
import { CALLER_HEADERS } from './callerHeaders.js';
import { CallerRoute } from './CallerRoute.js';
import { EventStreamAnswer } from './EventStreamAnswer.js';
import type { Exchange } from './Exchange.js';
import { relayEvents } from './relayEvents.js';

/** Sends the events of a stream after the last one that the caller received. */
export class StreamsRoute extends CallerRoute {
  override readonly name = 'streams';

  override readonly refersToEarlierRequest = true;

  override async answer(exchange: Exchange): Promise<void> {
    const account = requireAccount(exchange);
    const { lastEventId } = exchange.headers;
    if (lastEventId === undefined && !exchange.findings.hasAny) {
      exchange.findings.add({ field: `header ${CALLER_HEADERS.lastEventId}` }, 'is missing');
    }
    exchange.checkFindings();
    const events = exchange.context.requests.resume(
      account.name,
      lastEventId ?? '',
      exchange.remainingMilliseconds(),
      exchange.signal,
    );
    await relayEvents(exchange, events, (started) => new EventStreamAnswer(exchange, started));
  }
}
