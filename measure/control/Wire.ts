/**
 * Passes calls between daemons with seeded delay and loss, and counts them. Nothing of hosts or networks is
 * modelled beyond that: a lost message is a call that ends at its time limit.
 */
import { SeededRandom } from '../routing/SeededRandom.js';
import type { VirtualTime } from '../routing/VirtualTime.js';

/** Where an end of a call is. */
export interface WireEnd {
  readonly daemonId: string;
  readonly region: string;
  readonly dataCentre: string;
}

/** One way, in ms: within a data centre, within a region, between regions. */
const DELAYS = { dataCentre: 0.3, region: 1.5, regions: 60 } as const;

/** A message takes up to this multiple of its delay longer. */
const JITTER = 0.5;

/** What one daemon sent. */
export interface WireCount {
  bytes: number;
  messages: number;
}

/** Size of a message; asked only where it is counted, because compression costs most of a run. */
export type SizeOf = () => number;

/** One call: whom, how large, how long, and what the other side makes of it. */
export interface WireCall {
  readonly from: WireEnd;
  readonly to: WireEnd;
  readonly size: SizeOf;
  readonly timeoutMilliseconds: number;
  /** Runs at the callee; `answer` may be called once, also later. */
  readonly deliver: (answer: (size: SizeOf, arrive: () => void) => void) => void;
  readonly fail: (refused: boolean) => void;
}

/** Options of a {@link Wire}. */
export interface WireOptions {
  time: VirtualTime;
  seed: number;
  /** Share of messages that are lost. */
  loss: number;
}

/** All links of the fleet. */
export class Wire {
  /** Counts of the daemons that are counted. */
  readonly counts = new Map<string, WireCount>();

  private readonly time: VirtualTime;

  private readonly generator: SeededRandom;

  private readonly loss: number;

  private readonly down = new Set<string>();

  private cutRegion: string | undefined;

  /**
   * @param options - the time, seed and loss.
   */
  constructor({ time, seed, loss }: WireOptions) {
    this.time = time;
    this.generator = new SeededRandom(seed);
    this.loss = loss;
  }

  /** @returns From 0 up to 1. */
  random(): number {
    return this.generator.next();
  }

  /**
   * @param daemonId - a daemon whose messages are counted from now on.
   */
  count(daemonId: string): void {
    this.counts.set(daemonId, { bytes: 0, messages: 0 });
  }

  /**
   * @param daemonId - a daemon whose process ended: its host refuses connections.
   */
  kill(daemonId: string): void {
    this.down.add(daemonId);
  }

  /**
   * @param region - the region that reaches no other, or `undefined` to end the cut.
   */
  cut(region: string | undefined): void {
    this.cutRegion = region;
  }

  /**
   * @param call - the call.
   */
  call(call: WireCall): void {
    const { from, to, size, timeoutMilliseconds } = call;
    let open = true;
    const end = (run: () => void) => {
      if (!open) return;
      open = false;
      run();
    };
    this.time.after(timeoutMilliseconds, () => end(() => call.fail(false)));
    this.send(from, to, size, () => {
      if (this.down.has(to.daemonId)) {
        end(() => call.fail(true));
        return;
      }
      call.deliver((answerSize, arrive) => this.send(to, from, answerSize, () => end(arrive)));
    });
  }

  private send(from: WireEnd, to: WireEnd, size: SizeOf, arrive: () => void): void {
    if (this.down.has(from.daemonId)) return;
    const count = this.counts.get(from.daemonId);
    if (count) {
      count.bytes += size();
      count.messages += 1;
    }
    const isLost = this.random() < this.loss;
    const delay = this.delayOf(from, to);
    const isCut =
      this.cutRegion !== undefined &&
      (from.region === this.cutRegion) !== (to.region === this.cutRegion);
    if (isLost || isCut) return;
    this.time.after(delay, arrive);
  }

  private delayOf(from: WireEnd, to: WireEnd): number {
    let delay: number = DELAYS.regions;
    if (from.dataCentre === to.dataCentre) delay = DELAYS.dataCentre;
    else if (from.region === to.region) delay = DELAYS.region;
    return delay * (1 + JITTER * this.random());
  }
}
