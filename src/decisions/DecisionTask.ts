/**
 * Runs a decision class: passes it one message at a time, sends it a tick when one is due, and carries out its
 * actions.
 */
import type { Clock } from '../time/Clock.js';
import type { Decisions, HasKind } from './Decisions.js';

/**
 * One step of a decision class, as recorded in golden files and replays; `at` is in monotonic ms.
 */
export interface DecisionStep<Message, Action> {
  readonly at: number;
  readonly message: Message;
  readonly actions: readonly Action[];
}

/** Options of a {@link DecisionTask}. */
export interface DecisionTaskOptions<Message extends HasKind, Action extends HasKind> {
  decisions: Decisions<Message, Action>;
  clock: Clock;
  /** The message that is sent when the time of {@link Decisions.nextWake} has come. */
  tick: Message;
  /** Called for each step, for recording; must not throw. */
  record?: (step: DecisionStep<Message, Action>) => void;
}

/**
 * Base class of the tasks that carry out actions; subclasses send the results back with {@link DecisionTask.send}.
 */
export abstract class DecisionTask<Message extends HasKind, Action extends HasKind> {
  protected readonly clock: Clock;

  private readonly decisions: Decisions<Message, Action>;

  private readonly tick: Message;

  private readonly record: (step: DecisionStep<Message, Action>) => void;

  private readonly mailbox: Message[] = [];

  private timer: NodeJS.Timeout | undefined;

  /** When the timer fires, in monotonic ms; `undefined` if no timer is set. */
  private armedFor: number | undefined;

  private deciding = false;

  private stopped = false;

  /**
   * @param options - the decisions, the clock and the recorder.
   */
  constructor({ decisions, clock, tick, record = () => {} }: DecisionTaskOptions<Message, Action>) {
    this.decisions = decisions;
    this.clock = clock;
    this.tick = tick;
    this.record = record;
  }

  /**
   * Carries out one action. Returns at once; results are reported later with {@link DecisionTask.send}.
   *
   * @param action - the action.
   */
  protected abstract perform(action: Action): void;

  /**
   * Passes a message to the decisions. A message that is sent while another one is being decided is queued, because
   * the decisions would otherwise see their own state half changed.
   *
   * @param message - the message.
   */
  send(message: Message): void {
    if (this.stopped) return;
    this.mailbox.push(message);
    if (this.deciding) return;
    this.deciding = true;
    try {
      this.drainMailbox();
    } finally {
      this.deciding = false;
    }
    this.arm();
  }

  /** Stops the task: later messages are dropped, and no timer remains. */
  stop(): void {
    this.stopped = true;
    this.mailbox.length = 0;
    clearTimeout(this.timer);
  }

  private drainMailbox(): void {
    for (let message = this.mailbox.shift(); message; message = this.mailbox.shift()) {
      const at = this.clock.monotonicMilliseconds();
      const actions = this.decisions.decide(at, message);
      this.record({ at, message, actions });
      for (const action of actions) this.perform(action);
    }
  }

  /**
   * Sets the timer. Each message may postpone the next wake-up, and a stream has thousands of messages, so a timer
   * that fires too early is kept and set again when it fires, instead of being replaced for each message.
   */
  private arm(): void {
    if (this.stopped) return;
    const wake = this.decisions.nextWake();
    if (wake !== undefined && this.armedFor !== undefined && this.armedFor <= wake) return;
    clearTimeout(this.timer);
    this.armedFor = wake;
    if (wake === undefined) return;
    const wait = Math.max(0, Math.ceil(wake - this.clock.monotonicMilliseconds()));
    this.timer = setTimeout(() => this.wake(), wait);
  }

  private wake(): void {
    this.armedFor = undefined;
    const wake = this.decisions.nextWake();
    const early = wake === undefined || wake > this.clock.monotonicMilliseconds();
    if (early) this.arm();
    else this.send(this.tick);
  }
}
