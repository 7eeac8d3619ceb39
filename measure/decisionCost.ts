/**
 * Measures the time of each decision and the memory of a chat home, as the fleet grows.
 */
import { performance } from 'node:perf_hooks';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { Command, Option } from 'clipanion';

import { GateDecisions } from '../src/gates/GateDecisions.js';
import type { GateRequest } from '../src/gates/gateTypes.js';
import { ChatHomeDecisions } from '../src/homes/ChatHomeDecisions.js';
import { PlacementDecisions } from '../src/routing/PlacementDecisions.js';
import { rendezvousPick } from '../src/routing/rendezvous.js';
import { printRecords } from './routing/printRecords.js';

/** Time of one decision at one size of the fleet. */
interface CostResult {
  readonly measurement: 'decision-cost';
  readonly decision: string;
  /** Quantity that grows. */
  readonly of: string;
  readonly size: number;
  readonly microseconds: number;
}

/** Memory of one chat home. */
interface MemoryResult {
  readonly measurement: 'home-memory';
  readonly chats: number;
  readonly runnersOfChat: number;
  readonly megabytes: number;
  readonly bytesOfChat: number;
}

const ROUNDS = 3_000;
const BLOCKS = 7;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const BYTES_PER_MEGABYTE = 1e6;
const RUNNER_SIZES = [13, 100, 300, 1_500];
const DAEMON_SIZES = [8, 130, 390];
const CHAT_SIZES = [1_000, 18_000, 36_000];
const RUNNING_SIZES = [1, 40, 160];
const RUNNERS_OF_CHAT = [1, 2, 8];

/** @returns The median time of several blocks, so that an interruption by other processes does not count. */
function microseconds(decide: (round: number) => void): number {
  const blocks: number[] = [];
  for (let block = 0; block < BLOCKS; block += 1) {
    const before = performance.now();
    for (let round = 0; round < ROUNDS; round += 1) decide(block * ROUNDS + round);
    blocks.push(((performance.now() - before) * MICROSECONDS_PER_MILLISECOND) / ROUNDS);
  }
  return blocks.sort((a, b) => a - b)[Math.floor(BLOCKS / 2)]!;
}

function placementCost(runners: number): number {
  const placement = new PlacementDecisions();
  const candidates = Array.from({ length: runners }, (_, index) => ({
    id: `runner-${index}`,
    state: 'live' as const,
    dataCentre: `data-centre-${index % 3}`,
    region: 'region',
    accelerators: 8,
  }));
  const lightest = candidates
    .slice(0, Math.ceil(runners / 3))
    .map(({ id }, index) => ({ runnerId: id, load: 800 + index }));
  return microseconds((round) => {
    placement.place({
      requestId: 'request',
      service: 'chat',
      chat: `chat-${round}`,
      clientAccount: 'account',
      promptTokens: 2_000,
      maximumTokens: 500,
      deadlineMilliseconds: 10_000,
      dataCentre: 'data-centre-0',
      region: 'region',
      policy: { bound: 1.25, warmChoices: 8, coldChoices: 4, reuseWeight: 0.8, overflow: 'region' },
      candidates,
      warm: [{ runnerId: 'runner-1', cachedTokens: 1_800, ageMilliseconds: 10 }],
      mean: 1_000,
      lightest,
      refusals: [],
    });
  });
}

function gateRequest(attemptId: string): GateRequest {
  return {
    attemptId,
    requestId: attemptId,
    clientAccount: 'account',
    priority: 'standard',
    deadline: 1e9,
    promptTokens: 200,
    cachedTokens: 0,
    maximumTokens: 300,
    bound: 1.25,
    lastChoice: false,
    accountWeight: 1,
    accountMaximumConcurrent: 0,
    accountMaximumTokensPerMinute: 0,
  };
}

/** All decisions of a gate for one request: admission, start, ten progress messages and end. */
function gateCost(running: number): number {
  const gate = new GateDecisions({ maximumConcurrent: running + 1 });
  gate.decide(0, { kind: 'open', handedOver: [] });
  gate.decide(0, { kind: 'pool_mean', mean: 1e9, runners: 10 });
  for (let index = 0; index < running; index += 1)
    gate.decide(0, { kind: 'request', request: gateRequest(`running-${index}`) });
  return microseconds((round) => {
    const attemptId = String(round);
    gate.decide(round, { kind: 'request', request: gateRequest(attemptId) });
    gate.decide(round, { kind: 'started', attemptId, cachedTokens: 0 });
    for (let tokens = 30; tokens <= 300; tokens += 30)
      gate.decide(round, { kind: 'progress', attemptId, generatedTokens: tokens });
    gate.decide(round, { kind: 'ended', attemptId, end: 'completed' });
  });
}

function homeWith(chats: number, runnersOfChat: number): ChatHomeDecisions {
  const home = new ChatHomeDecisions({ maximumChats: chats });
  for (let chat = 0; chat < chats; chat += 1)
    for (let runner = 0; runner < runnersOfChat; runner += 1)
      home.decide(chat, {
        kind: 'tell',
        service: 'chat',
        chat: `chat-0123456789abcdef-${chat}`,
        runnerId: `runner-${(chat + runner) % 300}`,
        cachedTokens: 1_000 + chat,
      });
  return home;
}

function homeCost(chats: number): number {
  const home = homeWith(chats, 2);
  return microseconds((round) => {
    const chat = `chat-0123456789abcdef-${round % chats}`;
    home.decide(chats + round, { kind: 'ask', question: 'q', service: 'chat', chat });
    home.decide(chats + round, {
      kind: 'tell',
      service: 'chat',
      chat,
      runnerId: `runner-${round % 300}`,
      cachedTokens: 2_000,
    });
  });
}

function ownerCost(daemons: number): number {
  const members = Array.from({ length: daemons }, (_, index) => ({ id: `daemon-${index}` }));
  return microseconds((round) => {
    rendezvousPick(`chat-${round}`, members);
  });
}

function homeMemory(chats: number, runnersOfChat: number, collect: () => void): MemoryResult {
  collect();
  const before = process.memoryUsage().heapUsed;
  const home = homeWith(chats, runnersOfChat);
  collect();
  const bytes = process.memoryUsage().heapUsed - before;
  return {
    measurement: 'home-memory',
    chats: home.size,
    runnersOfChat,
    megabytes: bytes / BYTES_PER_MEGABYTE,
    bytesOfChat: Math.round(bytes / chats),
  };
}

function costs(
  decision: string,
  of: string,
  sizes: readonly number[],
  measure: (size: number) => number,
): CostResult[] {
  return sizes.map((size) => ({
    measurement: 'decision-cost',
    decision,
    of,
    size,
    microseconds: measure(size),
  }));
}

/** `npm run measure -- decision-cost`. */
export class DecisionCostMeasurement extends Command {
  static override paths = [['decision-cost']];

  static override usage = Command.Usage({
    description: 'Time of the decisions on a request, and memory of a home, as the fleet grows.',
    details: `
      The time is the median of seven blocks of ${String(ROUNDS)} rounds by the wall clock; a busy machine makes it
      longer. A placement is one choice; a gate's round is a whole request with ten progress messages; a
      home's round is one question and one change; an owner's is one pick by rendezvous hashing.
    `,
    examples: [['All of it', 'npm run measure -- decision-cost']],
  });

  json = Option.Boolean('--json', false, { description: 'One object a line.' });

  override async execute(): Promise<number> {
    const results = [
      ...costs('placement', 'runners of the pool', RUNNER_SIZES, placementCost),
      ...costs('gate, whole request', 'requests on the runner', RUNNING_SIZES, gateCost),
      ...costs('home, ask and tell', 'chats of the home', CHAT_SIZES, homeCost),
      ...costs('owner by hash', 'daemons', DAEMON_SIZES, ownerCost),
    ];
    printRecords(this.context.stdout, results, this.json);
    setFlagsFromString('--expose_gc');
    const collect = runInNewContext('gc') as () => void;
    const memory = CHAT_SIZES.flatMap((chats) =>
      RUNNERS_OF_CHAT.map((runners) => homeMemory(chats, runners, collect)),
    );
    printRecords(this.context.stdout, memory, this.json);
    return 0;
  }
}
