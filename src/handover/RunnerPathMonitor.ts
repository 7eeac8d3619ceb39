/**
 * Probes runners when requests are waiting and no runner is heard from, when several have failed in a row, and while the
 * path to the runners is lost.
 */
import { probeRunner } from '../forwarding/probeRunner.js';
import type { ProbeResult } from '../forwarding/probeRunner.js';
import type { Runner } from '../runners/Runner.js';
import type { Clock } from '../time/Clock.js';
import type { RunnerPath } from './RunnerPath.js';

/** Interval between looks at the path, in ms; also the longest time until a path that is back is noticed. */
const INTERVAL_MILLISECONDS = 250;

/** Silence of all runners after which one is probed, in ms; reading a long prompt takes less. */
const SILENCE_MILLISECONDS = 500;

/** Number of runners probed at once while the path is lost; a single one may be dead. */
const PROBED_WHILE_LOST = 2;

/** Number of further runners that are probed once a first one has not accepted a connection. */
const PROBED_AFTER_FAILURE = 3;

/** Number of runners that are probed before the path counts as lost; all of them in a smaller site. */
const PROBED_TO_CONFIRM = 16;

/** Options of a {@link RunnerPathMonitor}. */
export interface RunnerPathMonitorOptions {
  path: RunnerPath;
  /** Returns all listed runners. */
  runners: () => readonly Runner[];
  clock: Clock;
  /** Opens a connection to a runner; replaced in tests. */
  probe?: (runner: Runner, done: (result: ProbeResult) => void) => void;
}

/** Owns the timer. */
export class RunnerPathMonitor {
  private readonly options: Required<RunnerPathMonitorOptions>;

  private timer: NodeJS.Timeout | undefined;

  /** Position in the list of runners, which are probed in turn. */
  private position = 0;

  /** Whether a probe for silence is in progress. */
  private isProbingSilence = false;

  /**
   * @param options - the path, the runners and the clock.
   */
  constructor(options: RunnerPathMonitorOptions) {
    this.options = { probe: probeRunner, ...options };
  }

  /** Starts to look at the path. */
  start(): void {
    this.timer = setInterval(() => this.look(), INTERVAL_MILLISECONDS);
  }

  /** Ends it. */
  stop(): void {
    clearInterval(this.timer);
  }

  /** Probes runners if the state of the path is in question. */
  look(): void {
    const { path, clock } = this.options;
    if (path.isLost) {
      for (const runner of this.nextRunners(PROBED_WHILE_LOST)) this.probe(runner);
      return;
    }
    const silence = path.silentMilliseconds(clock.monotonicMilliseconds());
    if (silence >= SILENCE_MILLISECONDS && !this.isProbingSilence) this.probeSilence();
  }

  /**
   * Probes runners all over the list, since those of one service stand together and may all be down.
   *
   * @param done - called once, with whether one has accepted a connection.
   */
  confirmLoss(done: (isReached: boolean) => void): void {
    const probed = this.spreadRunners(PROBED_TO_CONFIRM);
    const pending = new Set(probed);
    if (pending.size === 0) done(false);
    for (const runner of probed) {
      this.probe(runner, (isAccepted) => {
        if (!pending.delete(runner)) return;
        if (isAccepted) pending.clear();
        if (pending.size === 0) done(isAccepted);
      });
    }
  }

  private probeSilence(): void {
    const [first] = this.nextRunners(1);
    if (!first) return;
    this.isProbingSilence = true;
    this.probe(first, (isAccepted) => {
      this.isProbingSilence = false;
      if (isAccepted) return;
      for (const runner of this.nextRunners(PROBED_AFTER_FAILURE)) this.probe(runner);
    });
  }

  private probe(runner: Runner, done: (isAccepted: boolean) => void = () => undefined): void {
    const { path, clock, probe } = this.options;
    probe(runner, (result) => {
      const now = clock.monotonicMilliseconds();
      const isAccepted = result === 'accepted';
      if (isAccepted) path.recordAccepted(now);
      else path.recordFailure(runner.entry.life, now);
      done(isAccepted);
    });
  }

  private spreadRunners(count: number): Runner[] {
    const runners = this.options.runners();
    const spread = this.runnersInSteps(count, Math.max(1, runners.length / count));
    this.position += 1;
    return spread;
  }

  private nextRunners(count: number): Runner[] {
    const next = this.runnersInSteps(count, 1);
    this.position += next.length;
    return next;
  }

  private runnersInSteps(count: number, step: number): Runner[] {
    const runners = this.options.runners();
    return Array.from(
      { length: Math.min(count, runners.length) },
      (_, index) => runners[(this.position + Math.floor(index * step)) % runners.length] as Runner,
    );
  }
}
