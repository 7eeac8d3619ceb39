/**
 * Calls to a runner that are not attempts: reports, orders, cancellations and cache imports, with small JSON answers.
 */
import VError from 'verror';
import type { z } from 'zod';

import { StopSignal } from './StopSignal.js';
import { parseJson } from './EngineStreamChecker.js';
import { readWhole } from './readBody.js';
import type { ExchangeRequest, RunnerConnection } from './RunnerConnection.js';

/** Options of {@link RunnerCalls}. */
export interface RunnerCallsOptions {
  connection: RunnerConnection;
  /** Timeout of a whole call in milliseconds. */
  timeoutMilliseconds?: number;
  /** Maximum size of an answer's body in bytes. */
  maximumBytes?: number;
}

/** The whole answer to a call. */
export interface RunnerResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** Limits of one call that replace the general ones. */
export interface RunnerCallLimits {
  readonly timeoutMilliseconds?: number;
  readonly maximumBytes?: number;
}

const DEFAULT_TIMEOUT_MILLISECONDS = 2_000;
const DEFAULT_MAXIMUM_BYTES = 1_048_576;

/**
 * Parses JSON and validates it.
 *
 * @param body - the JSON, encoded as UTF-8.
 * @param schema - the schema of the value.
 * @param requestName - the request that was answered, for the error message.
 * @returns The validated value.
 * @throws {@link VError} if the body is not JSON or does not match the schema.
 */
export function checkJson<Schema extends z.ZodType>(
  body: Uint8Array,
  schema: Schema,
  requestName: string,
): z.output<Schema> {
  const checked = schema.safeParse(parseJson(new TextDecoder().decode(body)));
  if (!checked.success)
    throw new VError(checked.error, 'the answer to %s has another form', requestName);
  return checked.data;
}

function toError(error: unknown): Error {
  return error instanceof Error ? error : new Error(String(error));
}

/** Makes calls to one runner and reads their answers whole, with limits on time and size. */
export class RunnerCalls {
  private readonly connection: RunnerConnection;

  private readonly timeoutMilliseconds: number;

  private readonly maximumBytes: number;

  /**
   * @param options - the connection and the limits of the calls.
   */
  constructor({
    connection,
    timeoutMilliseconds = DEFAULT_TIMEOUT_MILLISECONDS,
    maximumBytes = DEFAULT_MAXIMUM_BYTES,
  }: RunnerCallsOptions) {
    this.connection = connection;
    this.timeoutMilliseconds = timeoutMilliseconds;
    this.maximumBytes = maximumBytes;
  }

  /**
   * Makes a call.
   *
   * @param request - the request.
   * @param limits - limits that replace the general ones for this call.
   * @returns The status and the body of the answer.
   * @throws {@link VError} if no whole answer arrives in time; it is then unknown whether the runner executed the
   *   request.
   */
  async call(request: ExchangeRequest, limits: RunnerCallLimits = {}): Promise<RunnerResponse> {
    const timeoutMilliseconds = limits.timeoutMilliseconds ?? this.timeoutMilliseconds;
    const stopSignal = new StopSignal({ deadlineMilliseconds: timeoutMilliseconds });
    try {
      const result = await this.connection.exchange(request, stopSignal);
      if (result.kind !== 'response') throw new VError(result.message);
      const { response } = result;
      const body = await readWhole(
        response,
        {
          idleMilliseconds: timeoutMilliseconds,
          maximumBytes: limits.maximumBytes ?? this.maximumBytes,
        },
        stopSignal,
      );
      return { status: response.statusCode ?? 0, body };
    } catch (error) {
      throw new VError({ cause: toError(error) }, '%s %s', request.method, request.path);
    } finally {
      stopSignal.dispose();
    }
  }

  /**
   * Reads a JSON resource.
   *
   * @param path - the path of the resource.
   * @param schema - the schema of the answer.
   * @returns The validated value.
   * @throws {@link VError} if no answer with status 200 arrives or it does not match the schema.
   */
  async read<Schema extends z.ZodType>(path: string, schema: Schema): Promise<z.output<Schema>> {
    const { status, body } = await this.call({ method: 'GET', path, headers: {} });
    if (status !== 200) throw new VError('GET %s answered status %d', path, status);
    return checkJson(body, schema, path);
  }
}
