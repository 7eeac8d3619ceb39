/**
 * A client of the operators' interface with a list of daemons: if one does not answer, the next one is called.
 */
import type { DescService } from '@bufbuild/protobuf';
import type { Client, Interceptor } from '@connectrpc/connect';
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';

/** Longest wait for one answer; `WaitInForce` sets its own timeout. */
const DEFAULT_TIMEOUT_MILLISECONDS = 15_000;

/** Error codes after which the next daemon is called. Any other error is an answer of the daemon. */
const FAILOVER_CODES: ReadonlySet<Code> = new Set([
  Code.Unavailable,
  Code.DeadlineExceeded,
  Code.Unknown,
]);

/** Options of an {@link OperatorClient}. */
export interface OperatorClientOptions {
  /** URLs of daemons such as `http://10.0.0.1:8090`, the preferred one first. */
  endpoints: readonly string[];
  token: string;
  timeoutMilliseconds?: number;
}

/** Calls the operators' interface with one operator's token. */
export class OperatorClient {
  /** URLs of daemons, the preferred one first. */
  readonly endpoints: readonly string[];

  private readonly token: string;

  private readonly timeoutMilliseconds: number;

  /**
   * @param options - the daemons, the operator's token and the timeout.
   * @throws RangeError if there is no endpoint.
   */
  constructor({
    endpoints,
    token,
    timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS,
  }: OperatorClientOptions) {
    if (endpoints.length === 0) throw new RangeError('At least one endpoint is needed.');
    this.endpoints = endpoints;
    this.token = token;
    this.timeoutMilliseconds = timeoutMilliseconds;
  }

  /**
   * Calls one daemon after the other until one answers. Changes are idempotent by their change id, so that a second
   * daemon does not make a change twice.
   *
   * @param service - the service in the schema.
   * @param call - makes the call with the given client.
   * @returns The first answer.
   * @throws ConnectError with the error that a daemon answered, or with the last failure if no daemon answered.
   */
  async call<Service extends DescService, Answer>(
    service: Service,
    call: (client: Client<Service>) => Promise<Answer>,
  ): Promise<Answer> {
    let failure: ConnectError | undefined;
    for (const endpoint of this.endpoints) {
      try {
        return await call(this.clientOf(endpoint, service));
      } catch (error) {
        const refusal = ConnectError.from(error);
        if (!FAILOVER_CODES.has(refusal.code)) throw refusal;
        failure = new ConnectError(`${endpoint}: ${refusal.rawMessage}`, refusal.code);
      }
    }
    throw failure ?? new ConnectError('No daemon answered.', Code.Unavailable);
  }

  /**
   * @param endpoint - URL of a daemon.
   * @param service - the service in the schema.
   * @returns A client that calls only this daemon.
   */
  clientOf<Service extends DescService>(endpoint: string, service: Service): Client<Service> {
    const authorize: Interceptor = (next) => (request) => {
      request.header.set('authorization', `Bearer ${this.token}`);
      return next(request);
    };
    const transport = createConnectTransport({
      baseUrl: endpoint,
      httpVersion: '1.1',
      useBinaryFormat: true,
      interceptors: [authorize],
      defaultTimeoutMs: this.timeoutMilliseconds,
    });
    return createClient(service, transport);
  }
}
