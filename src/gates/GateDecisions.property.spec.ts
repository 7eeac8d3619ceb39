import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { GateDecisions } from './GateDecisions.js';
import { workOf } from './GateLoad.js';
import { gateRequest } from './gateTestRequests.js';
import type { GateAction, GateMessage, GateRequest } from './gateTypes.js';
import { PRIORITIES } from './gateTypes.js';

const BOUND = 1.25;
const RUNNERS = 20;
const FLOOR_REQUESTS = 4;
const MAXIMUM_CONCURRENT = 16;

interface Running {
  readonly request: GateRequest;
  work: number;
  generated: number;
}

/** Reference model that counts the requests of a gate independently, from the gate's actions. */
class ReferenceModel {
  readonly running = new Map<string, Running>();

  readonly waiting = new Map<string, GateRequest>();

  readonly answered = new Set<string>();

  mean = 0;

  isHeld = false;

  work(): number {
    return [...this.running.values()].reduce((sum, { work }) => sum + work, 0);
  }

  apply(requests: ReadonlyMap<string, GateRequest>, actions: readonly GateAction[]): void {
    for (const action of actions) {
      if (action.kind === 'cancel_at_runner') continue;
      const request = requests.get(action.attemptId)!;
      if (action.kind === 'queued') {
        this.waiting.set(action.attemptId, request);
        continue;
      }
      // Only a refusal by the runner may follow an earlier answer, since it comes after the start.
      const again = action.kind === 'refuse' && action.reason === 'runner_refused';
      expect(this.answered.has(action.attemptId)).toEqual(again);
      this.answered.add(action.attemptId);
      this.waiting.delete(action.attemptId);
      if (action.kind === 'start') this.start(request);
    }
  }

  private start(request: GateRequest): void {
    expect(this.isHeld).toEqual(true);
    const work = workOf(request);
    const before = this.work();
    const allWaiting = [...this.waiting.values()].reduce((sum, one) => sum + workOf(one), work);
    const mean = Math.max(this.mean, (before + allWaiting) / RUNNERS) + work / RUNNERS;
    const capacity = BOUND * mean;
    const isFloor = this.running.size < FLOOR_REQUESTS;
    const isWithin = before + Math.min(work, capacity / 2) <= capacity;
    expect(isFloor || isWithin).toEqual(true);
    this.running.set(request.attemptId, { request, work, generated: 0 });
    expect(this.running.size <= MAXIMUM_CONCURRENT).toEqual(true);
  }
}

/** One step of a random run. */
type Step =
  | { readonly kind: 'request'; readonly request: Partial<GateRequest>; readonly again: boolean }
  | { readonly kind: 'mean'; readonly mean: number }
  | {
      readonly kind: 'progress' | 'ended' | 'cancel' | 'refused' | 'started';
      readonly which: number;
      readonly tokens: number;
    }
  | { readonly kind: 'open' | 'openWithCounts' | 'close' | 'tick' };

const request = fc.record({
  clientAccount: fc.constantFrom('a', 'b', 'c'),
  priority: fc.constantFrom(...PRIORITIES),
  deadline: fc.integer({ min: 0, max: 30_000 }),
  promptTokens: fc.integer({ min: 0, max: 3_000 }),
  cachedTokens: fc.integer({ min: 0, max: 3_000 }),
  maximumTokens: fc.integer({ min: 0, max: 1_000 }),
  lastChoice: fc.boolean(),
  accountWeight: fc.integer({ min: 0, max: 3 }),
});

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({ kind: fc.constant('request' as const), request, again: fc.boolean() }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constantFrom('progress', 'ended', 'cancel', 'refused', 'started'),
      which: fc.nat(20),
      tokens: fc.nat(400),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('mean' as const), mean: fc.nat(8_000) }) },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constantFrom('open', 'openWithCounts', 'close', 'tick') }),
  },
);

/** Applies random steps to a gate and compares it with the reference model. */
class RandomRun {
  readonly gate = new GateDecisions({
    maximumConcurrent: MAXIMUM_CONCURRENT,
    maximumQueued: 8,
    floorRequests: FLOOR_REQUESTS,
  });

  readonly model = new ReferenceModel();

  private readonly requests = new Map<string, GateRequest>();

  private now = 0;

  play(next: Step, elapsed: number): void {
    this.now += elapsed;
    if (next.kind === 'request') this.ask(next.request, next.again);
    else if (next.kind === 'mean') {
      this.model.mean = next.mean;
      this.send({ kind: 'pool_mean', mean: next.mean, runners: RUNNERS });
    } else if ('which' in next) this.change(next);
    else this.turn(next.kind);
    const { runningWork, running, queued } = this.gate.snapshot(this.now);
    expect(runningWork).toEqual(this.model.work());
    expect(running).toEqual(this.model.running.size);
    expect(queued).toEqual(this.model.waiting.size);
  }

  /** Closes the gate and checks that every request has been answered. */
  finish(): void {
    this.turn('close');
    expect(this.model.waiting.size).toEqual(0);
    expect([...this.model.answered].sort()).toEqual([...this.requests.keys()].sort());
  }

  private send(message: GateMessage): void {
    this.model.apply(this.requests, this.gate.decide(this.now, message));
  }

  private ask(changes: Partial<GateRequest>, again: boolean): void {
    const attemptId = String(this.requests.size);
    const one = gateRequest(attemptId, {
      ...changes,
      bound: BOUND,
      deadline: this.now + (changes.deadline ?? 0),
    });
    this.requests.set(attemptId, one);
    this.send({ kind: 'request', request: one });
    const inProgress = this.model.running.has(attemptId) || this.model.waiting.has(attemptId);
    if (again && inProgress) this.send({ kind: 'request', request: one });
  }

  private change({ kind, which, tokens }: Extract<Step, { which: number }>): void {
    const attemptId = [...this.model.running.keys()][which];
    if (attemptId === undefined) return;
    const attempt = this.model.running.get(attemptId)!;
    const { promptTokens, maximumTokens } = attempt.request;
    if (kind === 'progress') {
      attempt.generated = Math.max(attempt.generated, tokens);
      if (attempt.generated > 0) attempt.work = Math.max(1, maximumTokens - attempt.generated);
      this.send({ kind, attemptId, generatedTokens: tokens });
      return;
    }
    if (kind === 'started') {
      const uncached = Math.max(0, promptTokens - tokens);
      if (attempt.generated === 0) attempt.work = Math.max(1, uncached + maximumTokens);
      this.send({ kind, attemptId, cachedTokens: tokens });
      return;
    }
    if (kind === 'cancel') {
      this.send({ kind, attemptId });
      return;
    }
    this.model.running.delete(attemptId);
    if (kind === 'refused') this.send({ kind: 'refused_by_runner', attemptId });
    else this.send({ kind, attemptId, end: 'completed' });
  }

  private turn(kind: 'open' | 'openWithCounts' | 'close' | 'tick'): void {
    if (kind === 'close') this.model.isHeld = false;
    if (kind === 'open' || kind === 'openWithCounts') this.model.isHeld = true;
    if (kind === 'openWithCounts') this.send({ kind: 'open', handedOver: [] });
    else this.send({ kind });
  }
}

describe(`${GateDecisions.name}, searched`, () => {
  it('keeps the bound, exact counts and one answer for each request in random runs', () => {
    const randomSteps = fc.array(fc.tuple(step, fc.nat(1_500)), { minLength: 20, maxLength: 150 });
    fc.assert(
      fc.property(randomSteps, (steps) => {
        const run = new RandomRun();
        run.play({ kind: 'openWithCounts' }, 0);
        for (const [next, elapsed] of steps) run.play(next, elapsed);
        run.finish();
      }),
      { numRuns: 300, seed: 7 },
    );
  });
});
