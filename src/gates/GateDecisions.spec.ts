import { describe, it } from 'node:test';

import { expect } from 'earl';

import { GateDecisions } from './GateDecisions.js';
import { summarizeActions, gateRequest } from './gateTestRequests.js';
import type { GateAction, GateMessage, LoadReport, RefusalReason } from './gateTypes.js';

/** Opens a gate with an empty handover, so that it knows all work, in a pool of ten with a mean of 1,000 tokens. */
function openGate(options: ConstructorParameters<typeof GateDecisions>[0] = {}): GateDecisions {
  const gate = new GateDecisions(options);
  gate.decide(0, { kind: 'pool_mean', mean: 1_000, runners: 10 });
  gate.decide(0, { kind: 'open', handedOver: [] });
  return gate;
}

function report(load: number, ageMilliseconds = 0): LoadReport {
  return { load, running: 0, queued: 0, ageMilliseconds, tokensPerSecond: 1_000 };
}

function ask(
  gate: GateDecisions,
  now: number,
  ...request: Parameters<typeof gateRequest>
): readonly GateAction[] {
  return gate.decide(now, { kind: 'request', request: gateRequest(...request) });
}

function refusalOf(actions: readonly GateAction[]): Extract<GateAction, { kind: 'refuse' }> {
  const [action] = actions;
  if (action?.kind !== 'refuse') throw new Error(`no refusal but ${JSON.stringify(actions)}`);
  return action;
}

describe(GateDecisions.name, () => {
  it('accepts requests in an idle pool, and a request of any size on an idle runner', () => {
    const idle = new GateDecisions();
    idle.decide(0, { kind: 'open', handedOver: [] });
    idle.decide(0, { kind: 'pool_mean', mean: 0, runners: 13 });
    const started = ['a', 'b', 'c', 'd', 'e'].map(
      (name) => summarizeActions(ask(idle, 0, name))[0],
    );
    expect(started).toEqual(['start a', 'start b', 'start c', 'start d', 'refuse e above_bound']);
    expect(summarizeActions(ask(openGate(), 0, 'large', { promptTokens: 90_000 }))).toEqual([
      'start large',
    ]);
  });

  it('fills a runner up to the bound minus the headroom, and counts progress', () => {
    // Capacity: 1 + 0.25 × 0.75 = 1.1875 times 1,000 tokens (and a tenth of the request itself).
    const gate = openGate();
    const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];
    const kinds = names.map((name) => summarizeActions(ask(gate, 0, name))[0]);
    expect(kinds.slice(-2)).toEqual(['start f', 'refuse g above_bound']);
    gate.decide(10, { kind: 'progress', attemptId: 'a', generatedTokens: 90 });
    expect(gate.snapshot(10).runningWork).toEqual(6 * 200 - 190);
    expect(summarizeActions(ask(gate, 10, 'h'))).toEqual(['start h']);
  });

  it('corrects the count when the prefix was not cached after all', () => {
    const gate = openGate();
    ask(gate, 0, 'a', { promptTokens: 500, cachedTokens: 500 });
    expect(gate.snapshot(0).runningWork).toEqual(100);
    gate.decide(1, { kind: 'started', attemptId: 'a', cachedTokens: 50 });
    expect(gate.snapshot(1).runningWork).toEqual(550);
  });

  it('ignores duplicate, late and unknown messages', () => {
    // Guards against a load below zero and against requests that run twice: a message arrives again, or after the
    // attempt has ended, and changes the counts although its attempt is not on the runner.
    const gate = openGate();
    ask(gate, 0, 'a');
    expect(ask(gate, 1, 'a')).toEqual([]);
    const ended: GateMessage = { kind: 'ended', attemptId: 'a', end: 'completed' };
    gate.decide(2, ended);
    gate.decide(3, ended);
    gate.decide(4, { kind: 'progress', attemptId: 'a', generatedTokens: 5 });
    gate.decide(5, { kind: 'started', attemptId: 'a', cachedTokens: 0 });
    expect(gate.decide(6, { kind: 'refused_by_runner', attemptId: 'a' })).toEqual([]);
    expect(gate.decide(7, { kind: 'cancel', attemptId: 'never' })).toEqual([]);
    expect(gate.snapshot(8).runningWork).toEqual(0);
  });

  const unreachable: [string, number, RefusalReason][] = [
    ['the deadline has passed', 0, 'deadline_unreachable'],
    ['the queue drains too slowly', 150, 'deadline_unreachable'],
  ];
  for (const [name, left, reason] of unreachable) {
    it(`refuses at once when ${name}, and says when to come back`, () => {
      const gate = openGate({ maximumConcurrent: 1 });
      ask(gate, 0, 'running', { maximumTokens: 2_000 });
      const request = { deadline: left, lastChoice: true };
      const refusal = refusalOf(ask(gate, 0, 'late', request));
      expect(refusal.reason).toEqual(reason);
      expect(refusal.retryAfterMilliseconds >= 50).toEqual(true);
    });
  }

  it('refuses a waiting request as soon as it is known to start too late, not at its deadline', () => {
    // Guards against a caller that gets a refusal only at its deadline: its request is queued for a fast runner
    // that then slows down, and the wait is estimated on arrival only.
    const gate = openGate({ maximumConcurrent: 1 });
    ask(gate, 0, 'running', { maximumTokens: 5_000 });
    gate.decide(0, { kind: 'load_report', report: { ...report(0), tokensPerSecond: 100_000 } });
    const deadline = 20_000;
    expect(summarizeActions(ask(gate, 0, 'waiting', { deadline, lastChoice: true }))).toEqual([
      'queued waiting',
    ]);
    let refusedAt: number | undefined;
    for (let now = 100; now < deadline && refusedAt === undefined; now += 100) {
      // One token in 100 ms, of 5,000.
      const generatedTokens = now / 100;
      const actions = [
        ...gate.decide(now, { kind: 'progress', attemptId: 'running', generatedTokens }),
        ...gate.decide(now, { kind: 'tick' }),
      ];
      if (actions.some(({ kind }) => kind === 'refuse')) refusedAt = now;
    }
    expect(refusedAt !== undefined && refusedAt < deadline / 2).toEqual(true);
  });

  it('computes the retry time from the measured throughput', () => {
    const gate = openGate({ floorRequests: 1 });
    ask(gate, 0, 'a', { promptTokens: 0, maximumTokens: 30_000 });
    // 2 tokens a millisecond, for long enough to replace the initial rate.
    for (let now = 0; now <= 10_000; now += 100)
      gate.decide(now, { kind: 'progress', attemptId: 'a', generatedTokens: now * 2 });
    const { retryAfterMilliseconds } = refusalOf(ask(gate, 10_000, 'b', { promptTokens: 0 }));
    const surplus = 10_000 + 100 - 1_000 * 1.1875;
    expect(Math.abs(retryAfterMilliseconds / (surplus / 2) - 1) < 0.25).toEqual(true);
  });

  it('starts nothing after it closed, answers all that wait, and lets the running finish', () => {
    // Guards against two daemons that send to one runner: the gate moves to another daemon while requests wait, and
    // the old holder starts its queued requests after the new holder has opened the gate.
    const gate = openGate({ maximumConcurrent: 1 });
    ask(gate, 0, 'running');
    ask(gate, 0, 'waiting', { lastChoice: true });
    expect(summarizeActions(gate.decide(1, { kind: 'close' }))).toEqual([
      'refuse waiting gate_not_here',
    ]);
    expect(summarizeActions(ask(gate, 2, 'new', { lastChoice: true }))).toEqual([
      'refuse new gate_not_here',
    ]);
    expect(gate.heldWork()).toEqual([
      { attemptId: 'running', clientAccount: 'showroom', work: 200 },
    ]);
    gate.decide(3, { kind: 'ended', attemptId: 'running', end: 'completed' });
    expect(gate.snapshot(3).state).toEqual('closed');
  });

  it('opens gradually without counts, and counts what the runner reports', () => {
    // Guards against a runner at twice the bound after a daemon has died: the old holder's counts are lost without a
    // handover, and the new holder assumes that the runner is empty.
    const gate = new GateDecisions();
    gate.decide(0, { kind: 'pool_mean', mean: 10_000, runners: 10 });
    gate.decide(0, { kind: 'open' });
    gate.decide(100, { kind: 'load_report', report: report(9_000) });
    const early = [1, 2, 3, 4, 5, 6].map((name) => summarizeActions(ask(gate, 200, `e${name}`))[0]);
    expect(early.filter((text) => text?.startsWith('start')).length < 4).toEqual(true);
    expect(early.at(-1)).toEqual('refuse e6 gate_opening');
    gate.decide(9_000, { kind: 'load_report', report: report(0) });
    expect(gate.snapshot(9_000).state).toEqual('open');
  });

  it('admits a growing share while the load of the runner is unknown', () => {
    const gate = new GateDecisions();
    gate.decide(0, { kind: 'pool_mean', mean: 10_000, runners: 10 });
    gate.decide(0, { kind: 'open' });
    const startedBy = (now: number): number => {
      for (let index = 0; index < 70; index += 1) ask(gate, now, `${now}-${index}`);
      return gate.snapshot(now).running;
    };
    // 4 %, a half and all of a capacity of about 59 requests.
    const counts = [startedBy(200), startedBy(2_500), startedBy(5_100)];
    expect(counts[0]! <= 4 && counts[1]! > 20 && counts[1]! < 32 && counts[2]! > 50).toEqual(true);
  });

  it('starts with the counts that were handed over', () => {
    const gate = new GateDecisions();
    gate.decide(0, { kind: 'pool_mean', mean: 1_000, runners: 10 });
    gate.decide(0, {
      kind: 'open',
      handedOver: [{ attemptId: 'old', clientAccount: 'showroom', work: 1_100 }],
    });
    expect(refusalOf(ask(gate, 0, 'a')).reason).toEqual('above_bound');
  });

  it('restarts its slow start after a pause of the process', () => {
    // Guards against a runner that is loaded twice: a daemon is paused for seconds, another daemon takes over its
    // gates, and the first one resumes with its old counts without noticing the pause.
    const gate = openGate();
    gate.decide(500, { kind: 'tick' });
    ask(gate, 60_000, 'a', { deadline: 99_000 });
    expect(gate.snapshot(60_000).state).toEqual('opening');
  });

  it('keeps leaving final for an incarnation', () => {
    // Guards against work that is sent to a leaving runner: after "leaving", an outdated or flapping "live" arrives,
    // and the last message wins whatever incarnation it is about.
    const gate = openGate({ maximumConcurrent: 1 });
    ask(gate, 0, 'running');
    ask(gate, 0, 'waiting', { lastChoice: true });
    const state = (name: 'live' | 'leaving', incarnation: number): readonly GateAction[] =>
      gate.decide(1, { kind: 'runner_state', state: name, incarnation });
    expect(summarizeActions(state('leaving', 2))).toEqual(['refuse waiting runner_leaving']);
    state('live', 1);
    state('live', 2);
    expect(refusalOf(ask(gate, 2, 'a')).reason).toEqual('runner_leaving');
    state('live', 3);
    gate.decide(3, { kind: 'ended', attemptId: 'running', end: 'completed' });
    expect(summarizeActions(ask(gate, 4, 'b'))).toEqual(['start b']);
  });

  it('limits an account to its share without limiting other accounts', () => {
    // A limit of 8 requests over 10 runners: 2 gates with 4 each.
    const gate = openGate();
    gate.decide(0, { kind: 'pool_mean', mean: 100_000, runners: 10 });
    const limited = { accountMaximumConcurrent: 8 };
    const kinds = ['a', 'b', 'c', 'd', 'e'].map(
      (name) => summarizeActions(ask(gate, 0, name, limited))[0],
    );
    expect(kinds.at(-1)).toEqual('refuse e account_limit');
    expect(summarizeActions(ask(gate, 0, 'other', { clientAccount: 'counter' }))).toEqual([
      'start other',
    ]);
    gate.decide(1, { kind: 'ended', attemptId: 'a', end: 'completed' });
    expect(summarizeActions(ask(gate, 2, 'f', limited))).toEqual(['start f']);
  });

  it('charges tokens by the minute and gives back what was not used', () => {
    const gate = openGate();
    gate.decide(0, { kind: 'pool_mean', mean: 1_000_000, runners: 1 });
    const limited = { accountMaximumTokensPerMinute: 6_000, maximumTokens: 1_900 };
    expect(summarizeActions(ask(gate, 0, 'a', limited))).toEqual(['start a']);
    const refusal = refusalOf(ask(gate, 0, 'b', limited));
    expect(refusal.reason).toEqual('account_limit');
    gate.decide(100, { kind: 'progress', attemptId: 'a', generatedTokens: 10 });
    gate.decide(100, { kind: 'ended', attemptId: 'a', end: 'completed' });
    expect(summarizeActions(ask(gate, 200, 'c', limited))).toEqual(['start c']);
  });
});
