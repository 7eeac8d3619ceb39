/**
 * What a simulated fleet is given, and what it counts.
 */

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
  /** Share of streams whose callers lose them without a fault of a daemon. */
  lostByCallers?: number;
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
