/**
 * What a simulated fleet is given, and what it counts.
 */

import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import type { StreamVersionTask } from './StreamVersionTask.js';

/** Takes a message of another daemon. */
export type MessageListener = (message: Uint8Array) => void;

/** Options of a `TestStreamFleet`. */
export interface TestStreamFleetOptions {
  daemons: number;
  runners: number;
  seed: number;
  /** Streams that begin per second, at all daemons together. */
  streamsPerSecond: number;
  /** Share of datagrams that get lost, from 0 to 1. */
  loss?: number;
  /** Longest time until a caller takes a stream up that has broken off, in ms. */
  pauseMilliseconds?: number;
  /** Whether runners list the prompts that they have cached; the prompt of each stream is its own. */
  listsPrompts?: boolean;
  /** Share of streams whose callers lose them without a fault of a daemon. */
  lostByCallers?: number;
  /** Time over which daemons that ended together start again, in ms: the others do not list those that start late. */
  startSpreadMilliseconds?: number;
}

/** What became of the streams that callers took up again. */
export interface TakeUpTally {
  /** All of them. */
  taken: number;
  /** Those that went on at a version that had not begun them. */
  mixed: number;
  /** Those at daemons in touch, while two runners of the version were ready. */
  owed: number;
  /** Those of the owed that went on. */
  wentOn: number;
  /** Those at any daemon, in touch or not, while two runners of the version were ready. */
  possible: number;
  /** Those of the possible that went on. */
  possibleWentOn: number;
}

/** A daemon of the fleet. */
export interface TestStreamDaemon {
  readonly entry: DaemonEntry;
  task: StreamVersionTask;
  runners: RunnerTable;
  handlers: Map<MessageKind, MessageListener>;
  /** Grows with each start. */
  life: number;
  isUp: boolean;
  /** Whether it reaches neither the store nor other daemons. */
  isCut: boolean;
  /** When its last fault ended, monotonic ms. */
  soundSince: number;
  /** When it last ended, monotonic ms. */
  endedAt: number;
  /** When it was last cut off, monotonic ms. */
  cutAt: number;
  /** Streams in progress. */
  readonly streams: Set<TestStream>;
}

/** A stream in progress. */
export interface TestStream {
  readonly id: string;
  readonly softwareVersion: string;
  until: number;
}
