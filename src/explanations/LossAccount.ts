/**
 * An account of what callers lost and why, from the lines of any number of daemons.
 *
 * Lines are taken one by one and not kept, so that logs of any size can be read; those of one daemon have to come
 * in the order in which it wrote them.
 */
import { daemonLogEvents } from '../daemon/daemonFeature.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { routerLogEvents } from '../router/routerFeature.js';
import { DaemonLog } from './DaemonLog.js';
import type { LogLine } from './logLine.js';
import { failedAttemptOf, lossOf, numberOf, textOf } from './lossDecisions.js';
import { CauseTally, GroupTally } from './LossTally.js';
import type { LogExtent, Loss, LossSummary } from './lossTypes.js';

const MILLISECONDS_PER_SECOND = 1_000;

const { answered, notServed, callerLeft, attemptFailed, hedged, rejected } = forwardingLogEvents;

const { started, stopped, linesLeftOut, linesDropped } = routerLogEvents;

const { logLinesDropped } = daemonLogEvents;

/** Options of a {@link LossAccount}. */
export interface LossAccountOptions {
  /** Length of the moments that losses are summed by. */
  momentSeconds?: number;
}

function later(one: string | undefined, other: string): string {
  return one === undefined || other > one ? other : one;
}

/** See the module's comment. */
export class LossAccount {
  private readonly momentMilliseconds: number;

  private readonly daemons = new Map<string, DaemonLog>();

  private readonly causes = new CauseTally();

  private readonly routes = new GroupTally();

  private readonly moments = new GroupTally();

  private readonly runners = new GroupTally();

  private readonly handlers: ReadonlyMap<number, (line: LogLine, log: DaemonLog) => void>;

  private requests = 0;

  private lost = 0;

  private saved = 0;

  private starts = 0;

  private unplannedEnds = 0;

  private leftOutLines = 0;

  private droppedLines = 0;

  /**
   * @param options - how finely losses are summed.
   */
  constructor({ momentSeconds = 1 }: LossAccountOptions = {}) {
    this.momentMilliseconds = momentSeconds * MILLISECONDS_PER_SECOND;
    const end = (line: LogLine, log: DaemonLog) => this.takeEnd(line, log);
    this.handlers = new Map([
      [answered.number, end],
      [notServed.number, end],
      [callerLeft.number, end],
      [rejected.number, (line) => this.takeRejected(line)],
      [attemptFailed.number, (line, log) => this.takeFailedAttempt(line, log)],
      [hedged.number, ({ fields, time }, log) => log.attempted(textOf(fields.request), time)],
      [started.number, (_line, log) => this.takeStart(log)],
      [stopped.number, ({ fields }, log) => log.stoppedWith(numberOf(fields.cut) ?? 0)],
      [linesLeftOut.number, (line) => this.takeLeftOut(line)],
      [logLinesDropped.number, (line) => this.takeDropped(line)],
      [linesDropped.number, (line) => this.takeDropped(line)],
    ]);
  }

  /**
   * @param line - the next one of its daemon.
   */
  take(line: LogLine): void {
    const log = this.logOf(line);
    this.handlers.get(line.number)?.(line, log);
    for (const loss of log.read(line.time)) this.add(loss);
  }

  /** @returns The sums, once all lines are taken; requests that are still open count as lost. */
  finish(): LossSummary {
    for (const log of this.daemons.values()) this.endProcess(log);
    return {
      extent: this.extent(),
      requests: this.requests,
      lost: this.lost,
      saved: this.saved,
      causes: this.causes.sums(),
      routes: this.routes.sums(),
      moments: this.moments.sums(),
      runners: this.runners.sums(),
    };
  }

  private logOf({ daemon, time }: LogLine): DaemonLog {
    const known = this.daemons.get(daemon);
    if (known) return known;
    const made = new DaemonLog(time);
    this.daemons.set(daemon, made);
    return made;
  }

  /** A refusal at once was never in progress, so that a stop could not cut it. */
  private takeRejected(line: LogLine): void {
    const loss = lossOf(line, { failures: [], isStopped: false });
    if (loss) this.add(loss);
  }

  private takeEnd(line: LogLine, log: DaemonLog): void {
    const failures = log.ended(textOf(line.fields.request));
    const loss = lossOf(line, { failures, isStopped: log.isStopped });
    if (loss) {
      this.add(loss);
      return;
    }
    if (failures.length > 0) this.saved += 1;
    const { fields, time } = line;
    this.count({ route: textOf(fields.route), runner: textOf(fields.runner), time });
  }

  private takeFailedAttempt({ fields, time }: LogLine, log: DaemonLog): void {
    const failure = failedAttemptOf(fields);
    log.attempted(textOf(fields.request), time, failure);
    this.runners.addFailedAttempt(failure.runner);
    this.moments.addFailedAttempt(this.momentOf(time));
  }

  private takeStart(log: DaemonLog): void {
    this.starts += 1;
    if (log.endsUnplanned) this.unplannedEnds += 1;
    this.endProcess(log);
  }

  private endProcess(log: DaemonLog): void {
    for (const loss of log.endProcess()) this.add(loss);
  }

  private takeLeftOut({ fields }: LogLine): void {
    this.leftOutLines += numberOf(fields.lines) ?? 0;
  }

  private takeDropped({ fields }: LogLine): void {
    this.droppedLines += numberOf(fields.lines) ?? 0;
  }

  private add(loss: Loss): void {
    this.lost += 1;
    this.causes.add(loss);
    this.count(loss, loss);
  }

  private count({ route, runner, time }: Pick<Loss, 'route' | 'runner' | 'time'>, loss?: Loss) {
    this.requests += 1;
    this.routes.addRequest(route, loss);
    this.runners.addRequest(runner, loss);
    this.moments.addRequest(this.momentOf(time), loss);
  }

  private momentOf(time: string): string {
    const start = Math.floor(Date.parse(time) / this.momentMilliseconds) * this.momentMilliseconds;
    return new Date(start).toISOString();
  }

  private extent(): LogExtent {
    const logs = [...this.daemons.values()];
    const firstTimes = logs.map(({ firstTime }) => firstTime).sort();
    return {
      daemons: logs.length,
      starts: this.starts,
      unplannedEnds: this.unplannedEnds,
      firstTime: firstTimes[0],
      lastTime: logs.reduce<string | undefined>(
        (last, log) => later(last, log.lastTime),
        undefined,
      ),
      completeFrom: firstTimes.at(-1),
      leftOutLines: this.leftOutLines,
      droppedLines: this.droppedLines,
    };
  }
}
