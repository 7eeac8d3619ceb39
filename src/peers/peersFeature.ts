/**
 * Calls between daemons: their settings and log events, numbers 2200 to 2299.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';
import { MINIMUM_SECRET_BYTES } from './SignedTokens.js';

const SECOND = 1000;
const MINUTE = 60 * SECOND;
const MEBIBYTE = 1024 * 1024;

const milliseconds = (defaultValue: number, text: string) =>
  z.int().positive().default(defaultValue).describe(`${text}, in milliseconds.`);

const count = (defaultValue: number, text: string) =>
  z.int().positive().default(defaultValue).describe(`${text}.`);

/** Settings of the calls between daemons. */
export const peersSettings = z.strictObject({
  fleetSecrets: z
    .array(z.string().min(MINIMUM_SECRET_BYTES))
    .min(1)
    .max(4)
    .describe(
      'Secrets that all daemons of the fleet share, at least 16 characters each. The first one signs; further ' +
        'ones are accepted, so that a secret can be replaced in three rolling restarts: add, swap, remove.',
    ),
  callTimeoutMilliseconds: milliseconds(2 * SECOND, 'Longest time of a call that is not a stream'),
  connectTimeoutMilliseconds: milliseconds(SECOND, 'Longest time to open a connection'),
  idleConnectionMilliseconds: milliseconds(
    10 * MINUTE,
    'How long a connection without a call is kept; longer than a round of probes over all daemons saves openings',
  ),
  maximumConnectionsPerPeer: count(64, 'Connections to one daemon at once; further calls wait'),
  maximumServedConnections: count(4096, 'Connections from all daemons at once'),
  maximumMessageBytes: z
    .int()
    .positive()
    .default(24 * MEBIBYTE)
    .describe('Largest message between daemons after decompression, in bytes.'),
  maximumClockDifferenceMilliseconds: milliseconds(
    MINUTE,
    'How far the wall clocks of two daemons may differ before they refuse each other',
  ),
  stopTimeoutMilliseconds: milliseconds(
    30 * SECOND,
    'How long calls in progress may go on after the stop of the peer server',
  ),
});

/** Settings of the calls between daemons, with defaults filled in. */
export type PeersSettings = z.infer<typeof peersSettings>;

/** Numbered events of the calls between daemons. */
export const peersLogEvents = {
  serverListening: defineLogEvent({
    number: 2200,
    name: 'peers.listening',
    level: 'info',
    text: 'The peer server listens for calls of other daemons.',
    operatorAction: 'None.',
  }),
  callerRefused: defineLogEvent({
    number: 2201,
    name: 'peers.caller_refused',
    level: 'warn',
    text: 'A call was refused because its caller could not be authenticated as a daemon of this fleet.',
    operatorAction:
      'Depends on the reason. not_signed: shortly after a restart an address may be in use by another daemon, which ' +
      'passes; otherwise the caller has another secret, is not a daemon of the fleet, or uses recorded traffic for ' +
      'another daemon or method. clock_difference: correct the clocks. replayed: find out who records traffic; at a ' +
      'daemon with very many calls, also correct the clock of the caller.',
  }),
  answerRejected: defineLogEvent({
    number: 2202,
    name: 'peers.stranger_answered',
    level: 'warn',
    text: 'The process at the address of a daemon did not prove that it is that daemon; its answer was rejected.',
    operatorAction:
      'None if the daemon was replaced a short time ago; otherwise compare secrets and addresses.',
  }),
  handlerFailed: defineLogEvent({
    number: 2203,
    name: 'peers.handler_failed',
    level: 'error',
    text: 'A handler of the peer service failed with an unexpected error.',
    operatorAction: 'Report it with this log line; the caller received only "internal".',
  }),
  serverStopped: defineLogEvent({
    number: 2204,
    name: 'peers.stopped',
    level: 'info',
    text: 'The peer server no longer serves other daemons.',
    operatorAction:
      'None; cutCalls above 0 means that calls were still in progress after the stop timeout.',
  }),
};

/** The feature of the calls between daemons. */
export const peersFeature = defineFeature({
  name: 'peers',
  settings: peersSettings,
  logEvents: peersLogEvents,
});
