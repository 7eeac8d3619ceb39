/**
 * Callers of the soak: send requests of all kinds at a constant rate, on connections that are kept open.
 */
import { Agent } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

import { callSite } from '../standIns/site/callSite.js';
import type { SiteAnswer } from '../standIns/site/callSite.js';
import { fetchText } from '../standIns/site/SiteProcess.js';
import { countEvents } from '../standIns/site/siteStreams.js';
import type { SoakDaemon } from './SoakDaemon.js';

const OK = 200;

/** Kind of request; `look` finds out which configuration is in force. */
export type CallKind = 'read' | 'order' | 'chat' | 'story' | 'look';

/** One request with the answer that its caller received. */
export interface Call {
  readonly id: string;
  readonly kind: CallKind;
  readonly daemon: number;
  readonly path: string;
  readonly body: string;
  /** Parts of its prompt that the soak has chosen, without those that every request has. */
  readonly parts: readonly string[];
  /** All parts of its prompt, as they are sent. */
  readonly prompt?: string;
  /** Monotonic ms. */
  readonly sentAt: number;
  readonly endedAt: number;
  /** Answer that the caller received, possibly truncated. */
  readonly answer: SiteAnswer | undefined;
  /** Code of the error if no answer began. */
  readonly failure: string | undefined;
  /** The broken stream that this request resumes. */
  readonly takesUp?: BrokenStream | undefined;
  /** Whether the caller closed the connection after some events, to resume the stream elsewhere. */
  readonly hasLeft?: boolean;
}

/** A stream that broke off after its first event. */
export interface BrokenStream {
  /** Id of the request that brought the first event. */
  readonly first: string;
  /** Number of events that the caller has received. */
  readonly events: number;
}

/**
 * @param call - a request that has ended.
 * @returns The stream that its caller has to resume; `undefined` if there is none.
 */
export function brokenStreamOf({ id, kind, answer, takesUp }: Call): BrokenStream | undefined {
  if (kind !== 'chat' || takesUp || answer?.status !== OK || answer.isComplete) return undefined;
  const events = countEvents(answer.body);
  return events > 0 ? { first: id, events } : undefined;
}

/** Options of {@link SoakCallers}. */
export interface SoakCallersOptions {
  daemons: readonly SoakDaemon[];
  random: () => number;
  /** Requests per second. */
  rate: number;
  /** Called with each request that has ended. */
  onEnd: (call: Call) => void;
  /** Whether callers come back later with a stream that has broken off and its prompt, and again if it did not go on. */
  comesBack?: boolean;
}

interface SoakRequest {
  readonly daemon: SoakDaemon;
  readonly kind: CallKind;
  readonly path: string;
  /** Called when the answer begins. */
  readonly onData?: (() => void) | undefined;
  /** Body that several requests have in common; a unique one by default. */
  readonly body?: string | undefined;
  /** Part of its prompt that several requests have in common. */
  readonly part?: string | undefined;
  /** The whole prompt, if it has been sent before. */
  readonly prompt?: string | undefined;
  readonly takesUp?: BrokenStream | undefined;
}

/** Time without an answer after which a caller gives up, in ms; longer than any daemon may take. */
const GIVE_UP_MILLISECONDS = 20_000;

const RESOLVE_MILLISECONDS = 300;
const MILLISECONDS_PER_SECOND = 1_000;

/** Share of the requests that go to any running daemon, even if the directory no longer lists it. */
const LOYAL_SHARE = 0.25;

/** Idle time after which callers close a connection, in ms; four fifths of the limit in `siteConfiguration`. */
const LONGEST_IDLE_MILLISECONDS = 12_000;

/** Share of the chats whose callers close the connection and resume the stream at a daemon of their choice. */
const LEAVING_SHARE = 0.05;

const EVENTS_BEFORE_LEAVING = 5;

/** Cumulative shares of the kinds of requests. */
const KINDS: readonly (readonly [CallKind, number])[] = [
  ['chat', 0.45],
  ['order', 0.7],
  ['story', 0.8],
  ['read', 1],
];

/** Times before a stream is taken up, in ms; the last one is when a daemon that started again is connected to all. */
const EARLY_PAUSES: readonly number[] = [0, 1_000, 4_500];
const LATE_PAUSES: readonly number[] = [5_500];

const PROMPTS = 20;

/** Error of a caller that received nothing. */
export const NOTHING_HEARD = 'nothing_heard';

/** Sends requests, and reports each one when it has ended. */
export class SoakCallers {
  readonly pending = new Set<Promise<Call>>();

  private readonly options: SoakCallersOptions;

  private readonly agents = new Map<number, Agent>();

  private directory: ReadonlySet<string> = new Set();

  private sent = 0;

  private timers: NodeJS.Timeout[] = [];

  /**
   * @param options - the daemons, and the rate of requests.
   */
  constructor(options: SoakCallersOptions) {
    this.options = options;
  }

  /** Starts to send requests. */
  async start(): Promise<void> {
    await this.resolve();
    const resolve = () => {
      void this.resolve();
    };
    const send = () => {
      void this.call(this.choose(), this.chooseKind());
    };
    this.timers = [
      setInterval(resolve, RESOLVE_MILLISECONDS),
      setInterval(send, MILLISECONDS_PER_SECOND / this.options.rate),
    ];
  }

  /** @returns Resolves when all requests have ended. */
  async stop(): Promise<void> {
    for (const timer of this.timers) clearInterval(timer);
    while (this.pending.size > 0) await Promise.all(this.pending);
    for (const agent of this.agents.values()) agent.destroy();
  }

  /**
   * @param daemon - daemon that the request is sent to.
   * @param kind - kind of request.
   * @param path - its path, if it looks for a configuration.
   * @param onData - called when the answer begins.
   * @param shared - body and part of the prompt that several requests have in common.
   * @returns The request, when it has ended.
   */
  async call(
    daemon: SoakDaemon,
    kind: CallKind,
    path = `/${kind}/x`,
    onData: () => void = () => undefined,
    { body, part }: Pick<SoakRequest, 'body' | 'part'> = {},
  ): Promise<Call> {
    const ended = await this.follow(this.send({ daemon, kind, path, onData, body, part }));
    const takesUp = brokenStreamOf(ended);
    if (!takesUp) return ended;
    const prompt = this.options.comesBack ? ended.prompt : undefined;
    const takeUp = () =>
      this.send({ daemon: this.choose(), kind, path, body: ended.body, prompt, takesUp });
    if (this.options.comesBack) void this.comeBack(takeUp);
    else void this.follow(takeUp());
    return ended;
  }

  /** Half of the callers come back at once first; at a daemon that has just started, a stream may be refused. */
  private async comeBack(takeUp: () => Promise<Call>): Promise<void> {
    const pauses = this.sent % 2 === 0 ? EARLY_PAUSES : LATE_PAUSES;
    for (const pause of pauses) {
      const { answer } = await this.follow(wait(pause).then(takeUp));
      if (answer?.status === OK) return;
    }
  }

  private async follow(call: Promise<Call>): Promise<Call> {
    this.pending.add(call);
    const ended = await call;
    this.pending.delete(call);
    this.options.onEnd(ended);
    return ended;
  }

  private async send({
    daemon: { index, callersAddress: address },
    kind,
    path,
    onData,
    body: repeated,
    part,
    prompt: sentBefore,
    takesUp,
  }: SoakRequest): Promise<Call> {
    this.sent += 1;
    const id = `call-${this.sent}`;
    const body = repeated ?? `body of ${id}`;
    const sentAt = performance.now();
    const parts = part === undefined ? [] : [part];
    const given = parts.map((one) => `${one}:100,`).join('');
    const prompt = sentBefore ?? `a${this.sent % PROMPTS}:2000,${given}b${this.sent}:50`;
    const call = { id, kind, daemon: index, path, body, parts, prompt, takesUp, sentAt };
    const isStream = kind === 'chat' || kind === 'story';
    const headers = {
      'Attempt-Id': id,
      ...(isStream && { 'Prompt-Prefix': prompt, Model: 'm' }),
      ...(takesUp && { 'Last-Event-Id': String(takesUp.events), Resumes: takesUp.first }),
    };
    const agent = this.agentOf(index);
    let hasLeft = false;
    const mayLeave = kind === 'chat' && !takesUp && this.options.random() < LEAVING_SHARE;
    const leaves = (received: string) => {
      hasLeft ||= mayLeave && countEvents(received) >= EVENTS_BEFORE_LEAVING;
      return hasLeft;
    };
    const result = await Promise.race([
      SoakCallers.giveUp(),
      callSite({ address, path, body, headers, agent, onData, leaves }).then(
        (answer) => ({ answer, failure: undefined }),
        (error: NodeJS.ErrnoException) => ({ answer: undefined, failure: error.code ?? 'error' }),
      ),
    ]);
    return { ...call, ...result, hasLeft, endedAt: performance.now() };
  }

  private static giveUp(): Promise<Pick<Call, 'answer' | 'failure'>> {
    return new Promise((done) => {
      const heard = () => done({ answer: undefined, failure: NOTHING_HEARD });
      setTimeout(heard, GIVE_UP_MILLISECONDS).unref();
    });
  }

  private agentOf(daemon: number): Agent {
    const known = this.agents.get(daemon);
    if (known) return known;
    const agent = new Agent({ keepAlive: true, timeout: LONGEST_IDLE_MILLISECONDS });
    this.agents.set(daemon, agent);
    return agent;
  }

  private chooseKind(): CallKind {
    const draw = this.options.random();
    return KINDS.find(([, share]) => draw < share)?.[0] ?? 'read';
  }

  private choose(): SoakDaemon {
    const { daemons, random } = this.options;
    const isLoyal = random() < LOYAL_SHARE;
    const listed = daemons.filter(({ process }) =>
      this.directory.has(process.settings.addresses.callers),
    );
    const running = daemons.filter(({ isUp }) => isUp);
    const choices = isLoyal || listed.length === 0 ? running : listed;
    const among = choices.length > 0 ? choices : daemons;
    return among[Math.floor(random() * among.length)] as SoakDaemon;
  }

  /** Asks one daemon after the other for the addresses in the directory, until one answers. */
  private async resolve(): Promise<void> {
    for (const { isUp, process } of this.options.daemons) {
      if (!isUp) continue;
      const { directory } = process.settings.addresses;
      const path = '/v1/resolve?name=site.example&zone=here';
      const question = fetchText(directory, path);
      const { status, text } = await Promise.race([question, SoakCallers.noDirectory()]);
      if (status !== OK) continue;
      this.directory = new Set((JSON.parse(text) as { addresses: string[] }).addresses);
      return;
    }
  }

  private static noDirectory(): Promise<{ status: number; text: string }> {
    return new Promise((done) => {
      setTimeout(() => done({ status: 0, text: '' }), RESOLVE_MILLISECONDS);
    });
  }
}
