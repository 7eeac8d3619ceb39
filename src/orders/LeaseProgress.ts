/**
 * Progress of one daemon with a lease: the state of `lease.chart.json`, the granted lease, the pending calls,
 * and the actions that result from the current message.
 */
import { ChartInterpreter } from '../charts/ChartInterpreter.js';
import type { HeldLease } from './HeldLease.js';
import chart from './lease.chart.json' with { type: 'json' };
import type { CallPurpose } from './LeaseCalls.js';
import { LeaseCalls } from './LeaseCalls.js';
import type { LeaseAction, LeaseEvent, LeaseLogEvent, LeaseState } from './leaseTypes.js';

const interpreter = new ChartInterpreter<LeaseState, LeaseEvent>({ chart });

/** Options of {@link LeaseProgress}. */
export interface LeaseProgressOptions {
  /** The lease's key, for the log. */
  key: string;
  callTimeoutMilliseconds: number;
}

/** Mutable state of a lease. Only the lease decisions change it. */
export class LeaseProgress {
  readonly calls: LeaseCalls;

  /** The lease that the platform granted. Its key may not have been written yet. */
  lease: HeldLease | undefined;

  private readonly key: string;

  private current: LeaseState = interpreter.initial();

  private actions: LeaseAction[] = [];

  /**
   * @param options - the lease's key and the timeout of calls.
   */
  constructor({ key, callTimeoutMilliseconds }: LeaseProgressOptions) {
    this.key = key;
    this.calls = new LeaseCalls({ timeoutMilliseconds: callTimeoutMilliseconds });
  }

  /** @returns The state of `lease.chart.json`. */
  get state(): LeaseState {
    return this.current;
  }

  /** @returns Whether this daemon holds the key, as far as it knows. */
  get holding(): boolean {
    return this.current === 'settling' || this.current === 'held';
  }

  /** Discards the actions of the previous message. */
  beginMessage(): void {
    this.actions = [];
  }

  /** @returns The actions of the current message. */
  collectedActions(): readonly LeaseAction[] {
    return this.actions;
  }

  /** @param event - event of the state chart. One that the state does not accept changes nothing. */
  transition(event: LeaseEvent): void {
    this.current = interpreter.next(this.current, event).state;
  }

  /**
   * Registers a call and adds its action.
   *
   * @param now - monotonic time in milliseconds.
   * @param purpose - purpose of the call.
   * @param action - creates the action for the call's number.
   */
  requestCall(now: number, purpose: CallPurpose, action: (call: number) => LeaseAction): void {
    this.actions.push(action(this.calls.start(now, purpose)));
  }

  /**
   * @param event - name of the log event.
   * @param fields - fields of the log event besides the lease.
   */
  report(event: LeaseLogEvent, fields: Record<string, string | number | boolean>): void {
    this.actions.push({ kind: 'report', event, fields: { lease: this.key, ...fields } });
  }

  /** Revokes the granted lease, so that a write that arrives late fails because its lease is gone. */
  revokeLease(): void {
    if (this.lease) this.actions.push({ kind: 'revoke_lease', leaseId: this.lease.leaseId });
    this.lease = undefined;
    this.calls.clear();
  }
}
