/**
 * Which faults were on when: what a failed check prints, and what may excuse a request.
 */
import type { LinkSide } from '../standIns/link/linkTypes.js';

/**
 * What a fault does to those it touches: `stall` delays, `break` resets connections, `silence` leaves open ones dead,
 * `cut` holds back all of them in one direction, `kill`, `stop` (planned) and `pause` concern a process, `runner` is a
 * runner that breaks off or ends, `store` a store that misbehaves,
 * `path` a daemon that reaches no runner. A `configuration` is no fault, and told with them.
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

/** What a fault touches. */
export interface FaultRecord {
  readonly kind: FaultKind;
  /** What is done, with its figures. */
  readonly text: string;
  /** The daemon, or all of them. */
  readonly daemon?: number;
  /** Sides of the daemon's link. */
  readonly sides?: readonly LinkSide[];
  readonly runner?: string;
}

/** A fault with its times, monotonic ms. */
export interface PlayedFault extends FaultRecord {
  readonly from: number;
  to: number;
}

/** Keeps what was played. */
export class FaultHistory {
  readonly played: PlayedFault[] = [];

  private readonly startedAt = performance.now();

  /**
   * @param record - a fault that begins now.
   * @returns To be called when it ends.
   */
  begin(record: FaultRecord): () => void {
    const played = { ...record, from: performance.now(), to: Number.POSITIVE_INFINITY };
    this.played.push(played);
    return () => {
      played.to = performance.now();
    };
  }

  /**
   * The soak's own threads stand still where the machine is busy: what they carry is late then, as through a fault.
   *
   * @param milliseconds - that a thread was late, until now.
   * @param daemon - whose link it carries; all of them where it is the thread of the stand-ins.
   */
  noteLateness(milliseconds: number, daemon?: number): void {
    const to = performance.now();
    const whose = daemon === undefined ? 'of the stand-ins' : `of the link of daemon-${daemon}`;
    const text = `the thread ${whose} was late by ${Math.round(milliseconds)} ms`;
    const from = to - milliseconds;
    this.played.push({ kind: 'stall', text, from, to, ...(daemon !== undefined && { daemon }) });
  }

  /**
   * @param kinds - of faults.
   * @param from - monotonic ms.
   * @param to - monotonic ms.
   * @returns Those that were on at any moment from one to the other.
   */
  during(kinds: readonly FaultKind[], from: number, to: number): PlayedFault[] {
    return this.played.filter(
      (fault) => kinds.includes(fault.kind) && fault.from <= to && fault.to >= from,
    );
  }

  /** @returns One line for each fault, with its times since the start in ms. */
  lines(): string[] {
    return this.played.map(({ from, to, text }) => `${this.at(from)} to ${this.at(to)}: ${text}`);
  }

  /**
   * @param moment - monotonic ms.
   * @returns It since the start of the soak.
   */
  at(moment: number): string {
    const isOver = Number.isFinite(moment);
    return isOver ? `${Math.round(moment - this.startedAt)} ms` : 'the end';
  }
}
