/**
 * Test helper: other daemons that take requests over as a test says, and a request that is handed over to them.
 */
import { createServer, IncomingMessage } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { connect, Socket } from 'node:net';
import type { AddressInfo } from 'node:net';

import { MemoryLog } from '../callers/testFakes.js';
import { AnswerRelay } from '../forwarding/AnswerRelay.js';
import { BufferedAnswers } from '../forwarding/BufferedAnswers.js';
import { ForwardedRequest } from '../forwarding/ForwardedRequest.js';
import { createForwardingMetrics } from '../forwarding/ForwardingMetrics.js';
import type { AdmittedRequest, ForwardingContext } from '../forwarding/forwardingTypes.js';
import { SharedRetryBudget } from '../forwarding/SharedRetryBudget.js';
import { StreamedAnswer } from '../forwarding/StreamedAnswer.js';
import { TriedRunners } from '../forwarding/TriedRunners.js';
import { TestProtocol } from '../forwarding/testProtocol.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { RequestQuarantine } from '../quarantine/RequestQuarantine.js';
import type { Route } from '../routes/routeTypes.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { SystemClock } from '../time/SystemClock.js';
import { HandedOverRequest } from './HandedOverRequest.js';
import type { HandOverEnd } from './HandedOverRequest.js';
import { decodeHandOver } from './handOverMessage.js';
import type { ReceivedHandOver } from './handOverMessage.js';
import { HandOverTask } from './HandOverTask.js';
import { RunnerPath } from './RunnerPath.js';

const SECRET = 'secret of the fleet';

const DEADLINE_MILLISECONDS = 5_000;

/** What another daemon does with a request: before it is sent, and once it has it. */
export interface PeerBehaviour {
  /** Confirms or refuses; confirms if left out. */
  readonly confirm?: (request: IncomingMessage, response: ServerResponse) => void;
  /** Answers the request that it has taken. */
  readonly answer?: (taken: ReceivedHandOver, response: ServerResponse) => void;
}

interface RequestOptions {
  readonly kind: Route['kind'];
  readonly resumesAfter: string | undefined;
  readonly relay: AnswerRelay;
  readonly stream: StreamedAnswer;
  readonly onEnd: (end: HandOverEnd) => void;
}

/** Sends a request and returns everything that arrives until the connection ends. */
function textFrom(port: number): Promise<string> {
  return new Promise((done) => {
    const socket = connect({ host: '127.0.0.1', port });
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', (chunk) => {
      text += String(chunk);
    });
    socket.once('close', () => done(text));
    socket.write('GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n');
  });
}

/** The other daemons of one test. */
export class TestPeers {
  readonly clock = new SystemClock();

  readonly log = new MemoryLog();

  /** Requests that the daemons have read, with their names, in order. */
  readonly taken: { readonly by: string; readonly received: ReceivedHandOver }[] = [];

  /** Runners that the requests were sent to. */
  readonly tried = new TriedRunners();

  private readonly daemons: DaemonEntry[] = [];

  private readonly servers: Server[] = [];

  private readonly task: HandOverTask;

  private readonly path = new RunnerPath({ runnerCount: () => 4 });

  constructor() {
    this.task = new HandOverTask({
      daemon: this.entryOf('own', 0),
      path: this.path,
      daemons: () => this.daemons,
      hasNoPath: () => false,
      secret: () => SECRET,
      clock: this.clock,
      log: this.log,
      registry: new MetricRegistry({ clock: this.clock }),
    });
  }

  /**
   * @param name - name of another daemon.
   * @param behaviour - what it does.
   */
  async add(name: string, behaviour: PeerBehaviour): Promise<void> {
    const server = createServer();
    const { confirm = (_, response) => response.writeContinue(), answer } = behaviour;
    server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('error', () => undefined);
      request.once('end', () => {
        const received = decodeHandOver(Buffer.concat(chunks), SECRET);
        this.taken.push({ by: name, received });
        answer?.(received, response);
      });
      confirm(request, response);
    });
    this.daemons.push(this.entryOf(name, await this.listen(server)));
  }

  /**
   * Hands a request over and returns what its caller received.
   *
   * @param kind - kind of its route.
   * @param resumesAfter - id of the last event that the caller has.
   * @param boundVersion - software version that began its stream.
   * @returns The end of the hand-over, the text that the caller received, and the version that its stream is bound to.
   */
  async handOver(
    kind: Route['kind'],
    resumesAfter?: string,
    boundVersion?: string,
  ): Promise<{ end: HandOverEnd; text: string; softwareVersion: string | undefined }> {
    let end: HandOverEnd | undefined;
    let stream: StreamedAnswer | undefined;
    const front = createServer((_request, response) => {
      const finish = (ending: HandOverEnd) => {
        end = ending;
        if (!response.writableEnded) response.destroy();
      };
      const relay = new AnswerRelay(response, () => true);
      stream = new StreamedAnswer(relay);
      if (boundVersion !== undefined) stream.bindTo(boundVersion);
      this.requestFor({ kind, resumesAfter, relay, stream, onEnd: finish }).start();
    });
    const text = await textFrom(await this.listen(front));
    if (end === undefined) throw new Error('the hand-over has not ended');
    return { end, text, softwareVersion: stream?.softwareVersion };
  }

  /**
   * Hands over a stream that broke off after its first events.
   *
   * @param events - what the caller has of the stream.
   * @returns The end of the hand-over, and the text that the caller received.
   */
  async goOn(events: string): Promise<{ end: HandOverEnd; text: string }> {
    let end: HandOverEnd | undefined;
    const front = createServer((_request, response) => {
      const onEnd = (ending: HandOverEnd) => {
        end = ending;
        if (!response.writableEnded) response.destroy();
      };
      const relay = new AnswerRelay(response, () => true);
      const stream = new StreamedAnswer(relay);
      const headers = { 'content-type': 'text/event-stream' };
      const rawHeaders = Object.entries(headers).flat();
      const head = new IncomingMessage(new Socket());
      stream.take(
        { sourceName: 'runner' },
        Object.assign(head, { statusCode: 200, headers, rawHeaders }),
      );
      stream.pass(Buffer.from(events));
      stream.breakOff();
      this.requestFor({ kind: 'stream', resumesAfter: '1', relay, stream, onEnd }).start();
    });
    const text = await textFrom(await this.listen(front));
    if (end === undefined) throw new Error('the hand-over has not ended');
    return { end, text };
  }

  /**
   * Forwards a request of a daemon without a path, which puts it into quarantine while another daemon runs it.
   *
   * @param isRunning - resolves once the other daemon runs it.
   * @returns What the caller received.
   */
  async quarantineDuring(isRunning: Promise<void>): Promise<string> {
    for (const life of ['a', 'b', 'c', 'd']) this.path.recordFailure(life, 0);
    const front = createServer((_request, response) => {
      const relay = new AnswerRelay(response, () => true);
      const request = this.admitted('at_most_once');
      const context = this.contextWith((quarantine) => {
        isRunning.then(quarantine, quarantine);
      });
      new ForwardedRequest({ request, body: undefined, relay, context }).start();
    });
    return textFrom(await this.listen(front));
  }

  /** Only what a request needs that is handed over at once. */
  private contextWith(onBegin: (quarantine: () => void) => void): ForwardingContext {
    const { clock, log, task } = this;
    const quarantine: Partial<RequestQuarantine> = {
      admit: () => ({ kind: 'admitted' }),
      isBlocked: () => true,
      isSuspect: () => false,
      hasRepeatedCrashes: () => false,
      quarantinedPartsOf: () => undefined,
      begin: (_, listener) => onBegin(listener),
      end: () => undefined,
      retryAfterSeconds: () => 1,
    };
    const registry = new MetricRegistry({ clock });
    const budget = new SharedRetryBudget({
      ...{ ratio: 1, allowance: 10, windowMilliseconds: 10_000 },
      daemons: () => 1,
    });
    const metrics = createForwardingMetrics(registry);
    const protocol = new TestProtocol();
    const context = { clock, log, protocol, metrics, budget, quarantine, handOver: task };
    return context as unknown as ForwardingContext;
  }

  /** Closes everything. */
  close(): void {
    this.task.close();
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  private requestFor({
    kind,
    resumesAfter,
    relay,
    stream,
    onEnd,
  }: RequestOptions): HandedOverRequest {
    return new HandedOverRequest({
      ...{ task: this.task, request: this.admitted(kind), relay, onEnd, clock: this.clock },
      resumesAfter: () => resumesAfter,
      isWanted: () => true,
      body: Buffer.from('the body'),
      bufferedAnswers: new BufferedAnswers(relay),
      stream,
      names: { lastEventId: 'last-event', signature: 'signature' },
      isCounted: true,
      tried: this.tried,
    });
  }

  private admitted(kind: Route['kind']): AdmittedRequest {
    const now = this.clock.monotonicMilliseconds();
    return {
      id: 'r-1',
      hasOwnId: true,
      route: { name: 'route', kind } as Route,
      service: 'service',
      clientAccount: undefined,
      homeRegions: undefined,
      configurationVersion: 1,
      method: 'POST',
      target: '/path?query',
      headers: ['Host', 'x', 'Last-Event', '1'],
      sharedParts: [],
      allSharedParts: () => [],
      urgency: 0,
      arrivedAt: now,
      deadlineAt: now + DEADLINE_MILLISECONDS,
      connectionLimit: 4,
    };
  }

  private entryOf(name: string, port: number): DaemonEntry {
    const address = `127.0.0.1:${port}`;
    const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
    return { name, dataCentre: 'here', ...addresses };
  }

  private listen(server: Server): Promise<number> {
    this.servers.push(server);
    return new Promise((done) => {
      server.listen(0, '127.0.0.1', () => done((server.address() as AddressInfo).port));
    });
  }
}
