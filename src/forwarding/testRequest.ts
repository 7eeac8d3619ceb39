/**
 * Test helper: forwards one caller's request, in virtual time, to runners whose answers the test writes. The first runner
 * is reached over a connection that is already open; whether new connections to it and to other runners are accepted or
 * hang is up to the test.
 */
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import { connect, createServer as createPort } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { mock } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { freePort } from '../../standIns/site/freePort.js';
import { MemoryLog } from '../callers/testFakes.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { RequestQuarantine } from '../quarantine/RequestQuarantine.js';
import type { Route } from '../routes/routeTypes.js';
import { RunnerAdmission } from '../runners/RunnerAdmission.js';
import { RunnerChoice } from '../runners/RunnerChoice.js';
import { LocalSelector } from '../runners/RunnerSelector.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { unavailabilityOf } from '../runners/unavailability.js';
import { WarmPlaces } from '../runners/WarmPlaces.js';
import { ManualClock } from '../time/ManualClock.js';
import { AnswerRelay } from './AnswerRelay.js';
import { ForwardedRequest } from './ForwardedRequest.js';
import { createForwardingMetrics } from './ForwardingMetrics.js';
import type { ForwardingContext, TakenUpStream } from './forwardingTypes.js';
import { LinkCheck } from './LinkCheck.js';
import type { ForwardedRequestOptions } from './RequestParts.js';
import { RunnerAgent } from './RunnerAgent.js';
import { RunnerConnections } from './RunnerConnections.js';
import { RunnerNotices } from './RunnerNotices.js';
import { SharedRetryBudget } from './SharedRetryBudget.js';
import { HangingPort } from './testHangingPort.js';
import { TestProtocol } from './testProtocol.js';

const SERVICE = 'chat';

const HEAD = 'HTTP/1.1 200 OK\r\nSignature: s\r\nRequest-Id: r-1\r\nConnection: close\r\n';

/** Route of a resumable stream. */
const ROUTE = {
  name: 'chat',
  kind: 'stream',
  resumable: true,
  targetLatencyMilliseconds: 1_000,
  maximumAttempts: 2,
} as Route;

/** Time until the caller's deadline, in ms of the virtual clock. */
export const DEADLINE_MILLISECONDS = 6_000;

const STEP_MILLISECONDS = 10;

/** Number of turns of the event loop in which data that was sent over loopback arrives. */
const TURNS = 12;

/** Id of the runner that the request is sent to first. */
export const FIRST_RUNNER = 'runner-1';

/** Sends requests for the first runner over the connection that is already open. */
class OpenConnections extends RunnerConnections {
  private readonly open: () => Socket;

  constructor(open: () => Socket) {
    super();
    this.open = open;
  }

  override agentOf(...[runner]: Parameters<RunnerConnections['agentOf']>): RunnerAgent {
    if (runner.entry.id !== FIRST_RUNNER) return super.agentOf(runner);
    const agent = new RunnerAgent();
    agent.createConnection = () => this.open();
    return agent;
  }
}

/**
 * @param id - id of the event.
 * @returns One event of a stream.
 */
export function eventOf(id: number): string {
  return `id: ${id}\ndata: token ${id}\n\n`;
}

/**
 * @param events - ids of the events that follow the head immediately.
 * @returns Head and first events of a streamed answer.
 */
export function streamOf(...events: number[]): string {
  return `${HEAD}Content-Type: text/event-stream\r\n\r\n${events.map(eventOf).join('')}`;
}

/**
 * @param status - status code and reason, as in the status line.
 * @returns A complete answer that is not a stream.
 */
export function plainAnswer(status: string): string {
  return `${HEAD.replace('200 OK', status)}Content-Length: 2\r\n\r\nok`;
}

/**
 * @param answer - answer that the caller received.
 * @returns The data of its events.
 */
export function eventsIn(answer: string): string[] {
  return answer.match(/token \d+/gu) ?? [];
}

/** Creates a budget that earlier requests have filled. */
function earnedBudget(allowance: number, now: number): SharedRetryBudget {
  const limits = { ratio: 0.05, windowMilliseconds: 10_000, daemons: () => 1 };
  const budget = new SharedRetryBudget({ ...limits, allowance });
  while (budget.viewOf(SERVICE, now).room < allowance) budget.recordRequest(SERVICE, now);
  return budget;
}

/** Options of a {@link RequestUnderTest}. */
export interface RequestUnderTestOptions {
  /** Differences from the route of a resumable stream. */
  route?: Partial<Route>;
  /** Retries that the budget allows at the start of the test. */
  allowance?: number;
}

/** One request with the sockets, the clock and the timers of its test. */
export class RequestUnderTest {
  readonly clock = new ManualClock();

  readonly log = new MemoryLog();

  readonly runners = new RunnerTable();

  /** Port on which new connections hang. */
  readonly hanging: HangingPort;

  readonly context: ForwardingContext;

  private readonly route: Route;

  private readonly servers: Server[] = [];

  private readonly sockets: Socket[] = [];

  /** The daemon's end of the connection to the first runner. */
  firstConnection: Socket | undefined;

  private openPort = 0;

  private constructor(
    hanging: HangingPort,
    { route = {}, allowance = 100 }: RequestUnderTestOptions,
  ) {
    this.hanging = hanging;
    this.route = { ...ROUTE, ...route };
    const { clock, log, runners } = this;
    const metrics = createForwardingMetrics(new MetricRegistry({ clock }));
    const choice = new RunnerChoice({ runners, dataCentre: 'here', warmPlaces: new WarmPlaces() });
    this.context = {
      clock,
      log,
      protocol: new TestProtocol(),
      metrics,
      link: new LinkCheck({ runners: () => runners.list(), clock, log, metrics }),
      selector: new LocalSelector(choice),
      statements: new RunnerNotices({
        protocol: new TestProtocol(),
        clock,
        log,
        onLeaving: ({ entry }) => runners.markLeaving(entry.life),
      }),
      quarantine: new RequestQuarantine({
        runners,
        clock,
        log,
        crashes: { increment: () => undefined },
      }),
      connections: new OpenConnections(() => this.connectToFirst()),
      budget: earnedBudget(allowance, clock.monotonicMilliseconds()),
      unavailabilityOf: ({ service }, now) =>
        unavailabilityOf({ runners, admission: new RunnerAdmission(), service, now }),
      routes: () => undefined,
      daemons: () => 1,
      isStoreSilent: () => false,
      isConfigurationBehind: () => false,
      unreachedAnnouncement: () => undefined,
      stopPhase: () => 'serving',
    };
    mock.timers.enable({ apis: ['setTimeout'] });
  }

  /**
   * @param options - route and budget.
   * @returns The test setup; no runner is listed yet.
   */
  static async open(options: RequestUnderTestOptions = {}): Promise<RequestUnderTest> {
    return new RequestUnderTest(await HangingPort.open(), options);
  }

  /**
   * Closes all sockets and lets all timers expire.
   *
   * If a virtual timer is cleared after the virtual clock has been reset, a timer of the next test is removed as well,
   * and that test waits forever. This happened on a busy machine, where sockets of a test fail after its end. So all
   * timers expire before the reset.
   */
  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    for (let round = 0; round < 3; round += 1) {
      this.jump(2 * DEADLINE_MILLISECONDS);
      for (let turn = 0; turn < TURNS; turn += 1) await nextTurn();
    }
    mock.timers.reset();
    for (const server of this.servers) server.close();
    await this.hanging.close();
  }

  /**
   * @param id - id of a runner that accepts no new connections.
   */
  addHangingRunner(id: string): void {
    this.addRunner(id, this.hanging.port);
  }

  /**
   * @param id - id of a runner that accepts connections.
   * @returns Connections on which the runner has received a request; the test writes the answers to them.
   */
  async addOpenRunner(id: string): Promise<Socket[]> {
    const asked: Socket[] = [];
    this.addRunner(id, await this.listenForRequests(asked));
    return asked;
  }

  /**
   * @param id - id of a runner whose host refuses connections.
   * @returns Starts the runner at the same port; the function returns connections as {@link addOpenRunner} does.
   */
  async addRefusingRunner(id: string): Promise<() => Promise<Socket[]>> {
    const port = await freePort();
    this.addRunner(id, port);
    return async () => {
      const asked: Socket[] = [];
      await this.listenForRequests(asked, port);
      return asked;
    };
  }

  /**
   * Sends the request while only the first runner is listed.
   *
   * @returns Connection on which the test writes the answer of that runner, and everything that the caller receives.
   */
  async begin(): Promise<{ runner: Socket; caller: Promise<string> }> {
    const { asked, caller } = await this.send();
    while (asked.length === 0) await nextTurn();
    return { runner: asked[0]!, caller };
  }

  /**
   * Sends the request like {@link begin}, and does not wait for the runner. What a step throws is dropped; a daemon logs it.
   *
   * @returns Connections on which the runner has received the request, and everything that the caller receives.
   */
  async send(): Promise<{ asked: readonly Socket[]; caller: Promise<string> }> {
    const asked: Socket[] = [];
    this.openPort = await this.listenForRequests(asked);
    this.addHangingRunner(FIRST_RUNNER);
    const front = createServer((_request, response) => {
      try {
        this.createRequest(response).start();
      } catch {
        // The caller's answer shows what became of the request.
      }
    });
    return { asked, caller: this.call(await this.listen(front)) };
  }

  /**
   * Advances virtual time in steps and lets data arrive after each.
   *
   * @param milliseconds - virtual time.
   */
  async pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      this.jump(STEP_MILLISECONDS);
      for (let turn = 0; turn < TURNS; turn += 1) await nextTurn();
    }
  }

  /**
   * Advances virtual time without letting data arrive, like a pause of the whole process.
   *
   * @param milliseconds - virtual time.
   */
  jump(milliseconds: number): void {
    this.clock.advance(milliseconds);
    mock.timers.tick(milliseconds);
  }

  /**
   * @param id - id of a runner.
   * @returns Whether the runner may get requests.
   */
  isUsable(id: string): boolean | undefined {
    return this.runners.get(id)?.health.isUsable(this.clock.monotonicMilliseconds());
  }

  private connectToFirst(): Socket {
    this.firstConnection = connect({ host: '127.0.0.1', port: this.openPort });
    return this.firstConnection;
  }

  private addRunner(id: string, port: number): void {
    const entry = { id, life: id, service: SERVICE, dataCentre: 'here', state: 'ready' } as const;
    this.runners.put({ ...entry, host: '127.0.0.1', port });
  }

  private listen(server: Server, port = 0): Promise<number> {
    this.servers.push(server);
    server.on('connection', (socket: Socket) => this.sockets.push(socket));
    return new Promise((done) => {
      server.listen(port, '127.0.0.1', () => done((server.address() as AddressInfo).port));
    });
  }

  private listenForRequests(asked: Socket[], port = 0): Promise<number> {
    return this.listen(
      createPort((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => asked.push(socket));
      }),
      port,
    );
  }

  /**
   * @param response - response to the caller.
   * @param takesUp - stream that the caller takes up.
   * @param before - what the daemon that handed the request over did for it.
   * @returns The request, which has not been started.
   */
  createRequest(
    response: ServerResponse,
    takesUp?: TakenUpStream,
    before?: ForwardedRequestOptions['before'],
  ): ForwardedRequest {
    const relay = new AnswerRelay(response, () => true);
    const arrivedAt = this.clock.monotonicMilliseconds();
    const request = {
      id: 'r-1',
      hasOwnId: true,
      route: this.route,
      service: SERVICE,
      clientAccount: undefined,
      homeRegions: undefined,
      configurationVersion: 1,
      method: 'GET',
      target: '/chat/',
      headers: ['Host', 'chat.example', 'Request-Id', 'r-1'],
      sharedParts: [],
      allSharedParts: () => [],
      urgency: 0,
      takesUp,
      arrivedAt,
      deadlineAt: arrivedAt + DEADLINE_MILLISECONDS,
      connectionLimit: 10,
    };
    const { context } = this;
    return new ForwardedRequest({
      request,
      body: undefined,
      relay,
      context,
      ...(before && { before }),
    });
  }

  private call(port: number): Promise<string> {
    return new Promise((done) => {
      const socket = connect({ host: '127.0.0.1', port });
      this.sockets.push(socket);
      let text = '';
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        text += String(chunk);
      });
      socket.once('close', () => done(text));
      socket.write('GET /chat/ HTTP/1.1\r\nHost: chat.example\r\n\r\n');
    });
  }
}
