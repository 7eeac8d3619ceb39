/**
 * Detects runner crashes from requests that were interrupted there. A running runner that has only reset some
 * connections accepts new ones, and a runner behind a network partition does not answer. A crashed runner refuses
 * connections, or appears under a new incarnation.
 */
import murmurhash from 'murmurhash';

import { setLatest } from '../collections/setLatest.js';
import { probeRunner } from '../forwarding/probeRunner.js';
import type { ProbeResult } from '../forwarding/probeRunner.js';
import type { Runner } from '../runners/Runner.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { Clock } from '../time/Clock.js';
import type { RunnerCrash } from './quarantineTypes.js';
import type { RequestSubjects } from './requestSubjects.js';
import { hashOfVersion } from './requestSubjects.js';

/** A runner's crash, or further requests interrupted by a crash that was already reported. */
export interface DetectedCrash {
  readonly runner: Runner;
  readonly crash: RunnerCrash;
  /** Subjects of the interrupted requests, the one that began last first. */
  readonly requests: readonly RequestSubjects[];
  /** Whether this crash is reported for the first time. */
  readonly isFirst: boolean;
}

/** Called for each detected crash. */
export type CrashListener = (seen: DetectedCrash) => void;

/** Options of a {@link CrashDetector}. */
export interface CrashDetectorOptions {
  runners: Pick<RunnerTable, 'get' | 'ofLife' | 'obstacleOf' | 'takesNewWork'>;
  clock: Clock;
  onCrash: CrashListener;
  /** Checks whether a runner accepts connections; replaced in tests. */
  probe?: (runner: Runner, done: (result: ProbeResult) => void) => void;
  /** Schedules a call; replaced in tests. */
  later?: (call: () => void, milliseconds: number) => unknown;
}

/** A request that was interrupted at a runner. */
export interface InterruptedRequest {
  readonly subjects: RequestSubjects;
  /** When it was sent to the runner, in monotonic ms. */
  readonly startedAt: number;
}

/**
 * A runner that accepts connections is probed again after this time, in ms, because its process may still have been
 * ending.
 */
const SECOND_PROBE_MILLISECONDS = 250;

/** Interruptions, refusals and restarts after this time belong to another cause; in ms. */
const CASE_MILLISECONDS = 2_000;

/** Maximum number of runners for which recently abandoned requests are kept. */
const MAXIMUM_ABANDONED_RUNNERS = 256;

/** Maximum number of requests of one runner that are kept until its end is certain; those that were added last. */
const MAXIMUM_REQUESTS = 256;

/** A runner at which requests were interrupted, and whether it is known to have crashed. */
class CrashCase {
  readonly runner: Runner;

  /** When the first request was interrupted, in monotonic ms. */
  readonly at: number;

  isCrash = false;

  private isReported = false;

  private requests: InterruptedRequest[] = [];

  constructor(runner: Runner, at: number) {
    this.runner = runner;
    this.at = at;
  }

  add(request: InterruptedRequest): void {
    this.requests.push(request);
    if (this.requests.length > MAXIMUM_REQUESTS) this.requests.shift();
  }

  /** @returns Whether the crash was not confirmed before. */
  confirm(): boolean {
    const isNew = !this.isCrash;
    this.isCrash = true;
    return isNew;
  }

  /** @returns Whether the crash was not reported before. */
  markReported(): boolean {
    const isFirst = !this.isReported;
    this.isReported = true;
    return isFirst;
  }

  /** @returns The requests that have not been taken yet, the one that began last first. */
  takeRequests(): InterruptedRequest[] {
    const latestFirst = this.requests.sort((one, other) => other.startedAt - one.startedAt);
    this.requests = [];
    return latestFirst;
  }
}

/** Holds the open cases. */
export class CrashDetector {
  private readonly options: Required<CrashDetectorOptions>;

  private readonly cases = new Map<string, CrashCase>();

  /**
   * Requests that this daemon abandoned lately, by incarnation of the runner: the work that they began there may
   * still crash the runner.
   */
  private readonly abandonedRequests = new Map<string, CrashCase>();

  /**
   * @param options - the runners, and the listener for crashes.
   */
  constructor(options: CrashDetectorOptions) {
    this.options = { probe: probeRunner, later: setTimeout, ...options };
  }

  /**
   * Records a request that was interrupted, and probes the runner.
   *
   * @param runner - the runner on which it was running.
   * @param request - the interrupted request.
   */
  recordInterrupted(runner: Runner, request: InterruptedRequest): void {
    if (this.joinCase(runner, request)) return;
    if (!this.shouldBeRunning(runner)) return;
    const opened = this.open(runner);
    opened.add(request);
    this.examine(opened, () => {
      this.options.later(
        () => this.examine(opened, () => this.closeLater(opened)),
        SECOND_PROBE_MILLISECONDS,
      );
    });
  }

  /**
   * Records that a runner's host has refused a connection, which confirms an open case.
   *
   * @param runner - the runner.
   */
  recordRefusal(runner: Runner): void {
    const known = this.caseOf(runner);
    if (known) this.confirm(known);
    else if (this.recentOf(this.abandonedRequests, runner) && this.shouldBeRunning(runner)) {
      this.confirm(this.open(runner));
    }
  }

  /**
   * Records a request that was aborted because its caller has disconnected or its deadline has passed.
   *
   * @param runner - the runner on which it was running.
   * @param request - the aborted request.
   */
  recordAbandoned(runner: Runner, request: InterruptedRequest): void {
    if (this.joinCase(runner, request)) return;
    const { life } = runner.entry;
    const kept =
      this.recentOf(this.abandonedRequests, runner) ??
      new CrashCase(runner, this.options.clock.monotonicMilliseconds());
    kept.add(request);
    setLatest(this.abandonedRequests, life, kept, MAXIMUM_ABANDONED_RUNNERS);
  }

  /** @returns Whether the runner has an open case, to which the request was added. */
  private joinCase(runner: Runner, request: InterruptedRequest): boolean {
    const known = this.caseOf(runner);
    if (!known) return false;
    known.add(request);
    if (known.isCrash) this.report(known);
    return true;
  }

  private open(runner: Runner): CrashCase {
    const opened = new CrashCase(runner, this.options.clock.monotonicMilliseconds());
    const abandonedBefore = this.recentOf(this.abandonedRequests, runner)?.takeRequests() ?? [];
    for (const request of abandonedBefore) opened.add(request);
    this.abandonedRequests.delete(runner.entry.life);
    this.cases.set(runner.entry.life, opened);
    return opened;
  }

  private caseOf(runner: Runner): CrashCase | undefined {
    return this.recentOf(this.cases, runner);
  }

  private recentOf(cases: Map<string, CrashCase>, { entry }: Runner): CrashCase | undefined {
    const known = cases.get(entry.life);
    if (!known) return undefined;
    if (this.options.clock.monotonicMilliseconds() - known.at < CASE_MILLISECONDS) return known;
    cases.delete(entry.life);
    return undefined;
  }

  /**
   * A draining runner ends by itself, and its remaining requests are interrupted without a crash.
   */
  private shouldBeRunning(runner: Runner): boolean {
    const { runners } = this.options;
    if (runners.ofLife(runner.entry.life) !== runner) return false;
    return runners.takesNewWork(runner) || runners.obstacleOf(runner.entry) === 'evacuated';
  }

  private examine(examined: CrashCase, onAlive: () => void): void {
    this.options.probe(examined.runner, (result) => {
      if (result === 'refused' || this.hasRestarted(examined)) this.confirm(examined);
      else onAlive();
    });
  }

  private hasRestarted({ runner }: CrashCase): boolean {
    const { id, life } = runner.entry;
    return (this.options.runners.get(id)?.entry.life ?? life) !== life;
  }

  private confirm(confirmed: CrashCase): void {
    if (!confirmed.confirm()) return;
    this.report(confirmed);
    this.closeLater(confirmed);
  }

  private closeLater(ended: CrashCase): void {
    const { life } = ended.runner.entry;
    this.options.later(() => {
      if (this.cases.get(life) === ended) this.cases.delete(life);
      if (this.hasRestarted(ended) && ended.confirm()) this.report(ended);
    }, CASE_MILLISECONDS);
  }

  private report(confirmed: CrashCase): void {
    const { runner, at } = confirmed;
    const versionHash = hashOfVersion(runner.softwareVersion);
    const crash = { life: murmurhash.v3(runner.entry.life), at, versionHash };
    const requests = confirmed.takeRequests().map(({ subjects }) => subjects);
    this.options.onCrash({ runner, crash, requests, isFirst: confirmed.markReported() });
  }
}
