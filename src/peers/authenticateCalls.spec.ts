import { once } from 'node:events';
import type { OutgoingHttpHeaders } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';

import { create, toBinary } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { expect } from 'earl';

import { CancelResponseSchema, PeerTokenSchema } from '../generated/baobabdock/v1/peers_pb.js';
import { Log } from '../logging/Log.js';
import type { LogEvent } from '../logging/logEvent.js';
import { ManualClock } from '../time/ManualClock.js';
import { authenticateCalls } from './authenticateCalls.js';
import { ConnectPeerLink } from './ConnectPeerLink.js';
import { PeerCredentials } from './PeerCredentials.js';
import { wasNeverSent } from './PeerNotReachedError.js';
import { ANSWER_HEADER, TOKEN_HEADER } from './peerHeaders.js';
import { peersSettings } from './peersFeature.js';
import { callOfPath } from './PeerTraffic.js';
import type { TokenPurpose } from './SignedTokens.js';
import { SignedTokens } from './SignedTokens.js';

const SECRET = 'a secret of the whole fleet';
const OTHER_SECRET = 'another secret, of strangers';
const tokens = new SignedTokens({ secrets: [SECRET] });

class EventNames extends Log {
  readonly names: string[] = [];

  override write({ name }: LogEvent): void {
    this.names.push(name);
  }
}

function credentialsOf(daemonId: string, secret = SECRET): PeerCredentials {
  return new PeerCredentials({
    daemonId,
    tokens: new SignedTokens({ secrets: [secret] }),
    clock: new ManualClock({ wallMilliseconds: 1_700_000_000_000 }),
  });
}

/** The proof with which the given daemon answers a token. */
function proofOf(daemonId: string, token: string, call: string): string {
  const verification = credentialsOf(daemonId).verifyCaller(token, call);
  return verification.kind === 'accepted' ? verification.answer : '';
}

interface Fault {
  purpose?: TokenPurpose;
  secret?: string;
  from?: string;
  to?: string;
  call?: string;
}

/** A proof for the right nonce that has the given fault. */
function forged(
  token: string,
  call: string,
  { purpose = 'peer-answer', secret = SECRET, ...wrong }: Fault,
) {
  const known = { to: 'server', call };
  const { issuedAtMilliseconds, nonce } = tokens.openCompact(
    'peer',
    PeerTokenSchema,
    token,
    known,
  )!;
  const payload = { from: 'server', to: 'client', issuedAtMilliseconds, nonce, call, ...wrong };
  return new SignedTokens({ secrets: [secret] }).signCompact(purpose, PeerTokenSchema, {}, payload);
}

type Proof = (token: string, call: string) => string | undefined;

const recorded = credentialsOf('client').signCall('server', 'Cancel').token;

const badProofs: Record<string, Proof> = {
  'no proof': () => undefined,
  'the token of the call': (token) => token,
  'a proof by another secret': (token, call) => forged(token, call, { secret: OTHER_SECRET }),
  'a proof for another purpose': (token, call) => forged(token, call, { purpose: 'binding' }),
  'a proof recorded from another call': (_token, call) => proofOf('server', recorded, call),
  'a proof of another daemon of the fleet': (token, call) => forged(token, call, { from: 'other' }),
  'a proof made out to another daemon': (token, call) => forged(token, call, { to: 'other' }),
  'a proof for another method': (token, call) => forged(token, call, { call: 'Gossip' }),
};

/** An answer whose content must not be used without a valid proof. */
interface Answer {
  status: number;
  headers: OutgoingHttpHeaders;
  body: Uint8Array | string;
  stream?: boolean;
  /** Whether the answer has no header except the proof. */
  bare?: boolean;
}

const STREAM_HEADERS = { 'content-type': 'application/connect+proto' };
const EMPTY_MESSAGE = Uint8Array.from([0, 0, 0, 0, 0]);
const END_WITH_ERROR = '{"error":{"code":"aborted","message":"not run"}}';

const answers: Record<string, Answer> = {
  'a message': {
    status: 200,
    headers: { 'content-type': 'application/proto' },
    body: toBinary(CancelResponseSchema, create(CancelResponseSchema, { known: true })),
  },
  'an error with details': {
    status: 409,
    headers: { 'content-type': 'application/json' },
    body: '{"code":"aborted","message":"not run"}',
  },
  'a status alone': { status: 503, headers: {}, body: '', bare: true },
  'an event of a stream': {
    status: 200,
    headers: STREAM_HEADERS,
    body: EMPTY_MESSAGE,
    stream: true,
  },
  'a stream that ends with an error': {
    status: 200,
    headers: STREAM_HEADERS,
    body: Buffer.concat([
      Uint8Array.from([2, 0, 0, 0, END_WITH_ERROR.length]),
      Buffer.from(END_WITH_ERROR),
    ]),
    stream: true,
  },
};

const closers: (() => unknown)[] = [];

afterEach(async () => {
  for (const close of closers.splice(0).reverse()) await close();
});

/**
 * Starts a server that authenticates connections as the called daemon does, and answers other calls with the given
 * proof.
 */
async function serve(proof: Proof, answer: Answer) {
  let connections = 0;
  const server = createServer((request, response) => {
    const call = callOfPath(request.url);
    const token = String(request.headers[TOKEN_HEADER]);
    const opens = call === 'Authenticate';
    if (opens) connections += 1;
    const value = opens ? proofOf('server', token, call) : proof(token, call);
    if (value !== undefined) response.setHeader(ANSWER_HEADER, value);
    response.sendDate = false;
    const { status, headers, body } = opens
      ? { status: 200, headers: { 'content-type': 'application/proto' }, body: '' }
      : answer;
    // Node.js would add headers; without any header, only the status shows that the server answered.
    const bare = `HTTP/1.1 ${status} -\r\n${value === undefined ? '' : `${ANSWER_HEADER}: ${value}\r\n`}\r\n`;
    request.resume().on('end', () => {
      if (!opens && answer.bare) request.socket.end(bare);
      else response.writeHead(status, headers).end(body);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  closers.push(() => server.close());
  const { port } = server.address() as AddressInfo;
  return { address: `127.0.0.1:${port}`, connections: () => connections };
}

async function callOnce(link: ConnectPeerLink, address: string, stream = false): Promise<unknown> {
  const client = link.clientFor('server', address);
  const used: unknown[] = [];
  try {
    if (!stream) return await client.cancel({ attemptId: 'a' });
    for await (const event of client.resume({})) used.push(event);
  } catch (error) {
    if (!(error instanceof ConnectError)) throw error;
    const { code, rawMessage } = error;
    return { code, rawMessage, used, neverSent: wasNeverSent(error) };
  }
  return used;
}

describe(authenticateCalls.name, () => {
  for (const [proofName, proof] of Object.entries(badProofs)) {
    for (const [answerName, answer] of Object.entries(answers)) {
      it(`rejects ${answerName} with ${proofName}`, async () => {
        // Guards against a request that ran and is reported as "not run", and against a caller that gets a foreign
        // text: a connection is opened to the called daemon, and an intermediary answers a later call on it. It must
        // not suffice that the daemon was authenticated when the connection was opened.
        const { address, connections } = await serve(proof, answer);
        const log = new EventNames();
        const settings = peersSettings.parse({ fleetSecrets: [SECRET] });
        const link = new ConnectPeerLink({ credentials: credentialsOf('client'), settings, log });
        closers.push(() => link.close());
        const rejection = {
          code: Code.Unauthenticated,
          rawMessage: 'The answer does not prove that it comes from the called daemon.',
          used: [],
          neverSent: false,
        };
        expect(await callOnce(link, address, answer.stream)).toEqual(rejection);
        expect(await callOnce(link, address, answer.stream)).toEqual(rejection);
        expect(log.names).toEqual(['peers.stranger_answered', 'peers.stranger_answered']);
        // After a bad proof, the next call opens a new connection, which is authenticated first.
        expect(connections()).toEqual(2);
      });
    }
  }

  const acceptedErrors: Record<string, unknown> = {
    'an error with details': { code: Code.Aborted, rawMessage: 'not run' },
    'a status alone': { code: Code.Unavailable, rawMessage: 'HTTP 503' },
    'a stream that ends with an error': { code: Code.Aborted, rawMessage: 'not run' },
  };
  for (const [answerName, expected] of Object.entries(acceptedErrors)) {
    it(`accepts ${answerName} with the right proof`, async () => {
      const answer = answers[answerName]!;
      // Created like the bad proofs but without a fault, which shows that each of them fails only by its named fault.
      const { address } = await serve((token, call) => forged(token, call, {}), answer);
      const log = new EventNames();
      const settings = peersSettings.parse({ fleetSecrets: [SECRET] });
      const link = new ConnectPeerLink({ credentials: credentialsOf('client'), settings, log });
      closers.push(() => link.close());
      expect(await callOnce(link, address, answer.stream)).toEqual({
        ...(expected as object),
        used: [],
        neverSent: false,
      });
      expect(log.names).toEqual([]);
    });
  }

  it('does not treat its own size limit or a cut connection as an answer without proof', async () => {
    // Guards against a false warning about a foreign process whenever a peer is killed while it answers: a failure
    // without an answer must not count as an answer without a proof.
    const { address } = await serve(() => undefined, answers['a message']!);
    const log = new EventNames();
    const settings = peersSettings.parse({ fleetSecrets: [SECRET], maximumMessageBytes: 16 });
    const link = new ConnectPeerLink({ credentials: credentialsOf('client'), settings, log });
    closers.push(() => link.close());
    const tooLong = link.clientFor('server', address).cancel({ attemptId: 'a'.repeat(17) });
    await expect(tooLong).toBeRejectedWith(ConnectError, 'resource_exhausted');

    const cutting = createServer((request) => {
      if (callOfPath(request.url) !== 'Authenticate') request.socket.destroy();
    });
    cutting.listen(0, '127.0.0.1');
    await once(cutting, 'listening');
    closers.push(() => cutting.close());
    cutting.prependListener('request', (request, response) => {
      if (callOfPath(request.url) !== 'Authenticate') return;
      const token = String(request.headers[TOKEN_HEADER]);
      response.setHeader(ANSWER_HEADER, proofOf('server', token, 'Authenticate'));
      response.writeHead(200, { 'content-type': 'application/proto' }).end();
    });
    const cutAddress = `127.0.0.1:${(cutting.address() as AddressInfo).port}`;
    const cut = (await callOnce(link, cutAddress)) as { code: Code; neverSent: boolean };
    expect([cut.code, cut.neverSent]).toEqual([Code.Aborted, false]);
    expect(log.names).toEqual([]);
  });
});
