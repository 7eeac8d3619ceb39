/**
 * Settings and log events of the callers' interface; event numbers 2000 to 2099.
 */
import { z } from 'zod';

import { clientsSettings } from '../clients/clientsFeature.js';
import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;
const SECOND = 1000;
const MINUTE = 60 * SECOND;

const milliseconds = (standard: number, text: string) =>
  z.int().positive().default(standard).describe(`${text}, in milliseconds.`);

const bytes = (standard: number, text: string) =>
  z.int().positive().default(standard).describe(`${text}, in bytes.`);

const count = (standard: number, text: string) =>
  z.int().positive().default(standard).describe(`${text}.`);

/** Settings of the callers' interface. */
export const callersSettings = z.strictObject({
  maximumBodyBytes: bytes(16 * MEBIBYTE, 'Largest body of one request'),
  maximumBufferedBodyBytes: bytes(
    128 * MEBIBYTE,
    'Bodies of all requests in progress together; more are refused as overloaded',
  ),
  maximumBufferedAnswerBytes: bytes(
    2 * MEBIBYTE,
    'Largest answer of an engine, not streamed, that is held back until it is whole',
  ),
  maximumHeaderBytes: bytes(16 * KIBIBYTE, 'Request line and headers together'),
  maximumHeaderCount: count(100, 'Headers of one request'),
  maximumConnections: count(4096, 'Connections of callers at once'),
  maximumRequestsInProgress: count(2048, 'Requests in progress at once'),
  headerTimeoutMilliseconds: milliseconds(
    10 * SECOND,
    'How long a caller may take to send its headers',
  ),
  bodyTimeoutMilliseconds: milliseconds(30 * SECOND, 'How long a caller may take to send its body'),
  keepAliveMilliseconds: milliseconds(
    75 * SECOND,
    'How long a connection may stay without a request',
  ),
  stallTimeoutMilliseconds: milliseconds(
    30 * SECOND,
    'How long a caller may leave its answer unread before the connection is cut',
  ),
  lingerMilliseconds: milliseconds(
    2 * SECOND,
    'How long an unread body is discarded after an early refusal, so that the refusal arrives',
  ),
  drainRetryAfterMilliseconds: milliseconds(
    1 * SECOND,
    'When a caller that meets a draining daemon should locate again',
  ),
  overloadRetryAfterMilliseconds: milliseconds(
    2 * SECOND,
    'When a caller refused for a limit of this daemon should come back',
  ),
  defaultDeadlineMilliseconds: milliseconds(
    2 * MINUTE,
    'Deadline of a request whose caller names none',
  ),
  maximumDeadlineMilliseconds: milliseconds(30 * MINUTE, 'Longest deadline that a caller may name'),
  defaultMaximumTokens: count(
    512,
    'Tokens to generate that are assumed where the caller sets no limit',
  ),
  locateKeepSeconds: z
    .int()
    .positive()
    .default(30)
    .describe('How long callers keep the answer of locate, in seconds.'),
  locateUnsettledKeepSeconds: z
    .int()
    .positive()
    .default(5)
    .describe('The same while some daemon is suspect or leaving, in seconds.'),
  locateMaximumAddresses: count(4, 'Addresses in one answer of locate'),
  clients: clientsSettings,
  serveMetrics: z
    .boolean()
    .default(false)
    .describe('Whether GET /metrics answers on the port of the callers, without a key.'),
});

/** Settings of the callers' interface, checked and with defaults. */
export type CallersSettings = z.infer<typeof callersSettings>;

/** Log events of the callers' interface. */
export const CALLER_EVENTS = {
  listening: defineLogEvent({
    number: 2000,
    name: 'callers.listening',
    level: 'info',
    text: 'The interface for callers accepts connections.',
    operatorAction: 'None.',
  }),
  draining: defineLogEvent({
    number: 2001,
    name: 'callers.draining',
    level: 'info',
    text: 'The daemon is draining: new requests are rejected, those in progress finish.',
    operatorAction: 'None; wait for event 2002.',
  }),
  drained: defineLogEvent({
    number: 2002,
    name: 'callers.drained',
    level: 'info',
    text: 'The drain is complete: no request is in progress.',
    operatorAction: 'None; the process can be stopped.',
  }),
  stopped: defineLogEvent({
    number: 2003,
    name: 'callers.stopped',
    level: 'info',
    text: 'The interface for callers is closed.',
    operatorAction:
      'None; if requests were aborted, the drain time was shorter than their deadlines.',
  }),
  answered: defineLogEvent({
    number: 2010,
    name: 'callers.answered',
    level: 'info',
    text: 'A request was answered completely.',
    operatorAction: 'None; find the routing decision by the request id.',
  }),
  refused: defineLogEvent({
    number: 2011,
    name: 'callers.refused',
    level: 'info',
    text: 'A request ended with an error.',
    operatorAction:
      'Check the code; many overloaded or not_run errors mean that there are too few runners.',
  }),
  malformed: defineLogEvent({
    number: 2012,
    name: 'callers.malformed',
    level: 'info',
    text: 'A connection sent something that is not a well-formed HTTP request.',
    operatorAction: 'None; many events from one address suggest a faulty or malicious caller.',
  }),
  unauthenticated: defineLogEvent({
    number: 2013,
    name: 'callers.unauthenticated',
    level: 'info',
    text: 'A request was rejected because it has no valid key.',
    operatorAction: 'If there are many, check whether a key was replaced or is being guessed.',
  }),
  callerGone: defineLogEvent({
    number: 2014,
    name: 'callers.gone',
    level: 'info',
    text: 'A caller closed its connection before its answer was complete.',
    operatorAction:
      'None; many events suggest that callers time out before the deadline of their requests.',
  }),
  callerStalled: defineLogEvent({
    number: 2015,
    name: 'callers.stalled',
    level: 'warn',
    text: 'A caller did not read its answer for too long; its connection was closed.',
    operatorAction:
      'If there are many for one account, its client reads too slowly; streams can be resumed.',
  }),
  connectionLimit: defineLogEvent({
    number: 2016,
    name: 'callers.connection_limit',
    level: 'warn',
    text: 'The connection limit is exceeded; new connections are rejected.',
    operatorAction: 'Raise maximumConnections or add daemons.',
  }),
  located: defineLogEvent({
    number: 2020,
    name: 'callers.located',
    level: 'debug',
    text: 'A locate request was answered; the fields list the addresses in order, each with its reason.',
    operatorAction: 'None.',
  }),
  internal: defineLogEvent({
    number: 2030,
    name: 'callers.internal',
    level: 'error',
    text: 'A route of the interface for callers failed because of a bug in the program.',
    operatorAction:
      'Report the bug with this log line; the caller got an error with code internal.',
  }),
} as const;

/** Registration of the callers' interface as a feature of the program. */
export const callersFeature = defineFeature({
  name: 'callers',
  settings: callersSettings,
  logEvents: CALLER_EVENTS,
});
