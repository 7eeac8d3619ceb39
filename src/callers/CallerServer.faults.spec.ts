import { expect } from 'earl';
import { afterEach, describe, it } from 'node:test';

import type { CallerEvent } from '../requests/requestTypes.js';
import type { CallersSettings } from './callersFeature.js';
import { CALLER_EVENTS } from './callersFeature.js';
import type { RequestScript } from './testFakes.js';
import { chunkEvent, COMPLETED_EVENT, LITORAL_KEY, startedEvent } from './testFakes.js';
import { TestServer, readError, waitUntil } from './testServer.js';

const CHAT = { model: 'tiles-70b', messages: [{ role: 'user', content: 'Which grout?' }] };
const STREAMED = { ...CHAT, stream: true };
const MEBIBYTE = 1024 * 1024;
const CHUNK = Buffer.alloc(MEBIBYTE / 16, 'x');
const PLAIN = '/services/sample-warehouse/boards';

/** A promise that the spec resolves by calling `fire`. */
class Signal {
  fire = (): void => {};

  readonly fired = new Promise<void>((resolve) => {
    this.fire = resolve;
  });
}

function failed(
  code: 'stream_cut' | 'overloaded' | 'outcome_unknown',
  notRun: boolean,
): CallerEvent {
  return { kind: 'failed', code, notRun, message: 'as scripted', resumable: true };
}

const scriptOf = (...events: CallerEvent[]): RequestScript =>
  async function* script() {
    yield* events;
  };

/** Delays the answer to the first request until the signal, and answers all others immediately. */
function delayFirstRequest({ requests }: TestServer, release: Signal): RequestScript {
  return async function* held() {
    if (requests.receivedRequests.length === 1) await release.fired;
    yield startedEvent();
    yield COMPLETED_EVENT;
  };
}

describe('CallerServer under faults', () => {
  let test: TestServer;

  const start = async (settings: Partial<CallersSettings> = {}): Promise<void> => {
    test = await new TestServer(settings).start();
  };

  afterEach(() => test.stop());

  it('slows the runner to the pace of a reader and cuts one that stalls', async () => {
    // Guards against a daemon whose memory grows until it is killed with all its streams. A caller requests a long answer
    // and stops reading while the runner keeps generating; without backpressure all chunks stay in memory.
    await start({ stallTimeoutMilliseconds: 100 });
    let produced = 0;
    test.requests.script = async function* endless(_request, signal) {
      yield startedEvent();
      while (!signal.aborted && produced < 256 * MEBIBYTE) {
        produced += CHUNK.byteLength;
        yield { kind: 'chunk', data: CHUNK, eventId: `event-${produced}` };
      }
      yield COMPLETED_EVENT;
    };
    const socket = test.connect();
    socket.pause();
    socket.write(
      `GET ${PLAIN} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${LITORAL_KEY.key}\r\n\r\n`,
    );
    await waitUntil(() => test.log.fieldsOf(CALLER_EVENTS.callerGone).length > 0);
    expect(test.log.fieldsOf(CALLER_EVENTS.callerStalled).length).toEqual(1);
    expect(test.requests.signals[0]?.aborted).toEqual(true);
    // The limit covers what the two ends of a loopback connection buffer, but not the complete answer.
    expect(produced < 64 * MEBIBYTE).toEqual(true);
  });

  it('aborts a request when its caller disconnects', async () => {
    // Guards against runners that generate answers nobody reads. A caller closes its connection while its request waits
    // in a queue; nothing is written in that time, so no write error shows that the connection is closed.
    await start();
    test.requests.script = async function* queued(_request, signal) {
      await new Promise((resolve) => {
        signal.addEventListener('abort', resolve);
      });
      yield failed('stream_cut', false);
    };
    const caller = new AbortController();
    const call = test.fetch(PLAIN, { signal: caller.signal });
    await waitUntil(() => test.requests.receivedRequests.length > 0);
    caller.abort();
    await expect(call).toBeRejected();
    await waitUntil(() => test.log.fieldsOf(CALLER_EVENTS.callerGone).length > 0);
    expect(test.requests.signals[0]?.aborted).toEqual(true);
  });

  it('drains: refuses new requests, runs bound ones, finishes streams', async () => {
    // Guards against a planned stop that aborts answers in progress, and against a reservation that runs twice. A daemon
    // drains while a stream is open, and a caller repeats a request with a binding there. Only this daemon knows whether
    // the request ran, so rejecting it as "not run" would be wrong.
    await start();
    const release = new Signal();
    test.requests.script = async function* held() {
      yield startedEvent();
      yield chunkEvent('1', 'event-1');
      await release.fired;
      yield chunkEvent('2', 'event-2');
      yield COMPLETED_EVENT;
    };
    const stream = await test.chat(STREAMED);
    let drained = false;
    const drain = test.server.drain().then(() => {
      drained = true;
    });
    for (const path of ['/locate', PLAIN, '/v1/models']) {
      const refused = await test.fetch(path);
      expect(refused.status).toEqual(503);
      expect(refused.headers.get('connection')).toEqual('close');
      expect(refused.headers.get('retry-after')).toEqual('1');
      expect(await readError(refused)).toEqual(expect.subset({ code: 'draining', not_run: true }));
    }
    test.requests.script = scriptOf(failed('outcome_unknown', false));
    const bound = await test.fetch(PLAIN, { method: 'POST', headers: { 'x-binding': 'token' } });
    expect(await readError(bound)).toEqual(
      expect.subset({ code: 'outcome_unknown', not_run: false }),
    );
    expect(drained).toEqual(false);
    release.fire();
    expect(await stream.text()).toEqual(
      'id: event-1\ndata: 1\n\nid: event-2\ndata: 2\n\ndata: [DONE]\n\n',
    );
    await drain;
    expect((await test.fetch('/health')).status).toEqual(503);
  });

  it('never says "not run" of a bound request by itself', async () => {
    // Guards against a reservation that runs twice. The first attempt runs, but its answer is lost; the second attempt
    // exceeds a limit of this interface. "Not run" would be true only of the second attempt, and the caller would get a
    // new binding and repeat the request.
    await start({ maximumBodyBytes: 4 });
    const init = { method: 'POST', body: 'too long', headers: { 'x-binding': 'token' } };
    const error = await readError(await test.fetch(PLAIN, init));
    expect(error).toEqual(expect.subset({ code: 'request_too_large', not_run: false }));
  });

  it('rejects requests above the limit with Retry-After', async () => {
    await start({ maximumRequestsInProgress: 1 });
    const release = new Signal();
    test.requests.script = delayFirstRequest(test, release);
    const first = test.fetch(PLAIN);
    await waitUntil(() => test.requests.receivedRequests.length > 0);
    const inProgress = await test.fetch(PLAIN);
    expect(await readError(inProgress)).toEqual(
      expect.subset({ code: 'overloaded', not_run: true }),
    );
    expect(inProgress.headers.get('retry-after')).toEqual('2');
    release.fire();
    expect((await first).status).toEqual(200);
  });

  it('answers a connection above the limit with 503 overloaded', async () => {
    await start({ maximumConnections: 1 });
    test.connect();
    const answer = await test.exchangeBytes(
      `GET /v1/models HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer ${LITORAL_KEY.key}\r\n\r\n`,
    );
    expect(answer.startsWith('HTTP/1.1 503 ')).toEqual(true);
    expect(answer.includes('"code":"overloaded"')).toEqual(true);
  });

  it('holds no more bodies at once than it may', async () => {
    await start({ maximumBufferedBodyBytes: 10 });
    const release = new Signal();
    test.requests.script = delayFirstRequest(test, release);
    const post = () => test.fetch(PLAIN, { method: 'POST', body: '6bytes' });
    const first = post();
    await waitUntil(() => test.requests.receivedRequests.length > 0);
    expect(await readError(await post())).toEqual(expect.subset({ code: 'overloaded' }));
    release.fire();
    await (await first).text();
    expect((await post()).status).toEqual(200);
  });

  const brokenRequests: { name: string; script: RequestScript; code: string }[] = [
    {
      name: 'fails in mid-stream',
      script: scriptOf(startedEvent(), chunkEvent('1', 'event-1'), failed('stream_cut', false)),
      code: 'stream_cut',
    },
    {
      name: 'ends without its last event',
      script: scriptOf(startedEvent(), chunkEvent('1', 'event-1')),
      code: 'outcome_unknown',
    },
    {
      name: 'throws',
      script: async function* throwing() {
        yield startedEvent();
        yield chunkEvent('1', 'event-1');
        throw new Error('broken');
      },
      code: 'outcome_unknown',
    },
  ];

  const expectNoPartialAnswer = async (script: RequestScript, code: string): Promise<void> => {
    await start();
    test.requests.script = script;
    const stream = await (await test.chat(STREAMED)).text();
    const [, second = ''] = stream.split('\n\n');
    expect(second.startsWith('event: error\ndata: {"error":{')).toEqual(true);
    expect(JSON.parse(second.slice(second.indexOf('{')))).toEqual({
      error: expect.subset({ code, not_run: false }),
    });
    expect(stream.includes('[DONE]')).toEqual(false);
    const whole = await test.chat(CHAT);
    expect([whole.status, (await readError(whole)).code]).toEqual([502, code]);
    const body = test.fetch(PLAIN).then((response) => response.text());
    await expect(body).toBeRejected();
  };

  for (const { name, script, code } of brokenRequests) {
    // Guards against a truncated answer that looks complete: a salesperson read half a quotation as the whole one. The
    // runner is lost after the answer has begun, and the answer must not be ended like a complete one.
    it(`gives no caller half an answer when a request ${name}`, () =>
      expectNoPartialAnswer(script, code));
  }

  it('passes on an engine’s refusal of a streamed request as it is', async () => {
    await start();
    const type: [string, string] = ['content-type', 'application/json'];
    test.requests.script = scriptOf(
      startedEvent([type], 400),
      chunkEvent('{"long":1}', '1'),
      COMPLETED_EVENT,
    );
    const response = await test.chat(STREAMED);
    expect([response.status, await response.text()]).toEqual([400, '{"long":1}']);
  });

  it('gives each line of a chunk its own field', async () => {
    await start();
    test.requests.script = scriptOf(
      startedEvent(),
      chunkEvent('{\n"a":\r\n1}', 'event-1'),
      COMPLETED_EVENT,
    );
    expect(await (await test.chat(STREAMED)).text()).toEqual(
      'id: event-1\ndata: {\ndata: "a":\ndata: 1}\n\ndata: [DONE]\n\n',
    );
  });

  it('answers a non-idempotent request without a binding with 428 and a binding', async () => {
    await start();
    const binding = { token: 'token', address: '127.0.0.1:801' };
    const event = { kind: 'failed', code: 'binding_required', notRun: true, message: '' } as const;
    test.requests.script = scriptOf({ ...event, binding });
    const response = await test.fetch(PLAIN, { method: 'POST' });
    expect(response.status).toEqual(428);
    expect(await readError(response)).toEqual(expect.subset({ not_run: true, binding }));
  });

  it('does not reject a valid key before it has a configuration', async () => {
    // Guards against callers that discard valid keys. A daemon restarted during an outage of the platform has no
    // configuration yet; an account that it does not know yet must not be answered like one that does not exist.
    await start();
    test.fleet.revision = 0;
    const response = await test.fetch('/v1/models');
    expect([response.status, (await readError(response)).code]).toEqual([503, 'not_run']);
  });
});
