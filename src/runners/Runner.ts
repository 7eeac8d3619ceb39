/**
 * One life of one runner, as this daemon knows it.
 */
import type { FailureShare } from './FailureShare.js';
import { RunnerHealth } from './RunnerHealth.js';

/**
 * Whether a runner may get new work. `unreadable`: its entry in the platform's list cannot be understood, so that
 * nothing says where it is or whether it takes work; what is known of it is kept until the entry is right again.
 */
export type RunnerState = 'ready' | 'draining' | 'unreadable';

/** What the platform's list tells of a runner. */
export interface RunnerEntry {
  /** Names the runner in the platform's list and to itself; a runner may start again under it. */
  readonly id: string;
  /**
   * Another one at each start of the runner. All that is believed of a runner's past (cached prompts, health,
   * requests that daemons have there) is kept under it: a runner that has started again holds none of it.
   */
  readonly life: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly state: RunnerState;
  /** How much longer it bears a few requests a second only, as of when it was told; in ms. */
  readonly coldMilliseconds?: number | undefined;
}

/** A runner with what this daemon has under way there. */
export class Runner {
  entry: RunnerEntry;

  readonly health: RunnerHealth;

  /** Whether its entry is missing from the platform's list, which may have been away: it is gone, or will be back. */
  isLapsed = false;

  /** Until when it has asked this daemon for no requests, monotonic ms. */
  pausedUntil = Number.NEGATIVE_INFINITY;

  /** Until when it bears a few requests a second only, monotonic ms. */
  coldUntil = Number.NEGATIVE_INFINITY;

  /** Requests of this daemon that the runner has. */
  inFlight = 0;

  /** When anything last came from it, monotonic ms; tells a silent runner from a busy one. */
  lastHeardAt = Number.NEGATIVE_INFINITY;

  /**
   * @param entry - from the platform's list.
   * @param service - outcomes of all runners of its service.
   */
  constructor(entry: RunnerEntry, service?: FailureShare) {
    this.entry = entry;
    this.health = new RunnerHealth(service);
  }

  /**
   * @param now - monotonic milliseconds.
   * @returns Its entry as another daemon should take it now.
   */
  entryAt(now: number): RunnerEntry {
    const coldMilliseconds = Math.round(this.coldUntil - now);
    if (coldMilliseconds > 0) return { ...this.entry, coldMilliseconds };
    if (this.entry.coldMilliseconds === undefined) return this.entry;
    return { ...this.entry, coldMilliseconds: undefined };
  }

  /**
   * @param at - until when it wants no requests from this daemon, monotonic ms; a longer pause holds.
   */
  pauseUntil(at: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, at);
  }
}
