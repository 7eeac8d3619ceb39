/**
 * Tracks whether this daemon holds a runner's gate. A gate that opens without a handover does not know what else
 * is on the runner, so it uses a slow start: its share of the capacity grows from 0 to 1.
 */
import { ChartInterpreter } from '../charts/ChartInterpreter.js';
import type { EventOf, StateOf } from '../charts/chartTypes.js';
import { ForeignLoad } from './ForeignLoad.js';
import type { GateLoad } from './GateLoad.js';
import chart from './gate.chart.json' with { type: 'json' };
import type { HeldWork, LoadReport } from './gateTypes.js';

/** The states of a gate. */
export type GateState = StateOf<typeof chart>;

type GateEvent = EventOf<typeof chart>;

/** Options of a {@link GateOpening}. */
export interface GateOpeningOptions {
  /** Duration of the slow start of a gate without a handover, in milliseconds. */
  openingMilliseconds?: number;
  /** Time without any message after which the process is assumed to have been paused, in milliseconds. */
  pauseMilliseconds?: number;
}

const DEFAULT_OPENING_MILLISECONDS = 5_000;
const DEFAULT_PAUSE_MILLISECONDS = 3_000;

const interpreter = new ChartInterpreter<GateState, GateEvent>({ chart });

/** State of one gate, with its slow start and its estimate of foreign work. */
export class GateOpening {
  private readonly openingMilliseconds: number;

  private readonly pauseMilliseconds: number;

  private readonly foreign = new ForeignLoad();

  private current: GateState = interpreter.initial();

  private openedAt = 0;

  private lastNow: number | undefined;

  /**
   * @param options - durations.
   */
  constructor({
    openingMilliseconds = DEFAULT_OPENING_MILLISECONDS,
    pauseMilliseconds = DEFAULT_PAUSE_MILLISECONDS,
  }: GateOpeningOptions = {}) {
    this.openingMilliseconds = openingMilliseconds;
    this.pauseMilliseconds = pauseMilliseconds;
  }

  /** @returns The state of the gate in its state chart. */
  get state(): GateState {
    return this.current;
  }

  /** @returns Whether this daemon holds the gate and may admit requests. */
  get isHeld(): boolean {
    return this.current === 'open' || this.current === 'opening';
  }

  /** @returns Whether the foreign work is known from a report or a handover. */
  get isForeignWorkKnown(): boolean {
    return this.foreign.isKnown;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Estimated tokens of work on the runner that other daemons sent.
   */
  foreignWork(now: number): number {
    return this.foreign.workAt(now);
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Share of the capacity that the gate's own work may use, from 0 to 1.
   */
  openShare(now: number): number {
    if (this.current !== 'opening') return 1;
    return Math.min(1, (now - this.openedAt) / this.openingMilliseconds);
  }

  /**
   * Advances the time and detects pauses of this process. During a pause, another daemon may have taken over this
   * gate and filled the runner; with its old counts, this gate would then load the runner twice. A held gate gets
   * regular ticks, so a longer gap between two calls shows a pause. The gate then starts a new slow start, as if
   * it knew nothing about the runner.
   *
   * @param now - monotonic milliseconds.
   */
  advance(now: number): void {
    const gap = this.lastNow === undefined ? 0 : now - this.lastNow;
    this.lastNow = now;
    if (gap > this.pauseMilliseconds && this.transition('wake')) this.startOpening(now);
    const due = now - this.openedAt >= this.openingMilliseconds;
    if (this.current === 'opening' && due) this.transition('settle');
  }

  /**
   * Opens the gate: at once after a handover, otherwise with a slow start.
   *
   * @param now - monotonic milliseconds.
   * @param load - the work of this gate on the runner.
   * @param handedOver - the work on the runner that the old holder handed over; `undefined` without a handover.
   */
  open(now: number, load: GateLoad, handedOver?: readonly HeldWork[]): void {
    if (!handedOver) {
      if (this.transition('open')) this.startOpening(now);
      return;
    }
    this.transition('open_with_counts');
    const others = handedOver.filter(({ attemptId }) => !load.has(attemptId));
    this.foreign.applyHandOver(
      now,
      others.reduce((sum, { work }) => sum + work, 0),
    );
  }

  /**
   * Closes the gate.
   *
   * @returns Whether the gate was held until now.
   */
  close(): boolean {
    return this.transition('close');
  }

  /** Notes that no work of this gate is left on the runner. */
  markEmpty(): void {
    this.transition('emptied');
  }

  /**
   * Updates the foreign work from a load report, and ends the slow start if no foreign work is left.
   *
   * @param now - monotonic milliseconds.
   * @param report - the runner's own report, which is delayed.
   * @param load - the work of this gate on the runner.
   */
  applyReport(now: number, report: LoadReport, load: GateLoad): void {
    if (!this.isHeld) return;
    // Once the gate is open and no foreign work is left, its own count is more exact than any report.
    if (this.current === 'open' && this.foreign.workAt(now) === 0) return;
    const reportedAt = now - report.ageMilliseconds;
    this.foreign.applyReport(now, report.load, load.workStartedBy(reportedAt));
    const measuredSinceOpening = reportedAt >= this.openedAt;
    if (measuredSinceOpening && this.foreign.workAt(now) === 0) this.transition('settle');
  }

  private startOpening(now: number): void {
    this.openedAt = now;
    this.foreign.forget();
  }

  private transition(event: GateEvent): boolean {
    const { state, accepted } = interpreter.next(this.current, event);
    this.current = state;
    return accepted;
  }
}
