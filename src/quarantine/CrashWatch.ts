/**
 * Finds out whether a runner has crashed, from requests that broke off there: one that lives accepts connections after
 * it has reset some, one behind a cut says nothing, and one that has crashed refuses them or is born anew.
 */
import murmurhash from 'murmurhash';

import { probeRunner } from '../forwarding/probeRunner.js';
import type { ProbeResult } from '../forwarding/probeRunner.js';
import type { Runner } from '../runners/Runner.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { Clock } from '../time/Clock.js';
import type { RunnerCrash } from './quarantineTypes.js';

/** A runner's crash, or requests that broke off with it and were not known when it was told first. */
export interface SeenCrash {
  readonly runner: Runner;
  readonly crash: RunnerCrash;
  /** Of the requests, the one that began last first. */
  readonly digests: readonly string[];
  /** Whether this crash is told for the first time. */
  readonly isFirst: boolean;
}

/** Told of crashes. */
export type CrashListener = (seen: SeenCrash) => void;

/** Options of a {@link CrashWatch}. */
export interface CrashWatchOptions {
  runners: Pick<RunnerTable, 'get' | 'ofLife' | 'obstacleOf' | 'takesNewWork'>;
  clock: Clock;
  onCrash: CrashListener;
  /** Asks whether a runner accepts connections; replaced by tests. */
  probe?: (runner: Runner, done: (result: ProbeResult) => void) => void;
  /** Calls later; replaced by tests. */
  later?: (call: () => void, milliseconds: number) => unknown;
}

/** A request that broke off. */
export interface BrokenRequest {
  readonly digest: string;
  /** When it was sent to the runner, monotonic ms. */
  readonly startedAt: number;
}

/** A runner that accepts connections is asked once more after this time: its process may have been ending; in ms. */
const SECOND_LOOK_MILLISECONDS = 250;

/** What breaks off and what a runner says after this time belongs to another cause, in ms. */
const CASE_MILLISECONDS = 2_000;

/** Runners at which requests were given up lately. */
const MAXIMUM_ABANDONED = 256;

/** A runner at which requests have broken off. */
class CrashCase {
  readonly runner: Runner;

  /** When the first request broke off, monotonic ms. */
  readonly at: number;

  isCrash = false;

  private isTold = false;

  private requests: BrokenRequest[] = [];

  constructor(runner: Runner, at: number) {
    this.runner = runner;
    this.at = at;
  }

  add(request: BrokenRequest): void {
    this.requests.push(request);
  }

  /** @returns Whether this is news. */
  confirm(): boolean {
    const isNews = !this.isCrash;
    this.isCrash = true;
    return isNews;
  }

  /** @returns Whether it was not told before. */
  markTold(): boolean {
    const isFirst = !this.isTold;
    this.isTold = true;
    return isFirst;
  }

  /** @returns Those that have not been taken yet, the one that began last first. */
  takeRequests(): BrokenRequest[] {
    const latestFirst = this.requests.sort((one, other) => other.startedAt - one.startedAt);
    this.requests = [];
    return latestFirst;
  }
}

/** Holds the open cases. */
export class CrashWatch {
  private readonly options: Required<CrashWatchOptions>;

  private readonly cases = new Map<string, CrashCase>();

  /** By life, requests that their daemon gave up there lately: what they began may still crash the runner. */
  private readonly abandonedRequests = new Map<string, CrashCase>();

  /**
   * @param options - the runners, and who is told.
   */
  constructor(options: CrashWatchOptions) {
    this.options = { probe: probeRunner, later: setTimeout, ...options };
  }

  /**
   * @param runner - at which a request broke off.
   * @param request - that did.
   */
  broke(runner: Runner, request: BrokenRequest): void {
    if (this.joinCase(runner, request)) return;
    if (!this.shouldLive(runner)) return;
    const opened = this.open(runner);
    opened.add(request);
    this.look(opened, () => {
      this.options.later(
        () => this.look(opened, () => this.closeLater(opened)),
        SECOND_LOOK_MILLISECONDS,
      );
    });
  }

  /**
   * @param runner - whose host has refused a connection.
   */
  refused(runner: Runner): void {
    const known = this.caseOf(runner);
    if (known) this.confirm(known);
    else if (this.recentOf(this.abandonedRequests, runner) && this.shouldLive(runner)) {
      this.confirm(this.open(runner));
    }
  }

  /**
   * @param runner - at which a request was broken off because its caller has left or its time is over.
   * @param request - that was.
   */
  abandoned(runner: Runner, request: BrokenRequest): void {
    if (this.joinCase(runner, request)) return;
    const { life } = runner.entry;
    const kept =
      this.recentOf(this.abandonedRequests, runner) ??
      new CrashCase(runner, this.options.clock.monotonicMilliseconds());
    kept.add(request);
    this.abandonedRequests.delete(life);
    this.abandonedRequests.set(life, kept);
    const [oldest = life] = this.abandonedRequests.keys();
    if (this.abandonedRequests.size > MAXIMUM_ABANDONED) this.abandonedRequests.delete(oldest);
  }

  /** @returns Whether there is an open case of the runner, which has the request now. */
  private joinCase(runner: Runner, request: BrokenRequest): boolean {
    const known = this.caseOf(runner);
    if (!known) return false;
    known.add(request);
    if (known.isCrash) this.report(known);
    return true;
  }

  private open(runner: Runner): CrashCase {
    const opened = new CrashCase(runner, this.options.clock.monotonicMilliseconds());
    const given = this.recentOf(this.abandonedRequests, runner)?.takeRequests() ?? [];
    for (const request of given) opened.add(request);
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

  /** One that leaves ends by itself, and breaks off what it still has. */
  private shouldLive(runner: Runner): boolean {
    const { runners } = this.options;
    if (runners.ofLife(runner.entry.life) !== runner) return false;
    return runners.takesNewWork(runner) || runners.obstacleOf(runner.entry) === 'evacuated';
  }

  private look(examined: CrashCase, onAlive: () => void): void {
    this.options.probe(examined.runner, (result) => {
      if (result === 'refused' || this.isBornAnew(examined)) this.confirm(examined);
      else onAlive();
    });
  }

  private isBornAnew({ runner }: CrashCase): boolean {
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
      if (this.isBornAnew(ended) && ended.confirm()) this.report(ended);
    }, CASE_MILLISECONDS);
  }

  private report(confirmed: CrashCase): void {
    const { runner, at } = confirmed;
    const crash = { life: murmurhash.v3(runner.entry.life), at };
    const digests = confirmed.takeRequests().map(({ digest }) => digest);
    this.options.onCrash({ runner, crash, digests, isFirst: confirmed.markTold() });
  }
}
