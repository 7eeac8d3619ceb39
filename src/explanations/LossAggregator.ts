/**
 * Aggregates lost requests and their causes from the log lines of any number of daemons.
 *
 * Lines are processed one by one and not stored, so that logs of any size can be read. The lines of one daemon have to
 * come in the order in which it wrote them.
 */
import { daemonLogEvents } from '../daemon/daemonFeature.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { routerLogEvents } from '../router/routerFeature.js';
import { DaemonLogState } from './DaemonLogState.js';
import type { LogLine } from './logLine.js';
import {
  parseFailedAttempt,
  classifyLoss,
  numberOrUndefined,
  textOrPlaceholder,
} from './classifyLoss.js';
import { CauseTally, GroupTally } from './LossTally.js';
import type { LogCoverage, Loss, LossSummary } from './lossTypes.js';

const MILLISECONDS_PER_SECOND = 1_000;

const { answered, notServed, callerLeft, attemptFailed, hedged, rejected } = forwardingLogEvents;

const { started, stopped, linesLeftOut, linesDropped } = routerLogEvents;

const { logLinesDropped } = daemonLogEvents;

/** Options of a {@link LossAggregator}. */
export interface LossAggregatorOptions {
  /** Length in seconds of the time intervals (moments) by which losses are summed; 1 by default. */
  momentSeconds?: number;
}

function laterTime(one: string | undefined, other: string): string {
  return one === undefined || other > one ? other : one;
}

/** Counts requests and losses by cause, route, moment and runner while log lines are added. */
export class LossAggregator {
  private readonly momentMilliseconds: number;

  private readonly daemons = new Map<string, DaemonLogState>();

  private readonly causes = new CauseTally();

  private readonly routes = new GroupTally();

  private readonly moments = new GroupTally();

  private readonly runners = new GroupTally();

  private readonly handlers: ReadonlyMap<number, (line: LogLine, log: DaemonLogState) => void>;

  private requests = 0;

  private lost = 0;

  private saved = 0;

  private starts = 0;

  private unplannedEnds = 0;

  private leftOutLines = 0;

  private droppedLines = 0;

  /**
   * @param options - length of the time intervals.
   */
  constructor({ momentSeconds = 1 }: LossAggregatorOptions = {}) {
    this.momentMilliseconds = momentSeconds * MILLISECONDS_PER_SECOND;
    const end = (line: LogLine, log: DaemonLogState) => this.handleRequestEnd(line, log);
    this.handlers = new Map([
      [answered.number, end],
      [notServed.number, end],
      [callerLeft.number, end],
      [rejected.number, (line) => this.handleRejection(line)],
      [attemptFailed.number, (line, log) => this.handleFailedAttempt(line, log)],
      [
        hedged.number,
        ({ fields, time }, log) => log.recordAttempt(textOrPlaceholder(fields.request), time),
      ],
      [started.number, (_line, log) => this.handleStart(log)],
      [stopped.number, ({ fields }, log) => log.recordStop(numberOrUndefined(fields.cut) ?? 0)],
      [linesLeftOut.number, (line) => this.handleLinesLeftOut(line)],
      [logLinesDropped.number, (line) => this.handleLinesDropped(line)],
      [linesDropped.number, (line) => this.handleLinesDropped(line)],
    ]);
  }

  /**
   * Processes one log line.
   *
   * @param line - next line of its daemon's log.
   */
  addLine(line: LogLine): void {
    const log = this.logOf(line);
    this.handlers.get(line.number)?.(line, log);
    for (const loss of log.advanceTo(line.time)) this.addLoss(loss);
  }

  /**
   * Ends the aggregation after the last line. Requests that have no end by then count as lost.
   *
   * @returns All sums.
   */
  finish(): LossSummary {
    for (const log of this.daemons.values()) this.endProcess(log);
    return {
      coverage: this.extent(),
      requests: this.requests,
      lost: this.lost,
      recovered: this.saved,
      causes: this.causes.sums(),
      routes: this.routes.sums(),
      moments: this.moments.sums(),
      runners: this.runners.sums(),
    };
  }

  private logOf({ daemon, time }: LogLine): DaemonLogState {
    const known = this.daemons.get(daemon);
    if (known) return known;
    const created = new DaemonLogState(time);
    this.daemons.set(daemon, created);
    return created;
  }

  /** Counts a request that was rejected on arrival. It was never in progress, so that a stop cannot have cut it. */
  private handleRejection(line: LogLine): void {
    const loss = classifyLoss(line, { failures: [], isStopped: false });
    if (loss) this.addLoss(loss);
  }

  private handleRequestEnd(line: LogLine, log: DaemonLogState): void {
    const failures = log.endRequest(textOrPlaceholder(line.fields.request));
    const loss = classifyLoss(line, { failures, isStopped: log.isStopped });
    if (loss) {
      this.addLoss(loss);
      return;
    }
    if (failures.length > 0) this.saved += 1;
    const { fields, time } = line;
    this.countRequest({
      route: textOrPlaceholder(fields.route),
      runner: textOrPlaceholder(fields.runner),
      time,
    });
  }

  private handleFailedAttempt({ fields, time }: LogLine, log: DaemonLogState): void {
    const failure = parseFailedAttempt(fields);
    log.recordAttempt(textOrPlaceholder(fields.request), time, failure);
    this.runners.addFailedAttempt(failure.runner);
    this.moments.addFailedAttempt(this.momentOf(time));
  }

  private handleStart(log: DaemonLogState): void {
    this.starts += 1;
    if (log.isEndUnplanned) this.unplannedEnds += 1;
    this.endProcess(log);
  }

  private endProcess(log: DaemonLogState): void {
    for (const loss of log.endProcess()) this.addLoss(loss);
  }

  private handleLinesLeftOut({ fields }: LogLine): void {
    this.leftOutLines += numberOrUndefined(fields.lines) ?? 0;
  }

  private handleLinesDropped({ fields }: LogLine): void {
    this.droppedLines += numberOrUndefined(fields.lines) ?? 0;
  }

  private addLoss(loss: Loss): void {
    this.lost += 1;
    this.causes.add(loss);
    this.countRequest(loss, loss);
  }

  private countRequest(
    { route, runner, time }: Pick<Loss, 'route' | 'runner' | 'time'>,
    loss?: Loss,
  ) {
    this.requests += 1;
    this.routes.addRequest(route, loss);
    this.runners.addRequest(runner, loss);
    this.moments.addRequest(this.momentOf(time), loss);
  }

  private momentOf(time: string): string {
    const start = Math.floor(Date.parse(time) / this.momentMilliseconds) * this.momentMilliseconds;
    return new Date(start).toISOString();
  }

  private extent(): LogCoverage {
    const logs = [...this.daemons.values()];
    const firstTimes = logs.map(({ firstTime }) => firstTime).sort();
    return {
      daemons: logs.length,
      starts: this.starts,
      unplannedEnds: this.unplannedEnds,
      firstTime: firstTimes[0],
      lastTime: logs.reduce<string | undefined>(
        (last, log) => laterTime(last, log.lastTime),
        undefined,
      ),
      completeFrom: firstTimes.at(-1),
      leftOutLines: this.leftOutLines,
      droppedLines: this.droppedLines,
    };
  }
}
