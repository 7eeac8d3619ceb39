/**
 * Reports a finished request to the log and the metrics.
 */
import { CALLER_EVENTS } from './callersFeature.js';
import type { Exchange } from './Exchange.js';

function logEventOf(gone: boolean, code: string | undefined) {
  if (gone) return CALLER_EVENTS.callerGone;
  return code === undefined ? CALLER_EVENTS.answered : CALLER_EVENTS.refused;
}

/**
 * Writes the log line of a finished request and records its measurements.
 *
 * @param exchange - the finished request.
 */
export function reportExchange(exchange: Exchange): void {
  const { context, notes, response, clientAccount } = exchange;
  const durationMilliseconds = context.clock.monotonicMilliseconds() - exchange.startedAt;
  const status = response.headersSent ? response.statusCode : 0;
  const { route = 'unmatched', code, service, priority, firstByteAt } = notes;
  context.metrics.recordExchange({
    route,
    clientAccount: clientAccount?.name,
    service,
    priority,
    status,
    code,
    durationMilliseconds,
    firstByteMilliseconds: firstByteAt === undefined ? undefined : firstByteAt - exchange.startedAt,
  });
  context.log.write(logEventOf(exchange.signal.aborted, code), {
    requestId: exchange.requestId,
    route,
    clientAccount: clientAccount?.name,
    service,
    chat: notes.chat,
    priority,
    runnerId: notes.runnerId,
    status,
    code,
    durationMilliseconds: Math.round(durationMilliseconds),
  });
}
