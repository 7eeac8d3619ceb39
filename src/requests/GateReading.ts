/**
 * Reads one stream of events from a gate at the pace of the caller, until the stream ends or
 * reading is stopped.
 */
import type { ExecuteEvent } from '../generated/baobabdock/v1/peers_pb.js';

/** Options of a {@link GateReading}. */
export interface GateReadingOptions {
  attemptId: string;
  /** The daemon that holds the gate, if it was known when the reading was opened. */
  gateDaemonId: string | undefined;
  /** Opens the stream. */
  open: (signal: AbortSignal) => AsyncIterable<ExecuteEvent>;
  /** Called for each event. */
  onEvent: (event: ExecuteEvent) => void;
  /** Called at most once, when the stream breaks or ends without a final event. */
  onLost: (message: string) => void;
  /** Awaited before the next event is read; applies the caller's back-pressure. */
  waitForRoom: () => Promise<void>;
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

/**
 * One stream of gate events. {@link GateReading.abandon} leaves its attempt running,
 * {@link GateReading.abort} cancels it.
 */
export class GateReading {
  readonly attemptId: string;

  readonly gateDaemonId: string | undefined;

  private readonly options: GateReadingOptions;

  private readonly controller = new AbortController();

  private iterator: AsyncIterator<ExecuteEvent> | undefined;

  private isStopped = false;

  /**
   * @param options - the stream and the callbacks for its events.
   */
  constructor(options: GateReadingOptions) {
    this.options = options;
    this.attemptId = options.attemptId;
    this.gateDaemonId = options.gateDaemonId;
  }

  /** Reads until the stream ends or reading is stopped; never rejects. */
  async run(): Promise<void> {
    try {
      this.iterator = this.options.open(this.controller.signal)[Symbol.asyncIterator]();
      await this.readEvents(this.iterator);
      if (!this.isStopped) this.options.onLost('The gate ended the stream without saying how.');
    } catch (error) {
      if (!this.isStopped) this.options.onLost(messageOf(error));
    }
  }

  /** Stops reading; the attempt continues. */
  abandon(): void {
    if (this.isStopped) return;
    this.isStopped = true;
    // A stream through an unresponsive daemon may never settle this promise, so nothing waits for
    // it.
    void this.iterator?.return?.().catch(() => {});
  }

  /** Stops reading and aborts the call; if the call started the attempt, this cancels it. */
  abort(): void {
    this.isStopped = true;
    this.controller.abort();
  }

  private async readEvents(iterator: AsyncIterator<ExecuteEvent>): Promise<void> {
    while (!this.isStopped) {
      const step = await iterator.next();
      if (step.done || this.isStopped) return;
      this.options.onEvent(step.value);
      await this.options.waitForRoom();
    }
  }
}
