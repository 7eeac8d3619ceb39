/**
 * Stand-in of a plain service's instance: the sample warehouse and the parcel tracking.
 *
 * `GET /boards/{id}` and `GET /parcels/{id}` look up; `POST /reservations` and `POST /handovers` change
 * something and are not idempotent: each one that arrives is done and counted.
 */
import type { ServerResponse } from 'node:http';

import { ATTEMPT_ID_HEADER } from '../../src/upstreams/runnerProtocol.js';
import type { RunnerFaults } from './runnerFaults.js';
import { answerJson, parseBody, RunnerServer } from './RunnerServer.js';
import type { ReceivedRequest, RunnerServerOptions } from './RunnerServer.js';

/** Options of a {@link PlainStandIn}. */
export interface PlainStandInOptions extends RunnerServerOptions {
  /** Milliseconds of work for a request. */
  workMilliseconds?: number;
  /** Whether the attempt id is echoed. */
  echoesAttemptId?: boolean;
}

const DEFAULT_WORK_MILLISECONDS = 2;

/** Callers' paths carry the prefix of their service; only the end counts. */
const LOOK_UP = /\/(boards|parcels)\/([^/]{1,100})$/;
const CHANGE = /\/(reservations|handovers)$/;

/** A warehouse and a parcel tracking in one; both keep what was done in memory. */
export class PlainStandIn extends RunnerServer {
  private readonly workMilliseconds: number;

  private readonly echoesAttemptId: boolean;

  /** Item by item, what was done to it. */
  private readonly done = new Map<string, string[]>();

  /**
   * @param options - where to listen and how long work takes.
   */
  constructor({
    workMilliseconds = DEFAULT_WORK_MILLISECONDS,
    echoesAttemptId = true,
    ...server
  }: PlainStandInOptions = {}) {
    super(server);
    this.workMilliseconds = workMilliseconds;
    this.echoesAttemptId = echoesAttemptId;
  }

  protected override isAttempt({ url }: ReceivedRequest): boolean {
    return url.pathname !== '/health';
  }

  protected override answer(
    request: ReceivedRequest,
    response: ServerResponse,
    faults: RunnerFaults,
  ): void {
    if (request.url.pathname === '/health') {
      answerJson(response, 200, { healthy: true });
      return;
    }
    this.after(this.workMilliseconds + faults.slowMilliseconds, () => {
      const { status, value } = this.work(request);
      this.after(faults.lateMilliseconds, () =>
        this.write(request, response, faults, status, value),
      );
    });
  }

  private work(request: ReceivedRequest): { status: number; value: object } {
    const { pathname } = request.url;
    const [, kind = '', item = ''] = LOOK_UP.exec(pathname) ?? [];
    if (request.method === 'GET' && kind) {
      return { status: 200, value: { [kind.slice(0, -1)]: item, done: this.done.get(item) ?? [] } };
    }
    const [, change = ''] = CHANGE.exec(pathname) ?? [];
    if (request.method === 'POST' && change) return this.change(request, change);
    return { status: 404, value: { message: `nothing at ${pathname}` } };
  }

  private change(request: ReceivedRequest, change: string): { status: number; value: object } {
    const wanted = parseBody(request.body) as Readonly<Record<string, unknown>> | undefined;
    const item = String(wanted?.board ?? wanted?.parcel ?? '');
    const businessKey = String(wanted?.business_key ?? item);
    this.countExecution(request.attemptId, businessKey);
    this.done.set(item, [...(this.done.get(item) ?? []), `${change}:${businessKey}`]);
    const executions = this.executionsOfKey(businessKey);
    return { status: 201, value: { [change]: item, business_key: businessKey, executions } };
  }

  private write(
    request: ReceivedRequest,
    response: ServerResponse,
    faults: RunnerFaults,
    status: number,
    value: object,
  ): void {
    if (faults.lostAnswer) {
      response.destroy();
      return;
    }
    const headers = this.echo(request.attemptId, faults);
    if (faults.refusing === 'unclear') {
      answerJson(response, 503, { message: 'something broke' }, headers);
      return;
    }
    if (faults.cutAfterChunks === undefined && faults.endAfterChunks === undefined) {
      answerJson(response, status, value, headers);
      return;
    }
    const body = JSON.stringify(value);
    response.writeHead(status, { ...headers, 'content-length': body.length });
    // Half of the body must be on the wire before the cut, or the cut would come before the head.
    response.write(body.slice(0, body.length / 2), () => response.destroy());
  }

  private echo(attemptId: string, faults: RunnerFaults): Record<string, string> {
    if (faults.crossed !== 'no') return { [ATTEMPT_ID_HEADER]: `other-than-${attemptId}` };
    return this.echoesAttemptId ? { [ATTEMPT_ID_HEADER]: attemptId } : {};
  }
}
