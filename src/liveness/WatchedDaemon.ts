/**
 * What is known of the life of one daemon that this one watches.
 */
import type { LivenessOpinion } from './livenessTypes.js';

/**
 * `heard`: it has sent something lately. `doubted`: it has not, and others are asked whether they hear it. `probed`:
 * others do not hear it either, or nobody can be asked; it is called. `silent`: it has answered no call. `leaving`: it
 * has said that it stops.
 */
export type WatchPhase = 'heard' | 'doubted' | 'probed' | 'silent' | 'leaving';

/** Moves from phase to phase; never by itself. */
export class WatchedDaemon {
  readonly name: string;

  phase: WatchPhase = 'heard';

  /** When the phase began, monotonic ms. */
  phaseSince: number;

  /** When it was doubted first since it was heard, monotonic ms. */
  doubtedSince = Number.POSITIVE_INFINITY;

  /** Whether another daemon has said that it does not hear this one either. */
  isConfirmed = false;

  /** When the next probe is due, monotonic ms; infinite while one is under way. */
  private nextProbeAt = Number.POSITIVE_INFINITY;

  private heardAt = Number.NEGATIVE_INFINITY;

  /** Silence counts from here on: before, this daemon was not listening. */
  private countedFrom: number;

  /**
   * @param name - of the daemon.
   * @param now - monotonic milliseconds.
   */
  constructor(name: string, now: number) {
    this.name = name;
    this.phaseSince = now;
    this.countedFrom = now;
  }

  /** @returns Whether it is of no use to callers. */
  get isOut(): boolean {
    return this.phase === 'silent' || this.phase === 'leaving';
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns For how long it has been silent while this daemon was listening, in ms.
   */
  silence(now: number): number {
    return now - Math.max(this.heardAt, this.countedFrom);
  }

  /**
   * @param now - monotonic milliseconds.
   * @param quietMilliseconds - silence from which on something is wrong.
   * @returns Whether it has been heard lately, here or by another daemon.
   */
  isHeard(now: number, quietMilliseconds: number): boolean {
    return now - this.heardAt < quietMilliseconds;
  }

  /**
   * @param phase - from now on.
   * @param now - monotonic milliseconds.
   */
  enter(phase: WatchPhase, now: number): void {
    this.phase = phase;
    this.phaseSince = now;
    this.nextProbeAt = Number.POSITIVE_INFINITY;
    if (phase === 'doubted') this.doubtedSince = Math.min(this.doubtedSince, now);
    if (phase !== 'heard') return;
    this.isConfirmed = false;
    this.doubtedSince = Number.POSITIVE_INFINITY;
  }

  /**
   * @param at - when it was heard, here or by another daemon; monotonic ms.
   */
  hearAt(at: number): void {
    this.heardAt = Math.max(this.heardAt, at);
  }

  /**
   * This daemon did not listen for a while, which says nothing about the others.
   *
   * @param milliseconds - for how long.
   */
  forgive(milliseconds: number): void {
    this.countedFrom = Math.max(this.heardAt, this.countedFrom) + milliseconds;
  }

  /** Another daemon does not hear it either. */
  confirm(): void {
    this.isConfirmed = true;
  }

  /** @param at - when it is to be called next, monotonic ms. */
  probeAt(at: number): void {
    this.nextProbeAt = at;
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Whether it is to be called.
   */
  isProbeDue(now: number): boolean {
    return now >= this.nextProbeAt;
  }

  /** A probe is under way: none is due until it has ended. */
  startProbe(): void {
    this.nextProbeAt = Number.POSITIVE_INFINITY;
  }

  /**
   * @param now - monotonic milliseconds.
   * @param quietMilliseconds - silence from which on something is wrong.
   * @returns What another daemon is told of it.
   */
  opinion(now: number, quietMilliseconds: number): LivenessOpinion {
    if (this.isHeard(now, quietMilliseconds)) return Math.round(now - this.heardAt);
    return this.silence(now) < quietMilliseconds ? 'unknown' : 'silent';
  }
}
