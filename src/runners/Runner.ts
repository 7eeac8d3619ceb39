/**
 * One incarnation of a runner, as this daemon knows it.
 */
import { RunnerSpeed } from '../capacity/RunnerSpeed.js';
import type { FailureShare } from './FailureShare.js';
import { RunnerBacklog } from './RunnerBacklog.js';
import { RestartSuspicion } from './RestartSuspicion.js';
import { RunnerHealth } from './RunnerHealth.js';

/**
 * Whether a runner may get new work. `unreadable`: the runner's entry in the platform's list cannot be parsed, so its
 * address and state are unknown; what is known of the runner is kept until the entry is valid again.
 */
export type RunnerState = 'ready' | 'draining' | 'unreadable';

/** A runner's entry in the platform's list. */
export interface RunnerEntry {
  /** Identifies the runner in the platform's list and to itself; a restarted runner may keep it. */
  readonly id: string;
  /**
   * Identifies the incarnation; it differs after each start of the runner. Everything known of a runner's past (cached
   * prompts, health, requests in flight) is stored by incarnation, because a restarted runner has none of it.
   */
  readonly life: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly state: RunnerState;
  /**
   * Remaining time, as of when the entry was sent, during which the runner sustains only a few requests per second; in
   * ms.
   */
  readonly coldMilliseconds?: number | undefined;
  /** Number of requests that it works on at the same time. */
  readonly slots?: number | undefined;
  /** Version of its software; runners of a platform without such versions count as having the same one. */
  readonly softwareVersion?: string | undefined;
}

/** A runner with the requests that this daemon has in flight there. */
export class Runner {
  entry: RunnerEntry;

  /** The incarnation that has taken its id over; known once the platform's list has its entry. */
  successor: Runner | undefined;

  readonly health: RunnerHealth;

  /** Limits the requests of this daemon while the runner is too slow to answer them in time. */
  readonly backlog = new RunnerBacklog();

  /** Whether the runner may have started again since its entry was written. */
  readonly restart = new RestartSuspicion();

  /**
   * Whether its entry is missing from the platform's list. The runner may be gone, or the list may have been
   * unavailable and the entry will be back.
   */
  isEntryMissing = false;

  /** The runner has asked this daemon to send no requests until then, monotonic ms. */
  pausedUntil = Number.NEGATIVE_INFINITY;

  /** The runner sustains only a few requests per second until then, monotonic ms. */
  coldUntil = Number.NEGATIVE_INFINITY;

  /** Requests of this daemon that are in flight at the runner. */
  inFlight = 0;

  /** Prompt tokens that the runner still has to read for requests of this daemon. */
  pendingTokens = 0;

  /** Tokens of memory that requests of this daemon use at the runner, besides cached prompts. */
  memoryTokens = 0;

  private statedSlots: number | undefined;

  /** How long work takes at the runner. */
  readonly speed = new RunnerSpeed();

  /** When data last arrived from the runner, monotonic ms; distinguishes an unresponsive runner from a busy one. */
  lastHeardAt = Number.NEGATIVE_INFINITY;

  /**
   * @param entry - the entry in the platform's list.
   * @param service - failure share over all runners of the service.
   */
  constructor(entry: RunnerEntry, service?: FailureShare) {
    this.entry = entry;
    this.health = new RunnerHealth(service);
  }

  /** @returns Number of requests that it works on at the same time, if it is known. */
  get slots(): number | undefined {
    return this.statedSlots ?? this.entry.slots;
  }

  /**
   * @param slots - number of slots that the runner has stated; above 0.
   */
  recordSlots(slots: number): void {
    this.statedSlots = slots;
  }

  /** @returns Version of its software. */
  get softwareVersion(): string {
    return this.entry.softwareVersion ?? '';
  }

  /**
   * @param softwareVersion - version that a stream goes on at; `undefined` for other requests.
   * @returns Whether the runner has that version.
   */
  hasVersion(softwareVersion: string | undefined): boolean {
    return softwareVersion === undefined || this.softwareVersion === softwareVersion;
  }

  /**
   * @returns Version of the software that answers on a connection to this runner on which data still arrives: a
   * connection does not outlive its incarnation, so one that goes on has reached the successor from the start.
   */
  get answeringVersion(): string {
    return this.successor?.answeringVersion ?? this.softwareVersion;
  }

  /**
   * @returns Version of the software that has answered since a doubt whether the runner has started again began; `undefined`
   * as long as the doubt lasts.
   */
  get settledVersion(): string | undefined {
    if (this.successor) return this.successor.softwareVersion;
    return this.restart.isSuspected ? undefined : this.softwareVersion;
  }

  /**
   * Returns the entry to send to another daemon.
   *
   * @param now - current time, monotonic ms.
   * @returns The entry with the time for which the runner is still cold.
   */
  entryForPeer(now: number): RunnerEntry {
    const coldMilliseconds = Math.round(this.coldUntil - now);
    if (coldMilliseconds > 0) return { ...this.entry, coldMilliseconds };
    if (this.entry.coldMilliseconds === undefined) return this.entry;
    return { ...this.entry, coldMilliseconds: undefined };
  }

  /**
   * Extends the pause that the runner has asked for; a longer pause stays in force.
   *
   * @param at - when it accepts requests from this daemon again, monotonic ms.
   */
  pauseUntil(at: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, at);
  }
}
