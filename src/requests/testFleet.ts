/**
 * Simulation of three daemons in memory: real owners of requests, with links and gates that fail
 * as the test says.
 */
import { mock } from 'node:test';

import type { Client } from '@connectrpc/connect';

import { GatePort } from '../gates/GatePort.js';
import type {
  ExecuteEvent,
  ExecuteRequest,
  Member,
  PeerService,
  ResumeRequest,
  RunBoundRequest,
} from '../generated/baobabdock/v1/peers_pb.js';
import { SilentLog } from '../logging/Log.js';
import { PeerLink } from '../peers/PeerLink.js';
import { SignedTokens } from '../peers/SignedTokens.js';
import { RequestOwner } from './RequestOwner.js';
import type { CallerEvent, CallerRequest } from './requestTypes.js';
import { FakeChooser, FakeFleet, FakeHomes, collect, memberOf, requestOf } from './testFakes.js';
import type { GateScript } from './testGates.js';
import { FakeGates, FakeRunners, gateEvent, healthy, withoutEvents } from './testGates.js';
import { VirtualTime } from './testTime.js';

/** Ids of the daemons. */
export const DAEMONS = ['daemon-0', 'daemon-1', 'daemon-2'];

/**
 * Virtual time at the end of a simulation, in milliseconds: longer than any deadline, binding
 * lifetime and chain of retries.
 */
const SETTLE_MILLISECONDS = 300_000;

/** Faults of a call between daemons. */
export const LINK_FAULTS = [
  'none',
  'lost',
  'answer_lost',
  'cut',
  'doubled',
  'late',
  'very_late',
] as const;
type LinkFault = (typeof LINK_FAULTS)[number];

async function loseConnection(): Promise<never> {
  throw new Error('lost');
}

/** Faults of an attempt at a gate. */
export const GATE_FAULTS = {
  none: healthy,
  async *refused(attempt) {
    yield attempt.refused('runner_refused');
  },
  /**
   * The refusal concerns the client account, so it ends the request as "not run" without a retry.
   */
  async *limited(attempt) {
    yield attempt.refused('account_limit', 1_000);
  },
  lost: withoutEvents(loseConnection),
  answerLost: withoutEvents((attempt) => {
    attempt.run();
    return loseConnection();
  }),
  /**
   * The caller of the gate sees a broken connection, but the gate runs the request later all the
   * same.
   */
  runsLater: withoutEvents((attempt) => {
    setTimeout(() => attempt.run(), 1_500);
    return loseConnection();
  }),
  async *cut(attempt) {
    attempt.run();
    yield attempt.head();
    yield attempt.chunk(1);
    await loseConnection();
  },
  async *slow(attempt) {
    await attempt.wait(1_000);
    yield* healthy(attempt);
  },
  frozen: withoutEvents((attempt) => attempt.freeze()),
  frozenAfterStart: withoutEvents((attempt) => {
    attempt.run();
    return attempt.freeze();
  }),
} satisfies Record<string, GateScript>;

/** Faults of a resume. */
export const RESUME_FAULTS = {
  lost: new Error('lost'),
  not_here: gateEvent('refused', { reason: 'gate_not_here' }),
  draining: gateEvent('refused', { reason: 'draining' }),
};

/** The faults of a simulation; each list is used up in its order. */
export interface Faults {
  readonly linkFaults: readonly LinkFault[];
  readonly gateFaults: readonly (keyof typeof GATE_FAULTS)[];
  readonly resumeFaults: readonly (keyof typeof RESUME_FAULTS)[];
}

const NO_EVENTS: AsyncIterable<never> = {
  [Symbol.asyncIterator]: () => ({ next: () => new Promise(() => {}) }),
};

/** The gates as used by one process: once the process is dead it sends nothing any more. */
class ProcessGates extends GatePort {
  alive = true;

  private readonly gates: FakeGates;

  constructor(gates: FakeGates) {
    super();
    this.gates = gates;
  }

  override execute(request: ExecuteRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    return this.alive ? this.gates.execute(request, signal) : NO_EVENTS;
  }

  override resume(request: ResumeRequest): AsyncIterable<ExecuteEvent> {
    return this.alive ? this.gates.resume(request) : NO_EVENTS;
  }

  override async cancel(): Promise<boolean> {
    return true;
  }
}

interface DaemonProcess {
  readonly owner: RequestOwner;
  readonly gates: ProcessGates;
}

interface Submission {
  readonly binding: number;
  readonly process: DaemonProcess;
  readonly events: Promise<CallerEvent[]>;
}

/** One step of a simulation. */
export type Operation =
  | { kind: 'submit'; binding: number; daemon: number; deadlineMilliseconds: number }
  | { kind: 'advance'; milliseconds: number }
  /** All processes are paused and resume: clocks have advanced, but no timer has fired. */
  | { kind: 'pause'; milliseconds: number }
  | { kind: 'restart'; daemon: number }
  | { kind: 'declare'; daemon: number; state: string };

/** Runs operations on the three daemons and collects the answers of all submitted requests. */
export class FleetSimulation extends PeerLink {
  readonly runners = new FakeRunners();

  readonly gates = new FakeGates(this.runners);

  readonly submissions: Submission[] = [];

  private readonly time = new VirtualTime(mock.timers);

  private readonly members: Member[] = DAEMONS.map(memberOf);

  private processes: DaemonProcess[];

  private readonly bindings: string[];

  private readonly linkFaults: LinkFault[];

  constructor({ linkFaults, gateFaults, resumeFaults }: Faults) {
    super();
    this.linkFaults = [...linkFaults];
    this.gates.failResumes(...resumeFaults.map((fault) => RESUME_FAULTS[fault]));
    this.gates.setScripts(...gateFaults.map((fault) => GATE_FAULTS[fault]));
    this.processes = DAEMONS.map((daemonId) => this.start(daemonId));
    this.bindings = this.processes.map(
      ({ owner }) => owner.bindings.issue('litoral.showroom')!.token,
    );
  }

  /**
   * @param operations - the steps; afterwards time advances until all requests have ended.
   */
  async play(operations: readonly Operation[]): Promise<void> {
    for (const operation of operations) {
      if (operation.kind === 'submit') this.submit(operation);
      if (operation.kind === 'restart') this.restart(operation.daemon);
      if (operation.kind === 'pause') this.time.clock.advance(operation.milliseconds);
      if (operation.kind === 'declare') this.members[operation.daemon]!.state = operation.state;
      await this.time.advance(operation.kind === 'advance' ? operation.milliseconds : 5, 25);
    }
    await this.time.advance(SETTLE_MILLISECONDS, 500);
    for (const { owner } of this.processes) owner.stop();
  }

  /** @returns The answers that callers received; those of a killed daemon are left out. */
  async answers(): Promise<{ binding: number; events: CallerEvent[] }[]> {
    const delivered = this.submissions.filter(({ process }) => process.gates.alive);
    return Promise.all(
      delivered.map(async ({ binding, events }) => ({ binding, events: await events })),
    );
  }

  override clientFor(daemonId: string): Client<typeof PeerService> {
    const runBound = (message: RunBoundRequest): AsyncIterable<ExecuteEvent> =>
      this.relayCall(daemonId, message);
    return { runBound } as unknown as Client<typeof PeerService>;
  }

  override close(): void {}

  private start(daemonId: string): DaemonProcess {
    const gates = new ProcessGates(this.gates);
    const owner = new RequestOwner({
      gates,
      homes: new FakeHomes(),
      fleet: new FakeFleet(daemonId, this.members),
      chooser: new FakeChooser(),
      peers: this,
      tokens: new SignedTokens({ secrets: ['a secret of the whole fleet'] }),
      clock: this.time.clock,
      log: new SilentLog(),
    });
    return { owner, gates };
  }

  private restart(daemon: number): void {
    const old = this.processes[daemon]!;
    old.gates.alive = false;
    old.owner.stop();
    this.processes[daemon] = this.start(DAEMONS[daemon]!);
  }

  private submit({ binding, daemon, deadlineMilliseconds }: Operation & { kind: 'submit' }): void {
    const process = this.processes[daemon]!;
    const request: CallerRequest = requestOf({
      idempotent: false,
      binding: this.bindings[binding],
      body: Buffer.from(`binding-${binding}`),
      deadlineMilliseconds,
    });
    const events = collect(process.owner.run(request, new AbortController().signal));
    this.submissions.push({ binding, process, events });
  }

  /** Carries one call between daemons, with the next fault of the list. */
  private async *relayCall(
    daemonId: string,
    message: RunBoundRequest,
  ): AsyncGenerator<ExecuteEvent, void> {
    const fault = this.linkFaults.shift() ?? 'none';
    if (fault === 'lost') throw new Error('lost');
    if (fault === 'late') await this.wait(700);
    if (fault === 'very_late') await this.wait(90_000);
    const process = this.processes[DAEMONS.indexOf(daemonId)]!;
    if (fault === 'doubled') void this.drain(process, message);
    if (fault === 'answer_lost') {
      void this.drain(process, message);
      throw new Error('answer lost');
    }
    let passed = 0;
    for await (const event of process.owner.runBound(message)) {
      if (!process.gates.alive) throw new Error('killed');
      yield event;
      passed += 1;
      if (fault === 'cut' && passed === 2) throw new Error('cut');
    }
  }

  private async drain({ owner }: DaemonProcess, message: RunBoundRequest): Promise<void> {
    const iterator = owner.runBound(message);
    for (let done = false; !done; done = (await iterator.next()).done ?? false);
  }

  private wait(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      setTimeout(resolve, milliseconds);
    });
  }
}
