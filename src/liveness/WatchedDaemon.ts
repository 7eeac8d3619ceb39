/**
 * State of the failure detector for one watched daemon.
 */
import type { LivenessOpinion } from './livenessTypes.js';

/**
 * Phase of a watched daemon:
 * - `heard`: a message has arrived lately.
 * - `doubted`: none has arrived for too long, and other daemons are asked whether they hear it.
 * - `probed`: other daemons do not hear it either, or none can be asked; a probe is pending.
 * - `silent`: unresponsive, no probe was answered.
 * - `leaving`: the daemon has announced that it stops.
 */
export type WatchPhase = 'heard' | 'doubted' | 'probed' | 'silent' | 'leaving';

/** Holds the state; its owner makes all phase transitions. */
export class WatchedDaemon {
  readonly name: string;

  phase: WatchPhase = 'heard';

  /** Start of the current phase, in monotonic ms. */
  phaseSince: number;

  /**
   * When it was first suspected since it was last heard, in monotonic ms; infinite if it is not suspected.
   */
  suspectedSince = Number.POSITIVE_INFINITY;

  /** Whether another daemon has confirmed that it does not hear this one either. */
  isConfirmed = false;

  /** When the next probe is due, in monotonic ms; infinite while one is pending. */
  private nextProbeAt = Number.POSITIVE_INFINITY;

  private heardAt = Number.NEGATIVE_INFINITY;

  /**
   * Silence counts only from this time on, because this process was not listening before; in monotonic ms.
   */
  private countedFrom: number;

  /**
   * @param name - name of the watched daemon.
   * @param now - monotonic milliseconds.
   */
  constructor(name: string, now: number) {
    this.name = name;
    this.phaseSince = now;
    this.countedFrom = now;
  }

  /** @returns Whether it is unavailable to callers. */
  get isUnavailable(): boolean {
    return this.phase === 'silent' || this.phase === 'leaving';
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns How long it has been silent while this process was listening, in ms.
   */
  silence(now: number): number {
    return now - Math.max(this.heardAt, this.countedFrom);
  }

  /**
   * @param now - monotonic milliseconds.
   * @param quietMilliseconds - silence after which a daemon is suspected, in ms.
   * @returns Whether it has been heard lately, by this daemon or by another one.
   */
  isHeard(now: number, quietMilliseconds: number): boolean {
    return now - this.heardAt < quietMilliseconds;
  }

  /**
   * Enters a phase.
   *
   * @param phase - the new phase.
   * @param now - monotonic milliseconds.
   */
  enter(phase: WatchPhase, now: number): void {
    this.phase = phase;
    this.phaseSince = now;
    this.nextProbeAt = Number.POSITIVE_INFINITY;
    if (phase === 'doubted') this.suspectedSince = Math.min(this.suspectedSince, now);
    if (phase !== 'heard') return;
    this.isConfirmed = false;
    this.suspectedSince = Number.POSITIVE_INFINITY;
  }

  /**
   * Records that it was heard.
   *
   * @param at - when it was heard, by this daemon or by another one; in monotonic ms.
   */
  recordHeard(at: number): void {
    this.heardAt = Math.max(this.heardAt, at);
  }

  /**
   * Excludes from its silence a time in which this process was not listening, which says nothing about other daemons.
   *
   * @param milliseconds - length of that time.
   */
  discountPause(milliseconds: number): void {
    this.countedFrom = Math.max(this.heardAt, this.countedFrom) + milliseconds;
  }

  /** Records that another daemon does not hear it either. */
  confirm(): void {
    this.isConfirmed = true;
  }

  /** @param at - when the next probe is due, in monotonic ms. */
  probeAt(at: number): void {
    this.nextProbeAt = at;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Whether a probe is due.
   */
  isProbeDue(now: number): boolean {
    return now >= this.nextProbeAt;
  }

  /** Marks a probe as pending; none is due until it has ended. */
  startProbe(): void {
    this.nextProbeAt = Number.POSITIVE_INFINITY;
  }

  /**
   * @param now - monotonic milliseconds.
   * @param quietMilliseconds - silence after which a daemon is suspected, in ms.
   * @returns The opinion of it that is given to other daemons.
   */
  opinion(now: number, quietMilliseconds: number): LivenessOpinion {
    if (this.isHeard(now, quietMilliseconds)) return Math.round(now - this.heardAt);
    return this.silence(now) < quietMilliseconds ? 'unknown' : 'silent';
  }
}
