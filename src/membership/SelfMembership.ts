/**
 * This daemon's own membership state: joining, stepping back after a pause of the process, leaving.
 */
import { ChartInterpreter } from '../charts/ChartInterpreter.js';
import type { MembershipTuning } from './membershipOptions.js';
import type { MembershipAction, SelfEvent, SelfState } from './membershipTypes.js';
import chart from './selfMembership.chart.json' with { type: 'json' };

/** Number of peers that have to answer after a pause before the daemon relies on its member table again. */
const CONTACTS_AFTER_ABSENCE = 3;

const selfChart = new ChartInterpreter<SelfState, SelfEvent>({ chart });

/** Options of a {@link SelfMembership}. */
export interface SelfMembershipOptions {
  tuning: MembershipTuning;
}

/** Runs the state machine of selfMembership.chart.json. */
export class SelfMembership {
  private readonly tuning: MembershipTuning;

  private currentState: SelfState = selfChart.initial();

  private lastDecisionAt: number | undefined;

  /** Monotonic milliseconds at which a daemon that joins or stepped back continues without peers. */
  private giveUpAt: number | undefined;

  private readonly answeredPeers = new Set<string>();

  /**
   * @param options - the tuning.
   */
  constructor({ tuning }: SelfMembershipOptions) {
    this.tuning = tuning;
  }

  /** @returns The current state. */
  get state(): SelfState {
    return this.currentState;
  }

  /** @returns Whether failed probes of this daemon may make others suspect. */
  get maySuspect(): boolean {
    return this.currentState === 'active';
  }

  /** @returns The time of the next timeout in monotonic milliseconds, or `undefined`. */
  get nextWake(): number | undefined {
    return this.giveUpAt;
  }

  /**
   * Starts the time limit for joining.
   *
   * @param now - monotonic milliseconds.
   */
  startJoining(now: number): void {
    this.giveUpAt = now + this.tuning.giveUpAfterMilliseconds;
  }

  /**
   * Detects a pause of this process from the time since the last call. It has to be called before any other
   * decision: a process paused by a debugger, a frozen machine or a long garbage collection is not told of the
   * pause. Its peers may have declared it dead and taken its gates; if it continued as before, two daemons
   * would send requests to the same runners.
   *
   * @param now - monotonic milliseconds.
   * @returns Length of the pause in ms, or `undefined` if there was none.
   */
  detectPause(now: number): number | undefined {
    const gap = this.lastDecisionAt === undefined ? 0 : now - this.lastDecisionAt;
    this.lastDecisionAt = now;
    return gap > this.tuning.awayThresholdMilliseconds ? gap : undefined;
  }

  /**
   * Steps back after a pause: the daemon stops acting until peers have answered.
   *
   * @param now - monotonic milliseconds.
   * @param awayMilliseconds - length of the pause.
   * @returns Actions.
   */
  stepBack(now: number, awayMilliseconds: number): MembershipAction[] {
    if (!this.applyEvent('woke')) return [];
    this.answeredPeers.clear();
    this.giveUpAt = now + this.tuning.giveUpAfterMilliseconds;
    return [{ kind: 'stepped_back', awayMilliseconds: Math.round(awayMilliseconds) }];
  }

  /**
   * Counts an answer of a peer. It completes joining; after a pause several peers have to answer.
   *
   * @param daemonId - the peer's name.
   * @param members - number of present daemons, this one included.
   * @returns Actions.
   */
  recordAnswer(daemonId: string, members: number): MembershipAction[] {
    if (this.currentState === 'joining') return this.join(members);
    if (this.currentState !== 'stepped_back') return [];
    this.answeredPeers.add(daemonId);
    if (this.answeredPeers.size < Math.min(CONTACTS_AFTER_ABSENCE, members - 1)) return [];
    this.giveUpAt = undefined;
    this.applyEvent('reconnected');
    return [{ kind: 'resumed', reason: 'reconnected' }];
  }

  /**
   * Continues without peers if none answered in time, because a single or isolated daemon still serves its
   * callers.
   *
   * @param now - monotonic milliseconds.
   * @param members - number of present daemons, this one included.
   * @returns Actions.
   */
  giveUpWhenDue(now: number, members: number): MembershipAction[] {
    if (this.giveUpAt === undefined || now < this.giveUpAt) return [];
    this.giveUpAt = undefined;
    const before = this.currentState;
    if (!this.applyEvent('gave_up')) return [];
    if (before === 'joining') return [{ kind: 'joined', members }];
    return [{ kind: 'resumed', reason: 'gave_up' }];
  }

  /**
   * Applies an event to the state machine.
   *
   * @param event - the event.
   * @returns Whether the current state accepts it.
   */
  applyEvent(event: SelfEvent): boolean {
    const step = selfChart.next(this.currentState, event);
    this.currentState = step.state;
    return step.accepted;
  }

  private join(members: number): MembershipAction[] {
    this.giveUpAt = undefined;
    this.applyEvent('joined');
    return [{ kind: 'joined', members }];
  }
}
