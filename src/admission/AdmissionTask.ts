/**
 * Runs admission control for the requests of this daemon and of the daemons that ask it: owns the timer that releases
 * waiting requests, and passes each verdict to whoever asked.
 */
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Clock } from '../time/Clock.js';
import type { AdmissionDecisions } from './AdmissionDecisions.js';
import { admissionLogEvents } from './admissionFeature.js';
import type { AdmissionRequest, AdmissionVerdict, FinalVerdict } from './admissionTypes.js';

/** Receives the verdict on a request; after `wait` another one follows, unless the request is abandoned. */
export type VerdictListener = (verdict: AdmissionVerdict) => void;

/** Options of an {@link AdmissionTask}. */
export interface AdmissionTaskOptions {
  decisions: AdmissionDecisions;
  clock: Clock;
  log: Log;
  registry: MetricRegistry;
  /** Schedules a call after a delay in ms; replaced by tests. */
  later?: (call: () => void, milliseconds: number) => unknown;
}

/** Interval at which waiting requests are released, in ms; a runner reads a short prompt in this time. */
const RELEASE_MILLISECONDS = 15;

/** Owns the timer and the listeners of waiting requests. */
export class AdmissionTask {
  private readonly options: Required<AdmissionTaskOptions>;

  private readonly listeners = new Map<string, VerdictListener>();

  private readonly counter;

  private isScheduled = false;

  /** Whether requests wait, as it was last logged, and since when; monotonic ms. */
  private overloadedSince: number | undefined;

  private released = 0;

  /**
   * @param options - the decisions, and the log and metrics that show them.
   */
  constructor(options: AdmissionTaskOptions) {
    this.options = {
      later: (call, milliseconds) => setTimeout(call, milliseconds).unref(),
      ...options,
    };
    const { registry, decisions } = options;
    this.counter = registry.counter({
      name: 'admission_verdicts',
      help: 'Decisions on requests that asked for capacity, by verdict.',
      labels: ['verdict'] as const,
    });
    registry
      .gauge({ name: 'admission_waiting', help: 'Requests that wait for capacity here.' })
      .readFrom(() => decisions.size);
  }

  /**
   * Asks for admission.
   *
   * @param request - the request; one with the same id renews its wait.
   * @param listener - receives the verdict, at once or later.
   */
  ask(request: AdmissionRequest, listener: VerdictListener): void {
    const { decisions, clock } = this.options;
    const verdict = decisions.ask(request, clock.monotonicMilliseconds());
    if (verdict.kind === 'wait') {
      this.listeners.set(request.id, listener);
      this.recordOverload();
      this.schedule();
    }
    this.pass(verdict, listener);
  }

  /**
   * Refuses this daemon's own waiting requests, because it stops; another daemon can take them at once. The daemons that have
   * asked for the others notice that nobody answers, and choose by themselves.
   */
  stop(): void {
    const verdict: FinalVerdict = { kind: 'refuse', retryAfterMilliseconds: 0 };
    for (const { id, isAbandoned } of this.options.decisions.drain()) {
      if (isAbandoned) this.finish(id, verdict);
    }
    this.listeners.clear();
  }

  private release(): void {
    this.isScheduled = false;
    const { decisions, clock } = this.options;
    const now = clock.monotonicMilliseconds();
    for (const { request, verdict } of decisions.release(now)) {
      this.released += 1;
      this.finish(request.id, verdict);
    }
    this.dropListeners();
    if (decisions.size > 0) this.schedule();
    else this.recordRelief(now);
  }

  /** Requests whose callers have left end without a verdict; their listeners hold the bodies of the requests. */
  private dropListeners(): void {
    const { decisions } = this.options;
    if (this.listeners.size === decisions.size) return;
    for (const id of this.listeners.keys()) {
      if (!decisions.isWaiting(id)) this.listeners.delete(id);
    }
  }

  private finish(id: string, verdict: FinalVerdict): void {
    const listener = this.listeners.get(id);
    this.listeners.delete(id);
    if (listener) this.pass(verdict, listener);
  }

  private pass(verdict: AdmissionVerdict, listener: VerdictListener): void {
    this.counter.increment({ verdict: verdict.kind });
    listener(verdict);
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    this.options.later(() => this.release(), RELEASE_MILLISECONDS);
  }

  private recordOverload(): void {
    if (this.overloadedSince !== undefined) return;
    const { clock, log } = this.options;
    this.overloadedSince = clock.monotonicMilliseconds();
    this.released = 0;
    log.write(admissionLogEvents.overloadBegan, {});
  }

  private recordRelief(now: number): void {
    if (this.overloadedSince === undefined) return;
    const milliseconds = Math.round(now - this.overloadedSince);
    this.overloadedSince = undefined;
    const { released } = this;
    this.options.log.write(admissionLogEvents.overloadEnded, { milliseconds, released });
  }
}
