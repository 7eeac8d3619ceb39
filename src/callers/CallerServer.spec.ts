import { expect } from 'earl';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { PUNKT_KEY, chunkEvent, COMPLETED_EVENT, startedEvent } from './testFakes.js';
import { TestServer, readError } from './testServer.js';

const CHAT = { model: 'tiles-70b', messages: [{ role: 'user', content: 'Which grout?' }] };

describe('CallerServer', () => {
  let test: TestServer;

  beforeEach(async () => {
    test = await new TestServer().start();
  });

  afterEach(() => test.stop());

  it('streams an answer of an engine with ids, ended by [DONE]', async () => {
    const response = await test.chat({ ...CHAT, stream: true }, { 'x-request-id': 'order-7' });
    expect(response.status).toEqual(200);
    expect(response.headers.get('content-type')).toEqual('text/event-stream; charset=utf-8');
    expect(response.headers.get('x-request-id')).toEqual('order-7');
    expect(response.headers.get('x-runner')).toEqual('runner-1');
    expect(response.headers.get('x-cached-tokens')).toEqual('7');
    expect(await response.text()).toEqual('id: event-1\ndata: {"answer":1}\n\ndata: [DONE]\n\n');
  });

  it('answers an engine call without streaming by one body', async () => {
    test.requests.script = async function* inTwoParts() {
      yield startedEvent([['content-type', 'application/json']]);
      yield chunkEvent('{"answer":', 'event-1');
      yield chunkEvent('2}', 'event-2');
      yield COMPLETED_EVENT;
    };
    const response = await test.chat(CHAT);
    expect(response.headers.get('content-length')).toEqual('12');
    expect(await response.json()).toEqual({ answer: 2 });
  });

  it('names a chat by its opening, which stays as the chat grows', async () => {
    const grown = [
      ...CHAT.messages,
      { role: 'assistant', content: 'Grey.' },
      { role: 'user', content: 'Is it in stock?' },
    ];
    const response = await test.chat(CHAT);
    await response.text();
    await (await test.chat({ ...CHAT, messages: grown })).text();
    await (await test.chat({ ...CHAT, messages: grown.slice(2) })).text();
    await (await test.chat(CHAT, { 'x-chat': 'counter-3' })).text();
    const [first, second, other, named] = test.requests.receivedRequests.map(({ chat }) => chat);
    expect(second).toEqual(first);
    expect(`litoral.showroom/${response.headers.get('x-chat')}`).toEqual(first ?? '');
    const names = test.requests.receivedRequests[0]?.headers.map(([name]) => name) ?? [];
    expect(names.includes('accept-encoding')).toEqual(false);
    expect(other).not.toEqual(first);
    expect(named).toEqual('litoral.showroom/counter-3');
  });

  it('caps the priority and takes deadline, idempotency and binding from the headers', async () => {
    const headers = {
      authorization: `Bearer ${PUNKT_KEY.key}`,
      'x-priority': 'urgent',
      'x-deadline-milliseconds': '5000',
      'x-idempotent': 'false',
      'x-binding': 'a-token',
    };
    await (await test.chat({ ...CHAT, model: 'punkt-8b', max_tokens: 9 }, headers)).text();
    const [seen] = test.requests.receivedRequests;
    expect(seen).toEqual(
      expect.subset({
        clientAccount: 'punkt',
        service: 'language',
        priority: 'background',
        idempotent: false,
        binding: 'a-token',
        maximumTokens: 9,
        streaming: false,
      }),
    );
    expect((seen?.deadlineMilliseconds ?? 0) <= 5000).toEqual(true);
  });

  it('passes calls of plain services through with method, headers and body', async () => {
    test.requests.script = async function* created() {
      yield startedEvent(
        [
          ['set-cookie', 'a=1'],
          ['set-cookie', 'b=2'],
          ['connection', 'x-private'],
          ['x-private', 'hop'],
          ['x-stock', '4'],
        ],
        201,
      );
      yield chunkEvent('done', 'event-1');
      yield COMPLETED_EVENT;
    };
    const response = await test.fetch('/services/sample-warehouse/boards/7?size=30', {
      method: 'PATCH',
      body: 'reserve',
      headers: { 'x-till': '2', 'x-request-id': 'call-1' },
    });
    expect(response.status).toEqual(201);
    expect(response.headers.getSetCookie()).toEqual(['a=1', 'b=2']);
    expect(response.headers.get('x-private')).toEqual(null);
    expect(response.headers.get('x-stock')).toEqual('4');
    expect(await response.text()).toEqual('done');
    const [seen] = test.requests.receivedRequests;
    expect(seen).toEqual(
      expect.subset({
        method: 'PATCH',
        path: '/services/sample-warehouse/boards/7?size=30',
        idempotent: false,
      }),
    );
    expect(Buffer.from(seen?.body ?? []).toString()).toEqual('reserve');
    const names = seen?.headers.map(([name]) => name) ?? [];
    expect(names.includes('x-till')).toEqual(true);
    expect(names.filter((name) => ['authorization', 'connection', 'host'].includes(name))).toEqual(
      [],
    );
  });

  it('continues a stream after the last event', async () => {
    const response = await test.fetch('/v1/streams', { headers: { 'last-event-id': 'event-1' } });
    expect(await response.text()).toEqual('id: event-2\ndata: {"rest":1}\n\ndata: [DONE]\n\n');
    expect(test.requests.resumed).toEqual([
      { clientAccount: 'litoral.showroom', lastEventId: 'event-1' },
    ]);
  });

  it('cancels requests of the own account only', async () => {
    const own = await test.fetch('/v1/requests/known', { method: 'DELETE' });
    expect(own.status).toEqual(202);
    const foreign = await test.fetch('/v1/requests/known', {
      method: 'DELETE',
      headers: { authorization: `Bearer ${PUNKT_KEY.key}` },
    });
    expect(foreign.status).toEqual(404);
    expect(await readError(foreign)).toEqual(
      expect.subset({ code: 'unknown_resource', not_run: false }),
    );
  });

  it('lists the models that the account may call, adapters included', async () => {
    const list = (await (await test.fetch('/v1/models')).json()) as { data: { id: string }[] };
    expect(list.data.map(({ id }) => id)).toEqual(['tiles-70b', 'tiles-returns']);
  });

  it('locates with a time to keep the answer, and hands out bindings', async () => {
    const located = await test.fetch('/locate?model=tiles-70b&chat=7');
    expect(located.headers.get('cache-control')).toEqual('private, max-age=30');
    const document = (await located.json()) as { addresses: string[]; keepSeconds: number };
    expect(document.keepSeconds).toEqual(30);
    expect([...document.addresses].sort()).toEqual([
      '127.0.0.1:801',
      '127.0.0.1:802',
      '127.0.0.1:803',
    ]);
    const binding = await test.fetch('/locate/binding', { method: 'POST' });
    expect(await binding.json()).toEqual({
      binding: 'token-of-litoral.showroom',
      address: '127.0.0.1:801',
      expiresInMilliseconds: 60_000,
    });
  });
});
