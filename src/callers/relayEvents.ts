/**
 * Writes the events of a request into its answer, one at a time. The next event is requested only after the last
 * one is written to the caller, so that a slow caller slows down its runner instead of filling the memory.
 */
import { match } from 'ts-pattern';

import type { CallerEvent } from '../requests/requestTypes.js';
import type { AnswerWriter, StartedEvent } from './AnswerWriter.js';
import { CallerError, errorFromEvent } from './CallerError.js';
import { CallerDisconnected } from './CallerDisconnected.js';
import type { Exchange } from './Exchange.js';

const LOWEST_FINAL_STATUS = 200;
const HIGHEST_STATUS = 599;

/** Creates the answer once the status and headers of the runner are known. */
export type ChooseAnswer = (started: StartedEvent) => AnswerWriter;

function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= LOWEST_FINAL_STATUS && status <= HIGHEST_STATUS;
}

/** Creates the error for an answer of a runner without a valid status; the request has run. */
function unusableAnswerError(message: string): CallerError {
  return new CallerError({ code: 'upstream_error', message, notRun: false });
}

/** Writes the events of one request into one answer. */
class EventRelay {
  private readonly exchange: Exchange;

  private readonly choose: ChooseAnswer;

  private answer: AnswerWriter | undefined;

  ended = false;

  constructor(exchange: Exchange, choose: ChooseAnswer) {
    this.exchange = exchange;
    this.choose = choose;
  }

  handle(event: CallerEvent): Promise<void> {
    if (event.kind === 'chunk') {
      if (!this.answer)
        return this.fail(unusableAnswerError('the runner sent a body without a head'));
      return this.answer.writeChunk(event);
    }
    return match(event)
      .with({ kind: 'started' }, (started) => this.start(started))
      .with({ kind: 'completed' }, async () => {
        this.ended = true;
        if (!this.answer) return this.fail(unusableAnswerError('the runner ended without a head'));
        return this.answer.complete();
      })
      .with({ kind: 'failed' }, (failed) => this.fail(errorFromEvent(failed)))
      .exhaustive();
  }

  async fail(error: CallerError): Promise<void> {
    this.ended = true;
    if (this.answer) await this.answer.fail(error);
    else await this.exchange.sendError(error);
  }

  private async start(started: StartedEvent): Promise<void> {
    if (this.answer) return undefined;
    if (!isFinalStatus(started.status)) {
      return this.fail(unusableAnswerError(`the runner answered with status ${started.status}`));
    }
    this.exchange.note({ runnerId: started.runnerId });
    this.answer = this.choose(started);
    return undefined;
  }
}

/**
 * Answers a request with the events that its owner sends.
 *
 * @param exchange - the exchange to answer.
 * @param events - the events of the request, in order.
 * @param choose - creates the answer from the first event.
 * @throws {@link CallerDisconnected} when the caller has disconnected.
 */
export async function relayEvents(
  exchange: Exchange,
  events: AsyncIterable<CallerEvent>,
  choose: ChooseAnswer,
): Promise<void> {
  const relay = new EventRelay(exchange, choose);
  try {
    for await (const event of events) {
      await relay.handle(event);
      if (relay.ended) return;
    }
  } catch (error) {
    if (error instanceof CallerDisconnected) throw error;
    // The owner of the request must not throw. If it does, the request may already be running.
    const cause = error instanceof Error ? error : undefined;
    await relay.fail(
      new CallerError({
        code: 'outcome_unknown',
        message: 'the request broke inside the router',
        notRun: false,
        cause,
      }),
    );
    return;
  }
  await relay.fail(
    new CallerError({ code: 'outcome_unknown', message: 'the answer broke off', notRun: false }),
  );
}
