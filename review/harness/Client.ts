/**
 * Stand-in for clients: sends single requests, and follows streams, which it takes up again as the pages allow.
 */
import { request as sendRequest } from 'node:http';
import type { Agent, IncomingHttpHeaders } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

import { HOST, KEY } from './configuration.js';

/** One client attempt. */
export interface Call {
  /** IP address and port of a daemon. */
  address: string;
  path: string;
  method?: string;
  headers?: Record<string, string>;
  body?: string;
  deadlineMilliseconds?: number;
  agent?: Agent | false;
  /** Called with the body so far, whenever bytes arrive. */
  onBody?: (text: string) => void;
}

/** What became of it. */
export interface Answer {
  readonly id: string;
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer ended in order. */
  readonly isComplete: boolean;
  readonly milliseconds: number;
}

let lastId = 0;

/** @returns A new id of a client attempt. */
export function nextId(): string {
  lastId += 1;
  return `a${lastId.toString(16).padStart(6, '0')}`;
}

/**
 * @param call - the attempt.
 * @param id - its id.
 * @returns The answer; status 0 if there was none.
 */
export function send(call: Call, id = nextId()): Promise<Answer> {
  const { address, path, method = 'POST', body = '', deadlineMilliseconds = 15_000 } = call;
  const { agent = false, headers = {}, onBody = () => undefined } = call;
  const [host, port] = address.split(':');
  const startedAt = performance.now();
  return new Promise((done) => {
    let status = 0;
    let received: IncomingHttpHeaders = {};
    let text = '';
    let isComplete = false;
    const request = sendRequest({
      ...{ host, port, method, path, agent },
      headers: {
        Host: HOST,
        'Attempt-Id': id,
        'Deadline-Ms': String(deadlineMilliseconds),
        Credential: KEY,
        'Content-Length': String(Buffer.byteLength(body)),
        ...headers,
      },
    });
    const timer = setTimeout(() => request.destroy(), deadlineMilliseconds + 1_000);
    request.on('error', () => undefined);
    request.once('response', (response) => {
      status = response.statusCode ?? 0;
      received = response.headers;
      response.on('error', () => undefined);
      response.on('data', (chunk: Buffer) => {
        text += chunk.toString();
        onBody(text);
      });
      response.once('end', () => {
        isComplete = response.complete;
      });
    });
    request.once('close', () => {
      clearTimeout(timer);
      const milliseconds = Math.round(performance.now() - startedAt);
      done({ id, status, headers: received, body: text, isComplete, milliseconds });
    });
    request.end(body);
  });
}

/** An event of a stream. */
export interface StreamEvent {
  readonly id: number;
  readonly version: string;
  readonly runner: string;
}

/** @returns The complete events of a body. */
export function eventsIn(body: string): StreamEvent[] {
  const blocks = body.split('\n\n').slice(0, -1);
  return blocks.flatMap((block) => {
    const [, id, version = '', runner = ''] =
      /^id: (\d+)\ndata: (\S+) (\S+) \d+$/u.exec(block) ?? [];
    return id === undefined ? [] : [{ id: Number(id), version, runner }];
  });
}

/** A stream as its client has it, over all its attempts. */
export interface FollowedStream {
  readonly attempts: readonly Answer[];
  readonly events: readonly StreamEvent[];
  readonly isComplete: boolean;
}

/** Options of {@link followStream}. */
export interface FollowOptions {
  addresses: () => readonly string[];
  path?: string;
  prompt: string;
  deadlineMilliseconds?: number;
  /** How often the client tries again. */
  retries?: number;
  /** Pause before the next attempt if there was no answer at all, in ms. */
  retryMilliseconds?: number;
  onEvents?: (events: readonly StreamEvent[]) => void;
}

function pick(addresses: readonly string[]): string {
  return addresses[Math.floor(Math.random() * addresses.length)] ?? '';
}

/**
 * Follows one stream to its end, and takes it up again after its last event if it breaks off.
 *
 * @param options - the daemons, and how often the client tries again.
 * @returns All attempts and events.
 */
export async function followStream({
  addresses,
  path = '/chat/x',
  prompt,
  deadlineMilliseconds = 15_000,
  retries = 1,
  retryMilliseconds = 0,
  onEvents = () => undefined,
}: FollowOptions): Promise<FollowedStream> {
  const attempts: Answer[] = [];
  const events: StreamEvent[] = [];
  const endsAt = performance.now() + deadlineMilliseconds;
  let firstId: string | undefined;
  for (let attempt = 0; attempt <= retries; attempt += 1) {
    const last = events.at(-1);
    const left = Math.round(endsAt - performance.now());
    if (left < 200) break;
    const resumption = last && {
      'Last-Event-Id': String(last.id),
      ...(firstId !== undefined && { Resumes: firstId }),
    };
    const answer = await send({
      ...{ address: pick(addresses()), path, deadlineMilliseconds: left },
      body: JSON.stringify({ prompt }),
      headers: {
        Model: 'm',
        'Token-Usage': '900,400',
        'Prompt-Prefix': prompt,
        ...resumption,
      },
      onBody: (text) => onEvents(eventsIn(text)),
    });
    attempts.push(answer);
    const got = answer.status === 200 ? eventsIn(answer.body) : [];
    if (got.length > 0) firstId ??= answer.id;
    events.push(...got);
    if (answer.status === 200 && answer.isComplete) return { attempts, events, isComplete: true };
    const retryAfter = Number(answer.headers['retry-after'] ?? 0) * 1_000;
    const pause = answer.status === 0 ? retryMilliseconds : retryAfter;
    await wait(Math.min(pause, left / 3));
  }
  return { attempts, events, isComplete: false };
}
