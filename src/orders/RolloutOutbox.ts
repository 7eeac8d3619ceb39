/**
 * Collects the actions that result from the current message, and numbers their calls.
 */
import type { PoolPicture } from './poolTypes.js';
import type { RolloutAction, RolloutLogEvent } from './rolloutTypes.js';

/** Collector of actions, shared by the parts of a pool's roll-out decisions. */
export class RolloutOutbox {
  private actions: RolloutAction[] = [];

  private lastCall = 0;

  private pool: Pick<PoolPicture, 'service' | 'dataCentre'> = { service: '', dataCentre: '' };

  /** Discards the actions of the previous message. */
  beginMessage(): void {
    this.actions = [];
  }

  /** @returns The actions of the current message. */
  collectedActions(): readonly RolloutAction[] {
    return this.actions;
  }

  /** @param pool - the pool that every log event names. */
  setPool({ service, dataCentre }: PoolPicture): void {
    this.pool = { service, dataCentre };
  }

  /** @returns A call number that is unique in this pool. */
  nextCall(): number {
    this.lastCall += 1;
    return this.lastCall;
  }

  /** @param action - the action to carry out. */
  push(action: RolloutAction): void {
    this.actions.push(action);
  }

  /**
   * @param event - name of the log event.
   * @param fields - fields of the log event besides the pool.
   */
  report(
    event: RolloutLogEvent,
    fields: Readonly<Record<string, string | number | boolean>>,
  ): void {
    this.actions.push({ kind: 'report', event, fields: { ...this.pool, ...fields } });
  }
}
