/**
 * Test helper: sends the requests of a load through admission control to a list of runners, in virtual time. Runners read
 * prompts one after the other; they are no model of an engine beyond that.
 */
import { MemoryLog } from '../callers/testFakes.js';
import { AttemptWork } from '../capacity/AttemptWork.js';
import { ObservedCapacity } from '../capacity/ObservedCapacity.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Choice, ChoiceQuestion } from '../runners/RunnerChoice.js';
import { RunnerChoice } from '../runners/RunnerChoice.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { TEST_RUNNER } from '../runners/testRunner.js';
import { WarmPlaces } from '../runners/WarmPlaces.js';
import { ManualClock } from '../time/ManualClock.js';
import { AdmissionDecisions } from './AdmissionDecisions.js';
import { AdmissionTask } from './AdmissionTask.js';

/** Tokens that a runner of usual speed reads in a ms. */
export const READING_RATE = 40;

/** Network and one step of the batch, before the first event; in ms. */
const FIXED_MILLISECONDS = 15;

/** A request of a load, and what became of it; times in ms of virtual time. */
export interface TestRequest {
  at: number;
  account: string;
  urgency: number;
  tokens: number;
  target: number;
  deadline: number;
  /** Id and tokens of a shared part of its prompt. */
  shared?: { id: string; tokens: number };
  /** When its first event arrived; missing if it was not served. */
  servedAt?: number;
  /** When it was refused, once or twice. */
  refusedAt: number[];
  /** Attempts of its caller at which a runner got it. */
  runs: number[];
}

/** Options of a {@link TestOverload}. */
export interface TestOverloadOptions {
  runners: number;
  /** Slowdown of a runner at a time; 1 is usual. */
  slowdownOf?: (index: number, now: number) => number;
  /** Returns random numbers from 0 up to 1. */
  random: () => number;
}

/** Runs one load. */
export class TestOverload {
  readonly clock = new ManualClock();

  readonly decisions: AdmissionDecisions;

  /** Longest time that runners needed, when a request was sent, to read what they had already; in ms. */
  readonly backlogs: number[] = [];

  private readonly calls = new Map<number, (() => void)[]>();

  private readonly freeAt = new Map<string, number>();

  private readonly task: AdmissionTask;

  private readonly observer;

  private number = 0;

  constructor(private readonly options: TestOverloadOptions) {
    const { clock } = this;
    const { random } = options;
    const runners = new RunnerTable();
    const foreignWork = () => ({ promptTokens: 0, memoryTokens: 0, requests: 0 });
    const capacity = new ObservedCapacity({ runners, foreignWork });
    for (let index = 0; index < options.runners; index += 1) {
      runners.put({ ...TEST_RUNNER, id: `${index}`, life: `${index}` });
      capacity.recordSlowdown(runners.get(`${index}`)!, this.slowdownOf(index), 0, 0);
    }
    const warmPlaces = new WarmPlaces();
    const parts = { runners, capacity, warmPlaces, random, dataCentre: 'here' };
    const choice = new RunnerChoice(parts);
    this.observer = { capacity, reports: { recordEventPace: () => undefined } };
    this.decisions = new AdmissionDecisions({ choice, capacity, random });
    const [log, registry] = [new MemoryLog(), new MetricRegistry({ clock })];
    const later = (call: () => void, milliseconds: number) => this.later(call, milliseconds);
    this.task = new AdmissionTask({ decisions: this.decisions, clock, log, registry, later });
  }

  /** Runs the load until all requests have ended. */
  run(requests: readonly TestRequest[]): void {
    for (const request of requests) this.later(() => this.send(request, 0), request.at);
    for (; this.calls.size > 0; this.clock.advance(1)) {
      const calls = this.calls.get(this.now) ?? [];
      for (const call of calls) call();
      this.calls.delete(this.now);
    }
  }

  private get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  private slowdownOf(index: number): number {
    return this.options.slowdownOf?.(index, this.now) ?? 1;
  }

  private later(call: () => void, milliseconds: number): void {
    const at = Math.max(this.now + 1, Math.ceil(this.now + milliseconds));
    this.calls.set(at, [...(this.calls.get(at) ?? []), call]);
  }

  private send(request: TestRequest, attempt: number): void {
    const { now } = this;
    const { at, account: clientAccount, urgency, tokens, target, deadline, shared } = request;
    const own = { id: `${clientAccount} ${at} ${tokens}`, tokens };
    const work = { parts: shared ? [shared, own] : [own], answerTokens: 0 };
    const [targetAt, deadlineAt] = [now + target, at + deadline];
    const place = { service: 'chat', tried: new Set<string>(), connectionLimit: 1_000 };
    const sharedParts = shared ? [shared.id] : [];
    const limits = { urgency, clientAccount, work, targetAt, deadlineAt, now };
    const question: ChoiceQuestion = { ...place, sharedParts, ...limits };
    const id = `${(this.number += 1)}`;
    this.task.ask({ id, question, isAbandoned: () => false }, (verdict) => {
      if (verdict.kind === 'runner') this.read(request, attempt, verdict.choice!);
      if (verdict.kind !== 'refuse') return;
      request.refusedAt.push(this.now);
      const retry = () => this.send(request, attempt + 1);
      if (attempt === 0) this.later(retry, verdict.retryAfterMilliseconds);
    });
  }

  private read(request: TestRequest, attempt: number, { runner, unreadTokens = 0 }: Choice): void {
    const { now, observer } = this;
    const { life } = runner.entry;
    const begin = Math.max(now, this.freeAt.get(life) ?? 0);
    this.backlogs.push(begin - now);
    const slowdown = this.slowdownOf(Number(life));
    const end = begin + (unreadTokens / READING_RATE) * slowdown;
    this.freeAt.set(life, end);
    request.runs.push(attempt);
    const work = new AttemptWork({ runner, unreadTokens, answerTokens: 0, observer });
    work.start(now);
    this.later(
      () => {
        request.servedAt = this.now;
        observer.capacity.recordSlowdown(runner, this.slowdownOf(Number(life)), this.now, this.now);
        work.receive(this.now);
        work.end();
      },
      end + FIXED_MILLISECONDS - now,
    );
  }
}
