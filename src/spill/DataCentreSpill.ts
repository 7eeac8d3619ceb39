/**
 * Decides which requests leave their data centre, by the time that they gain, their bytes, and the spare room elsewhere.
 *
 * A request that reads less elsewhere, because its prompt is cached there, costs the way only. One that leaves because
 * the runners of its data centre are busy also takes room from the callers of the other one; the share of such work
 * rises and falls gradually, and only up to the reserve of the other data centre.
 */
import { BACKLOG_SHARE, LEAST_WORK_MILLISECONDS } from '../admission/AdmissionDecisions.js';
import type { CapacityView } from '../capacity/CapacityView.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import { SpillCost } from '../placement/SpillCost.js';
import type { SpillAlternatives, SpillQuestion } from '../placement/SpillCost.js';
import type { Runner } from '../runners/Runner.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import { DataCentreBacklogs } from './DataCentreBacklogs.js';
import { SpillFlow } from './SpillFlow.js';
import { spillLogEvents } from './spillFeature.js';
import type { SpillSettings } from './spillFeature.js';

/** Options of a {@link DataCentreSpill}. */
export interface DataCentreSpillOptions {
  /** Data centre of this daemon. */
  dataCentre: string;
  runners: Pick<RunnerTable, 'readyOf'>;
  capacity: Pick<CapacityView, 'backlogMilliseconds' | 'workMilliseconds'>;
  settings: SpillSettings;
  log: Log;
  registry: MetricRegistry;
}

/** Bytes of an event of an answer, which carries one token and its framing. */
const ANSWER_BYTES_PER_TOKEN = 60;

const BYTES_PER_KILOBYTE = 1_000;

/** Target of requests until one has stated its own, in ms. */
const DEFAULT_TARGET_MILLISECONDS = 600;

/** Weight of each request in the mean target of its service. */
const TARGET_WEIGHT = 0.02;

/** Why a request leaves its data centre. `no_runner`: no runner in it may get the request. */
type LeavingReason = 'cached' | 'room' | 'no_runner';

interface ServiceState {
  readonly backlogs: DataCentreBacklogs;
  /** By the data centre that sends, and the one that receives. */
  readonly flows: Map<string, Map<string, SpillFlow>>;
  /** Mean time from the arrival of requests to their targets, in ms. */
  target: number | undefined;
}

/** Returns the mean target of a service after a request, in ms. */
function meanTarget(
  known: number | undefined,
  { targetAt, arrivedAt, now }: SpillQuestion,
): number | undefined {
  if (targetAt === undefined) return known;
  const target = Math.max(0, targetAt - (arrivedAt ?? now));
  return known === undefined ? target : known + (target - known) * TARGET_WEIGHT;
}

/** What is the same for all runners that one question is about. */
interface QuestionFigures {
  readonly question: SpillQuestion;
  readonly way: number;
  /** Flows from its data centre; missing until backlogs were measured. */
  readonly flows: ReadonlyMap<string, SpillFlow> | undefined;
}

/** Keeps the backlogs and the flows between data centres of all services. */
export class DataCentreSpill extends SpillCost {
  private readonly options: DataCentreSpillOptions;

  private readonly services = new Map<string, ServiceState>();

  private readonly counter;

  /** Of the last question, as its cost is asked for each of many runners. */
  private figures: QuestionFigures | undefined;

  /**
   * @param options - the runners, their capacity, and the price of leaving the data centre.
   */
  constructor(options: DataCentreSpillOptions) {
    super();
    this.options = options;
    this.counter = options.registry.counter({
      name: 'spilled_requests',
      help: 'Requests that left their data centre, by data centres and reason; counted where it is decided.',
      labels: ['from', 'to', 'reason'] as const,
    });
  }

  override isNear(runner: Runner, question: SpillQuestion): boolean {
    return runner.entry.dataCentre === this.placeOf(question);
  }

  override costMilliseconds(
    runner: Runner,
    question: SpillQuestion,
    alternatives: SpillAlternatives,
  ): number {
    if (this.isNear(runner, question)) return 0;
    const { way, flows } = this.figuresOf(question);
    if (this.reasonOf(way, question, alternatives) !== 'room') return way;
    return flows?.get(runner.entry.dataCentre)?.isOpen ? way : Number.POSITIVE_INFINITY;
  }

  override recordChosen(
    runner: Runner,
    question: SpillQuestion,
    alternatives: SpillAlternatives,
  ): void {
    const { service, now } = question;
    const state = this.currentState(question);
    state.target = meanTarget(state.target, question);
    const from = this.placeOf(question);
    const to = runner.entry.dataCentre;
    const way = this.wayMilliseconds(question);
    const reason = this.reasonOf(way, question, alternatives);
    if (to !== from) this.counter.increment({ from, to, reason });
    if (to !== from && reason !== 'room') return;
    const unread = this.options.capacity.workMilliseconds(service, alternatives.unreadTokens);
    const work = Math.max(LEAST_WORK_MILLISECONDS, unread);
    const flows = state.flows.get(from);
    if (to === from) {
      for (const flow of flows?.values() ?? []) flow.addNearWork(work);
      return;
    }
    const flow = flows?.get(to);
    if (!flow || flow.share === 0) return;
    if (flow.recordLeaving(work, now)) {
      const backlogs = this.backlogFields(state, from, to);
      this.options.log.write(spillLogEvents.began, { service, from, to, ...backlogs });
    }
  }

  /**
   * @param service - name of a service.
   * @param from - data centre that sends.
   * @param to - data centre that receives.
   * @returns Share of the receiver's capacity beside its reserve that the sender may use, 0 to 1.
   */
  shareOf(service: string, from: string, to: string): number {
    return this.services.get(service)?.flows.get(from)?.get(to)?.share ?? 0;
  }

  private figuresOf(question: SpillQuestion): QuestionFigures {
    if (this.figures?.question === question) return this.figures;
    const { flows } = this.currentState(question);
    const way = this.wayMilliseconds(question);
    this.figures = { question, way, flows: flows.get(this.placeOf(question)) };
    return this.figures;
  }

  /** Cost of the way there and back, in ms. */
  private wayMilliseconds({ bodyBytes = 0, work }: SpillQuestion): number {
    const { millisecondsPerHop, millisecondsPerKilobyte } = this.options.settings;
    const bytes = bodyBytes + (work?.answerTokens ?? 0) * ANSWER_BYTES_PER_TOKEN;
    return millisecondsPerHop + (bytes / BYTES_PER_KILOBYTE) * millisecondsPerKilobyte;
  }

  private reasonOf(
    way: number,
    { service }: SpillQuestion,
    { hasNear, unreadTokens, nearUnreadTokens }: SpillAlternatives,
  ): LeavingReason {
    if (!hasNear) return 'no_runner';
    if (unreadTokens === undefined || nearUnreadTokens === undefined) return 'room';
    if (unreadTokens >= nearUnreadTokens) return 'room';
    const { capacity } = this.options;
    const saved = capacity.workMilliseconds(service, nearUnreadTokens - unreadTokens);
    return saved > way ? 'cached' : 'room';
  }

  private currentState({ service, now }: SpillQuestion): ServiceState {
    const state = this.stateOf(service);
    const { runners, capacity } = this.options;
    const backlogOf = (runner: Runner) => capacity.backlogMilliseconds(runner, now);
    const intervals = state.backlogs.measure(runners.readyOf(service), backlogOf, now);
    if (intervals > 0) this.updateFlows(service, state, intervals, now);
    return state;
  }

  private updateFlows(service: string, state: ServiceState, intervals: number, now: number): void {
    const { reservedShare } = this.options.settings;
    const { byPlace } = state.backlogs;
    const bound = (state.target ?? DEFAULT_TARGET_MILLISECONDS) * BACKLOG_SHARE;
    const places = new Set([...byPlace.keys(), ...state.flows.keys()]);
    for (const from of places) {
      for (const to of places) {
        if (from === to) continue;
        const flow = DataCentreSpill.flowOf(state, from, to);
        const ended = flow.update({
          ...{ bound, reservedShare, intervals, now },
          nearBacklog: byPlace.get(from) ?? 0,
          // Nothing is sent to a data centre without usable runners.
          farBacklog: byPlace.get(to) ?? Number.POSITIVE_INFINITY,
          runnerRatio: state.backlogs.runnersIn(to) / Math.max(1, state.backlogs.runnersIn(from)),
          isOneWay: DataCentreSpill.isOneWay(state, from, to, now),
        });
        if (ended) this.recordEnd(service, state, from, to, now);
      }
    }
  }

  private recordEnd(
    service: string,
    state: ServiceState,
    from: string,
    to: string,
    now: number,
  ): void {
    const flow = DataCentreSpill.flowOf(state, from, to);
    const { begunAt, requests } = flow;
    flow.reset();
    if (begunAt === undefined) return;
    const milliseconds = Math.round(now - begunAt);
    const backlogs = this.backlogFields(state, from, to);
    this.options.log.write(spillLogEvents.ended, {
      ...{ service, from, to, requests, milliseconds },
      ...backlogs,
    });
  }

  private backlogFields({ backlogs }: ServiceState, from: string, to: string) {
    const { byPlace } = backlogs;
    return {
      fromBacklogMilliseconds: Math.round(byPlace.get(from) ?? 0),
      toBacklogMilliseconds: Math.round(byPlace.get(to) ?? 0),
    };
  }

  private placeOf({ dataCentre }: SpillQuestion): string {
    return dataCentre ?? this.options.dataCentre;
  }

  /** Whether the sender receives nothing and the receiver sends nothing, so that work makes one way at most. */
  private static isOneWay({ flows }: ServiceState, from: string, to: string, now: number): boolean {
    for (const [sender, ofSender] of flows) {
      for (const [receiver, flow] of ofSender) {
        if ((receiver === from || sender === to) && !flow.isSettled(now)) return false;
      }
    }
    return true;
  }

  private static flowOf({ flows }: ServiceState, from: string, to: string): SpillFlow {
    const ofPlace = flows.get(from) ?? new Map<string, SpillFlow>();
    flows.set(from, ofPlace);
    const flow = ofPlace.get(to) ?? new SpillFlow();
    ofPlace.set(to, flow);
    return flow;
  }

  private stateOf(service: string): ServiceState {
    const known = this.services.get(service);
    if (known) return known;
    const made: ServiceState = {
      backlogs: new DataCentreBacklogs(),
      flows: new Map(),
      target: undefined,
    };
    this.services.set(service, made);
    return made;
  }
}
