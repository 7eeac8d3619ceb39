/**
 * Interface of all decision classes: messages and the time go in, actions come out.
 *
 * A decision class has no clock, socket, timer or unseeded random numbers of its own, so that the same code runs in
 * the daemon, the tests, the measurements and `baobabdock replay`.
 */

/** A value whose type is given by its `kind`. */
export interface HasKind {
  readonly kind: string;
}

/** A deterministic state machine of one feature. Messages and actions are JSON data. */
export abstract class Decisions<Message extends HasKind, Action extends HasKind> {
  /**
   * Processes one message.
   *
   * @param now - monotonic milliseconds; never smaller than in an earlier call.
   * @param message - the message.
   * @returns The actions that the owner has to carry out, in this order.
   */
  abstract decide(now: number, message: Message): readonly Action[];

  /**
   * Returns when the owner has to send a `tick` message even if nothing else happens.
   *
   * @returns Monotonic milliseconds, or `undefined` if no tick is needed.
   */
  abstract nextWake(): number | undefined;
}
