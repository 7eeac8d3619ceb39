/**
 * Writes the log lines of a gate, and counts them: one for each admission decision, one for each fault of an
 * attempt and one for each resumed stream.
 */
import type { ExecuteRequest } from '../generated/baobabdock/v1/peers_pb.js';
import type { Log, LogFields } from '../logging/Log.js';
import { upstreamsLogEvents } from '../upstreams/upstreamsFeature.js';
import { gatesLogEvents } from './gatesFeature.js';
import type { GateTaskMetrics } from './GateTaskMetrics.js';
import type { GateAction } from './gateTypes.js';

/** Options of a {@link GateTaskLog}. */
export interface GateTaskLogOptions {
  log: Log;
  runnerId: string;
  service: string;
  /** Counters of the logged decisions and faults. */
  metrics?: GateTaskMetrics;
}

/** An admission decision about an attempt. */
export type AdmissionAction = Extract<GateAction, { kind: 'start' | 'refuse' | 'queued' }>;

const ADMISSION_EVENTS = {
  start: gatesLogEvents.started,
  refuse: gatesLogEvents.refused,
  queued: gatesLogEvents.queued,
} as const;

/** Logs and counts the decisions and faults at the gate of one runner. */
export class GateTaskLog {
  private readonly log: Log;

  private readonly place: LogFields;

  private readonly service: string;

  private readonly metrics: GateTaskMetrics | undefined;

  /**
   * @param options - the log, the metrics and the runner.
   */
  constructor({ log, runnerId, service, metrics }: GateTaskLogOptions) {
    this.log = log;
    this.place = { runner: runnerId, service };
    this.service = service;
    this.metrics = metrics;
  }

  /**
   * Logs and counts an admission decision.
   *
   * @param action - the decision.
   * @param request - the request, if it is still known.
   * @param waitedMilliseconds - time since the attempt arrived.
   */
  admission(
    action: AdmissionAction,
    request: ExecuteRequest | undefined,
    waitedMilliseconds: number,
  ): void {
    const { kind, attemptId, ...details } = action;
    const reason = action.kind === 'refuse' ? action.reason : '';
    this.metrics?.admission({ service: this.service, decision: kind, reason }, waitedMilliseconds);
    this.log.write(ADMISSION_EVENTS[kind], {
      ...this.place,
      attempt: attemptId,
      request: request?.requestId,
      clientAccount: request?.clientAccount,
      priority: request?.priority,
      waitedMilliseconds: Math.round(waitedMilliseconds),
      ...details,
    });
  }

  /**
   * Logs and counts a fault of an attempt.
   *
   * @param attemptId - the attempt.
   * @param reason - why the answer is incomplete, or why the runner did not start the attempt.
   * @param message - the error message, for people to read.
   */
  fault(attemptId: string, reason: string, message: string): void {
    this.metrics?.fault(this.service, reason);
    const { attemptFailed, crossedAnswer } = upstreamsLogEvents;
    const event = reason === 'crossed' ? crossedAnswer : attemptFailed;
    this.log.write(event, { ...this.place, attempt: attemptId, reason, message });
  }

  /**
   * Logs that a cut stream is resumed.
   *
   * @param attemptId - the attempt.
   * @param reason - why the stream was cut.
   */
  resumed(attemptId: string, reason: string): void {
    this.log.write(upstreamsLogEvents.resumed, { ...this.place, attempt: attemptId, reason });
  }
}
