/**
 * Passes a validated request to its owner and relays the answer.
 */
import type { ClientAccount, Service } from '../generated/baobabdock/v1/configuration_pb.js';
import type { CallerRequest } from '../requests/requestTypes.js';
import { CallerError } from './CallerError.js';
import { qualifiedChatName } from './chatName.js';
import type { Exchange } from './Exchange.js';
import type { HeaderList } from '../http/connectionHeaders.js';
import type { ChooseAnswer } from './relayEvents.js';
import { relayEvents } from './relayEvents.js';
import { limitPriority } from './serviceAccess.js';

/** Details of a request that its route determines. */
export interface RunRequestOptions {
  account: ClientAccount;
  service: Service;
  /** Name of the chat within the account. */
  chat: string;
  /** Whether the request is idempotent; the caller's header overrides this. */
  idempotent: boolean;
  promptTokens: number;
  maximumTokens: number;
  path: string;
  /** Headers to forward to the runner. */
  headers: HeaderList;
  body: Uint8Array;
  streaming: boolean;
  choose: ChooseAnswer;
}

/**
 * Runs a request. Its owner gets the time that is left of the caller's deadline after the body was read.
 *
 * @param exchange - the validated exchange.
 * @param options - the details that the route determined.
 * @throws `CallerError` when the deadline has passed, `CallerDisconnected` when the caller has disconnected.
 */
export async function runRequest(exchange: Exchange, options: RunRequestOptions): Promise<void> {
  const { account, service, chat, choose, idempotent, ...rest } = options;
  const priority = limitPriority(account, exchange.headers.priority);
  exchange.note({ priority, chat });
  const deadlineMilliseconds = exchange.remainingMilliseconds();
  if (deadlineMilliseconds <= 0) {
    throw new CallerError({ code: 'deadline_exceeded', message: 'the deadline has passed' });
  }
  const request: CallerRequest = {
    ...rest,
    requestId: exchange.requestId,
    clientAccount: account.name,
    service: service.name,
    chat: qualifiedChatName(account.name, chat),
    priority,
    deadlineMilliseconds,
    idempotent: exchange.headers.idempotent ?? idempotent,
    binding: exchange.headers.binding,
    method: exchange.method,
  };
  const events = exchange.context.requests.run(request, exchange.signal);
  await relayEvents(exchange, events, choose);
}
