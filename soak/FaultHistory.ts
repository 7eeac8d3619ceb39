/**
 * Records which faults were active when. Failed checks print them, and they may excuse a request.
 */
import type { LinkSide } from '../standIns/link/linkTypes.js';

/**
 * Effect of a fault. `stall`: delays; `break`: connections are reset; `silence`: open connections carry nothing any more;
 * `cut`: all traffic in one direction is held back; `kill`, `stop` (planned), `pause`: of a process; `runner`: a runner
 * breaks requests off or ends; `store`: the store misbehaves; `path`: a daemon reaches no runner. A `configuration` is not a
 * fault, but is listed with them.
 */
export type FaultKind =
  | 'stall'
  | 'break'
  | 'silence'
  | 'cut'
  | 'kill'
  | 'stop'
  | 'pause'
  | 'reload'
  | 'runner'
  | 'path'
  | 'store'
  | 'configuration';

/** A fault, and the parts that it affects. */
export interface FaultRecord {
  readonly kind: FaultKind;
  /** Description for the report. */
  readonly text: string;
  /** Position of the affected daemon; all daemons if left out. */
  readonly daemon?: number;
  /** Affected sides of the daemon's link. */
  readonly sides?: readonly LinkSide[];
  readonly runner?: string;
}

/** A fault with its start and end, in monotonic ms. */
export interface PlayedFault extends FaultRecord {
  readonly from: number;
  to: number;
}

/** Keeps all faults of one soak. */
export class FaultHistory {
  readonly played: PlayedFault[] = [];

  private readonly startedAt = performance.now();

  /**
   * @param record - a fault that starts now.
   * @returns A function to be called when it ends.
   */
  begin(record: FaultRecord): () => void {
    const played = { ...record, from: performance.now(), to: Number.POSITIVE_INFINITY };
    this.played.push(played);
    return () => {
      played.to = performance.now();
    };
  }

  /**
   * Records that a thread of the soak itself was delayed because the machine is busy. The traffic that it carries is late, as
   * in a fault.
   *
   * @param milliseconds - length of the delay, which ends now.
   * @param daemon - daemon whose link the thread carries; left out for the thread of the stand-ins, which affects all.
   */
  noteLateness(milliseconds: number, daemon?: number): void {
    const to = performance.now();
    const whose = daemon === undefined ? 'of the stand-ins' : `of the link of daemon-${daemon}`;
    const text = `the thread ${whose} was late by ${Math.round(milliseconds)} ms`;
    const from = to - milliseconds;
    this.played.push({ kind: 'stall', text, from, to, ...(daemon !== undefined && { daemon }) });
  }

  /**
   * @param kinds - kinds of faults.
   * @param from - start of the period, monotonic ms.
   * @param to - end of the period, monotonic ms.
   * @returns The faults that were active at any time within the period.
   */
  during(kinds: readonly FaultKind[], from: number, to: number): PlayedFault[] {
    return this.played.filter(
      (fault) => kinds.includes(fault.kind) && fault.from <= to && fault.to >= from,
    );
  }

  /** @returns One line for each fault, with its start and end in ms since the start of the soak. */
  lines(): string[] {
    return this.played.map(({ from, to, text }) => `${this.at(from)} to ${this.at(to)}: ${text}`);
  }

  /**
   * @param moment - a time, monotonic ms.
   * @returns The time since the start of the soak, as text.
   */
  at(moment: number): string {
    const isOver = Number.isFinite(moment);
    return isOver ? `${Math.round(moment - this.startedAt)} ms` : 'the end';
  }
}
