/**
 * Route `POST /v1/chat/completions`: runs a chat request on a model engine.
 */
import type { AnswerWriter, StartedEvent } from './AnswerWriter.js';
import { BodyAnswer } from './BodyAnswer.js';
import { CallerError } from './CallerError.js';
import { CALLER_HEADERS } from './callerHeaders.js';
import { CallerRoute } from './CallerRoute.js';
import { derivedChatName } from './chatName.js';
import type { ChatRequest } from './chatRequest.js';
import { readChatRequest } from './chatRequest.js';
import { EventStreamAnswer } from './EventStreamAnswer.js';
import type { Exchange } from './Exchange.js';
import { headersForRunner } from './forwardedHeaders.js';
import { runRequest } from './runRequest.js';
import { findEngineService } from './serviceAccess.js';
import { requireAccount } from './requireAccount.js';

const OK = 200;

/** Not forwarded, because a compressed answer of an engine could not be split into its events. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set(['accept-encoding']);

const JSON_TYPE = /^application\/json\s*(?:;|$)/iu;
const EVENT_STREAM_TYPE = /^text\/event-stream\s*(?:;|$)/iu;

function checkMediaType({ request, findings }: Exchange): void {
  const type = request.headers['content-type'];
  if (type !== undefined && !JSON_TYPE.test(type)) {
    findings.add({ field: 'header content-type' }, 'must be application/json');
  }
  const encoding = request.headers['content-encoding'];
  if (encoding !== undefined && encoding !== 'identity') {
    findings.add(
      { field: 'header content-encoding' },
      'must not be set: bodies are read as they are',
    );
  }
}

function isEventStream(started: StartedEvent): boolean {
  if (started.status !== OK) return false;
  const type = started.headers.find(([name]) => name.toLowerCase() === 'content-type')?.[1];
  return type === undefined || EVENT_STREAM_TYPE.test(type);
}

/** Handles calls of model engines in the API format that their clients use. */
export class ChatCompletionsRoute extends CallerRoute {
  override readonly name = 'chat_completions';

  override async answer(exchange: Exchange): Promise<void> {
    const account = requireAccount(exchange);
    checkMediaType(exchange);
    const body = await exchange.readBody();
    const chatRequest = this.readRequest(exchange, body);
    const service = findEngineService(exchange.context.fleet, account, chatRequest.model);
    exchange.note({ service: service.name });
    const chat = exchange.headers.chat ?? derivedChatName(chatRequest.openingHash);
    // A caller that sent no chat name uses this one to locate the daemon for its next request.
    exchange.response.setHeader(CALLER_HEADERS.chat, chat);
    await runRequest(exchange, {
      account,
      service,
      chat,
      idempotent: true,
      promptTokens: chatRequest.promptTokens,
      maximumTokens: chatRequest.maximumTokens,
      headers: headersForRunner(exchange.request.rawHeaders, exchange.requestId, DROPPED_HEADERS),
      path: exchange.url?.pathname ?? '',
      body,
      streaming: chatRequest.streaming,
      choose: (started) => this.chooseAnswer(exchange, started, chatRequest.streaming),
    });
  }

  private readRequest(exchange: Exchange, body: Uint8Array): ChatRequest {
    const { defaultMaximumTokens } = exchange.context.settings;
    const chatRequest = readChatRequest(body, exchange.findings, defaultMaximumTokens);
    exchange.checkFindings();
    if (chatRequest) return chatRequest;
    throw new CallerError({ code: 'invalid_request', message: 'the body cannot be read' });
  }

  /** An engine may reject a streaming request with an ordinary answer, for example if the prompt is too long. */
  private chooseAnswer(
    exchange: Exchange,
    started: StartedEvent,
    streaming: boolean,
  ): AnswerWriter {
    if (streaming && isEventStream(started)) return new EventStreamAnswer(exchange, started);
    const holdBackBytes = exchange.context.settings.maximumBufferedAnswerBytes;
    return new BodyAnswer({ exchange, started, holdBackBytes });
  }
}
