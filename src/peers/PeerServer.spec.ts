import { connect as connectSocket } from 'node:net';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { fromBinary, toBinary } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { expect } from 'earl';

import { PeerTokenSchema, SignedTokenSchema } from '../generated/baobabdock/v1/peers_pb.js';
import { ManualClock } from '../time/ManualClock.js';
import { ConnectPeerLink } from './ConnectPeerLink.js';
import { PeerCredentials } from './PeerCredentials.js';
import { wasNeverSent } from './PeerNotReachedError.js';
import { ANSWER_HEADER, TOKEN_HEADER } from './peerHeaders.js';
import { peerIdentity } from './peerIdentity.js';
import type { PeerHandlers } from './PeerServer.js';
import { PeerServer } from './PeerServer.js';
import { peersSettings } from './peersFeature.js';
import type { TokenPurpose } from './SignedTokens.js';
import { SignedTokens } from './SignedTokens.js';

const SECRET = 'a secret of the whole fleet';
const OTHER_SECRET = 'another secret, of strangers';
const SEQUENTIAL_CALLS = 20;
const NOW = 1_700_000_000_000;

const settings = peersSettings.parse({
  fleetSecrets: [SECRET],
  stopTimeoutMilliseconds: 200,
  callTimeoutMilliseconds: 5_000,
});

interface Party {
  daemonId: string;
  secrets?: string[];
  wallMilliseconds?: number;
}

function credentialsOf({ daemonId, secrets = [SECRET], wallMilliseconds = NOW }: Party) {
  return new PeerCredentials({
    daemonId,
    tokens: new SignedTokens({ secrets }),
    clock: new ManualClock({ wallMilliseconds }),
  });
}

const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

async function serve(handlers: PeerHandlers, party: Party = { daemonId: 'server' }) {
  const server = new PeerServer({ credentials: credentialsOf(party), settings });
  server.mount(handlers);
  const port = await server.listen('127.0.0.1', 0);
  closers.push(() => server.close());
  return { server, address: `127.0.0.1:${port}` };
}

function linkOf(party: Party = { daemonId: 'client' }): ConnectPeerLink {
  const link = new ConnectPeerLink({ credentials: credentialsOf(party), settings });
  closers.push(() => link.close());
  return link;
}

async function failureOf(call: Promise<unknown>): Promise<ConnectError> {
  try {
    await call;
  } catch (error) {
    if (error instanceof ConnectError) return error;
    throw error;
  }
  throw new Error('The call did not fail.');
}

/** Sends raw bytes and returns everything that comes back until the connection ends. */
async function sendRaw(address: string, text: string): Promise<string> {
  const [host, port] = address.split(':');
  const socket = connectSocket(Number(port), host);
  socket.on('error', () => {});
  let received = '';
  socket.setEncoding('utf8').on('data', (data: string) => {
    received += data;
  });
  socket.write(text);
  await once(socket, 'close');
  return received;
}

describe(PeerServer.name, () => {
  it('carries calls and streams over one kept connection and counts their bytes', async () => {
    const callers: string[] = [];
    const { server, address } = await serve({
      cancel: (_request, context) => {
        callers.push(peerIdentity(context));
        return { known: true };
      },
      async *resume() {
        yield { event: { case: 'chunk' as const, value: { sequence: 1 } } };
        yield { event: { case: 'chunk' as const, value: { sequence: 2 } } };
      },
    });
    const link = linkOf();
    const client = link.clientFor('server', address);
    for (let call = 0; call < SEQUENTIAL_CALLS; call += 1) {
      expect((await client.cancel({ attemptId: 'a' })).known).toEqual(true);
    }
    const sequences: number[] = [];
    for await (const { event } of client.resume({})) {
      if (event.case === 'chunk') sequences.push(event.value.sequence);
    }
    expect(sequences).toEqual([1, 2]);
    expect([callers.length, ...new Set(callers)]).toEqual([SEQUENTIAL_CALLS, 'client']);
    const unmounted = await failureOf(client.tellHome({}));
    expect([unmounted.code, wasNeverSent(unmounted)]).toEqual([Code.Unimplemented, false]);

    const counted = new Map(link.traffic.snapshot().map((count) => [count.call, count]));
    // A call that starts before the previous answer is read to its end opens another connection, but not every call
    // does.
    expect(counted.get('Authenticate')!.calls).toBeLessThanOrEqual(3);
    expect(counted.get('Cancel')!.calls).toEqual(SEQUENTIAL_CALLS);
    link.close();
    await server.close();
    const sumOf = (counts: readonly { sentBytes: number; receivedBytes: number }[]) =>
      counts.reduce(
        (sum, { sentBytes, receivedBytes }) => [sum[0]! + sentBytes, sum[1]! + receivedBytes],
        [0, 0],
      );
    const [sent, received] = sumOf(link.traffic.snapshot());
    expect(sumOf(server.traffic.snapshot())).toEqual([received!, sent!]);
  });

  it('tells a caller nothing about an error that no handler foresaw', async () => {
    const { address } = await serve({
      cancel: () => {
        throw new Error('the key of Litoral is 1234');
      },
    });
    const failure = await failureOf(linkOf().clientFor('server', address).cancel({}));
    expect(failure.code).toEqual(Code.Internal);
    expect(failure.message.includes('1234')).toEqual(false);
  });

  it('refuses two features that implement the same method', () => {
    const server = new PeerServer({ credentials: credentialsOf({ daemonId: 'x' }), settings });
    server.mount({ cancel: () => ({ known: true }) });
    expect(() => server.mount({ cancel: () => ({ known: false }) })).toThrow('cancel');
  });

  const refusedCallers: [string, Party, string, Party?][] = [
    ['another secret', { daemonId: 'client', secrets: [OTHER_SECRET] }, 'server'],
    ['a token made out to another daemon', { daemonId: 'client' }, 'former-server'],
    ['a clock an hour ahead', { daemonId: 'client', wallMilliseconds: NOW + 3_600_000 }, 'server'],
    ['a clock an hour behind', { daemonId: 'client', wallMilliseconds: NOW - 3_600_000 }, 'server'],
    [
      'only the old secret once the new one signs',
      { daemonId: 'client' },
      'server',
      { daemonId: 'server', secrets: [OTHER_SECRET, SECRET] },
    ],
  ];
  for (const [name, party, to, served] of refusedCallers) {
    it(`runs nothing for a caller with ${name}`, async () => {
      // Guards against an outsider that connects, calls Gossip and changes the membership because the server trusts
      // the name that the caller claims.
      let calls = 0;
      const { address } = await serve(
        {
          cancel: () => {
            calls += 1;
            return {};
          },
        },
        served,
      );
      const failure = await failureOf(linkOf(party).clientFor(to, address).cancel({}));
      expect(wasNeverSent(failure)).toEqual(true);
      expect(failure.code).toEqual(Code.Unauthenticated);
      expect(calls).toEqual(0);
    });
  }

  const acceptedCallers: [string, Party, Party, string][] = [
    ['who knows only the address', { daemonId: 'client' }, { daemonId: 'server' }, ''],
    [
      'who signs with the secret that is being retired',
      { daemonId: 'client', secrets: [SECRET, OTHER_SECRET] },
      { daemonId: 'server', secrets: [OTHER_SECRET, SECRET] },
      'server',
    ],
  ];
  for (const [name, caller, served, to] of acceptedCallers) {
    it(`serves a caller ${name}`, async () => {
      const { address } = await serve({ cancel: () => ({ known: true }) }, served);
      expect((await linkOf(caller).clientFor(to, address).cancel({})).known).toEqual(true);
    });
  }

  it('gives every stranger the same short answer, and a recorded token works once', async () => {
    // Guards against an outsider without the secret that changes the fleet or learns what runs here: it sends a
    // recorded call again, uses its token for another method, or sends a token of another purpose. A signature alone
    // does not prove that a token is used for the first time, for this call and at this daemon.
    let calls = 0;
    const { address } = await serve({
      cancel: () => {
        calls += 1;
        return { known: true };
      },
    });
    const client = credentialsOf({ daemonId: 'client' });
    const { token } = client.signCall('server', 'Cancel');
    const sent = { from: 'client', issuedAtMilliseconds: BigInt(NOW), nonce: new Uint8Array(8) };
    const known = { to: 'server', call: 'Cancel' };
    const signed = (purpose: TokenPurpose, secret = SECRET) =>
      new SignedTokens({ secrets: [secret] }).signCompact(purpose, PeerTokenSchema, sent, known);
    // The announced body is never sent, so only a server that does not wait for it answers.
    const requestText = (
      value: string,
      path = '/baobabdock.v1.PeerService/Cancel',
      body?: string,
    ) =>
      `POST ${path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: application/json\r\n` +
      `Content-Length: ${body?.length ?? 1_000}\r\n${TOKEN_HEADER}: ${value}\r\n\r\n${body ?? ''}`;
    const accepted = await sendRaw(address, requestText(token, undefined, '{}'));
    expect(accepted.startsWith('HTTP/1.1 200 OK\r\n')).toEqual(true);
    expect(accepted.endsWith('{"known":true}')).toEqual(true);
    expect(calls).toEqual(1);

    const fresh = () => client.signCall('server', 'Cancel').token;
    const shortened = fromBinary(SignedTokenSchema, Buffer.from(fresh(), 'base64url'));
    shortened.signature = shortened.signature.subarray(0, 1);
    const shortToken = Buffer.from(toBinary(SignedTokenSchema, shortened)).toString('base64url');
    const unauthenticatedRequests: Record<string, string> = {
      'a token with one byte of its signature': requestText(shortToken),
      'the same token again': requestText(token),
      'a token for another daemon': requestText(client.signCall('another', 'Cancel').token),
      'a token for another method': requestText(client.signCall('server', 'Gossip').token),
      'a token of another secret': requestText(signed('peer', OTHER_SECRET)),
      'a token of another purpose': requestText(signed('resume')),
      'the token of an answer': requestText(signed('peer-answer')),
      'an old token': requestText(
        credentialsOf({ daemonId: 'client', wallMilliseconds: NOW - 60_001 }).signCall(
          'server',
          'Cancel',
        ).token,
      ),
      'no token': requestText(''),
      'a long token': requestText('%'.repeat(3_000)),
      'two tokens': requestText(`${fresh()}, ${fresh()}`),
      'a path that does not exist': requestText('', '/nothing'),
      'another HTTP method': 'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n',
      'an upgrade':
        'GET /chat HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n',
      'a question before the body': requestText('').replace(
        'Host: x',
        'Host: x\r\nExpect: 100-continue',
      ),
    };
    const answers: Record<string, string> = {};
    const refusals: Record<string, string> = {};
    for (const [name, text] of Object.entries(unauthenticatedRequests)) {
      answers[name] = await sendRaw(address, text);
      refusals[name] =
        'HTTP/1.1 401 Unauthorized\r\ncontent-length: 0\r\nconnection: close\r\n\r\n';
    }
    expect(answers).toEqual(refusals);
    expect(calls).toEqual(1);
    // Each forged token differs from a valid one only in the named fault: the same token without a fault is accepted.
    const faultless = await sendRaw(address, requestText(signed('peer'), undefined, '{}'));
    expect([faultless.startsWith('HTTP/1.1 200 OK\r\n'), calls]).toEqual([true, 2]);
    expect(await sendRaw(address, 'nonsense\r\n\r\n')).toEqual('');
  });

  it('sends no call to a process that sits at the address of a former daemon', async () => {
    // Guards against prompts that reach a foreign process: a daemon dies, another machine gets its address, and a
    // peer with an old member record calls it. It must not suffice that the caller authenticates itself.
    const seen: string[] = [];
    const foreignServer = createServer((request, response) => {
      let body = '';
      request.on('data', (data) => {
        body += String(data);
      });
      request.on('end', () => {
        seen.push(`${request.method} ${request.url} ${body}`);
        // Sending back the caller's token is the best forgery that a process without the secret can make.
        response.writeHead(200, {
          'content-type': 'application/proto',
          [ANSWER_HEADER]: String(request.headers[TOKEN_HEADER]),
        });
        response.end();
      });
    });
    foreignServer.listen(0, '127.0.0.1');
    await once(foreignServer, 'listening');
    closers.push(() => foreignServer.close());
    const address = `127.0.0.1:${(foreignServer.address() as AddressInfo).port}`;
    const failure = await failureOf(
      linkOf().clientFor('server', address).cancel({ attemptId: 'secret' }),
    );
    expect(wasNeverSent(failure)).toEqual(true);
    expect(failure.code).toEqual(Code.Unauthenticated);
    expect(seen).toEqual(['POST /baobabdock.v1.PeerService/Authenticate ']);
  });
});
