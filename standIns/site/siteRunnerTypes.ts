/**
 * What a stand-in for a runner does, and what it is told to do wrong.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** How a runner handles requests. */
export type RunnerBehaviour =
  | 'answers'
  /** States that it has not run the request. */
  | 'refuses'
  /** Runs it and resets the connection without an answer. */
  | 'loses_answer'
  /** Sends some events, half of the next one, and resets the connection. */
  | 'cuts_stream'
  /** Sends some events, half of the next one, and closes the connection in order. */
  | 'ends_stream_early'
  /** Sends most of a plain answer and closes the connection. */
  | 'cuts_plain'
  /** Runs it and never answers. */
  | 'mute'
  /** Answers 500 with its signature. */
  | 'fails'
  /** Answers as another runner that has taken over the address. */
  | 'misdirected';

/** A request that a runner received. */
export interface ReceivedRequest {
  readonly id: string | undefined;
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** How a runner crashes when it has to reject requests. */
export interface Brittleness {
  /** It crashes when it rejects more requests than this within a second. */
  readonly limit: number;
  /** Number of requests that wait at most; from some time after it has begun to say so. */
  readonly waiting: number;
}

/** Options of a {@link SiteRunner}. */
export interface SiteRunnerOptions {
  id: string;
  service: string;
  dataCentre?: string;
  /** Version of its software. */
  version?: string;
  /** Whether its answers have neither a length nor chunks, and end with their connection. */
  isUnframed?: boolean;
  /** Number of events of each stream. */
  events?: number;
  /** Time between events, in ms. */
  eventMilliseconds?: number;
  /** Time until a plain answer, in ms. */
  workMilliseconds?: number;
  /** Factor by which its instance is slower than usual, for plain answers. */
  slowdown?: number;
  /** Whether its answers state its load and its slowdown. */
  statesLoad?: boolean;
  /** Whether it serves a report on itself, which tells when it started; it answers 404 otherwise. */
  servesReport?: boolean;
  /** Whether it lists the parts of prompts that it has cached; it answers as to any other request otherwise. */
  listsCachedParts?: boolean;
  /** Body of a plain answer. */
  plainBody?: string;
  /** Whether answers and events contain the id of their request, and events the version of the software. */
  echoes?: boolean;
  /** Called for each request that starts to run, with the IP address of its sender. */
  onRan?: (request: ReceivedRequest, from: string) => void;
  /** Writes an answer to the connection in the runner's place; returns whether it does. */
  answersRaw?: (request: ReceivedRequest, socket: Socket) => boolean;
  /** Whether a request crashes the runner. */
  isFatal?: (request: ReceivedRequest) => boolean;
  /** Number of requests that it works on at the same time; more of them wait. */
  slots?: number;
  /** Number of requests that wait; it rejects more of them. */
  maximumWaiting?: number;
  /** Time from a crash to the next start, in ms. */
  downMilliseconds?: number;
  /** How long after an answer it closes the connection without having said so, in ms; the library's timeout by default. */
  closesAfterMilliseconds?: number;
  /** How long after a restart its new entry is in the store. */
  listedAfterMilliseconds?: number;
  /** Called at each crash. */
  onCrashed?: () => void;
  /** Called at each start after a crash: the entry in the store has to be written again. */
  onRestarted?: () => void;
}

/** What a runner does that is told no more than its id and its service. */
export const RUNNER_DEFAULTS: Required<Omit<SiteRunnerOptions, 'id' | 'service' | 'plainBody'>> = {
  dataCentre: 'here',
  version: 'v1',
  isUnframed: false,
  events: 5,
  eventMilliseconds: 2,
  workMilliseconds: 1,
  slowdown: 1,
  statesLoad: false,
  servesReport: false,
  listsCachedParts: true,
  echoes: false,
  onRan: () => undefined,
  answersRaw: () => false,
  isFatal: () => false,
  slots: Number.POSITIVE_INFINITY,
  maximumWaiting: Number.POSITIVE_INFINITY,
  downMilliseconds: 300,
  closesAfterMilliseconds: Number.POSITIVE_INFINITY,
  listedAfterMilliseconds: 0,
  onCrashed: () => undefined,
  onRestarted: () => undefined,
};
