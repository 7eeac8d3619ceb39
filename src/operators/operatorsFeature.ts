/**
 * The operators' interface: its settings and its log events, numbers 2100 to 2199.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;
const SECOND = 1000;
const MINUTE = 60 * SECOND;

/** Roles of an operator: `read` allows reading only, `write` allows changes as well. */
export const OPERATOR_ROLES = ['read', 'write'] as const;

const tokenSettings = z.strictObject({
  name: z
    .string()
    .min(1)
    .max(100)
    .describe("The operator's name, as the history of changes shows it."),
  role: z
    .enum(OPERATOR_ROLES)
    .default('read')
    .describe('What the token allows: read, or write for changes as well.'),
  sha256: z
    .string()
    .regex(/^[0-9a-f]{64}$/u, 'has to be 64 hexadecimal digits, lower case')
    .describe('SHA-256 of the token; `baobabdock operator token create` prints it.'),
});

/** Settings of the operators' interface. */
export const operatorsSettings = z.strictObject({
  tokens: z
    .array(tokenSettings)
    .default([])
    .describe('Who may call; without any, every call is refused.'),
  maximumBodyBytes: z
    .int()
    .positive()
    .default(4 * MEBIBYTE)
    .describe('Largest body of one call, in bytes.'),
  maximumHeaderBytes: z
    .int()
    .positive()
    .default(16 * KIBIBYTE)
    .describe('Request line and headers together, in bytes.'),
  maximumConnections: z
    .int()
    .positive()
    .default(64)
    .describe('Connections of operators at once; more are closed.'),
  headerTimeoutMilliseconds: z
    .int()
    .positive()
    .default(10 * SECOND)
    .describe('How long an operator may take to send the headers, in milliseconds.'),
  requestTimeoutMilliseconds: z
    .int()
    .positive()
    .default(30 * SECOND)
    .describe('How long an operator may take to send a whole request, in milliseconds.'),
  maximumWaitMilliseconds: z
    .int()
    .positive()
    .default(MINUTE)
    .describe('Longest time that one call waits for a revision, in milliseconds.'),
});

/** Settings of the operators' interface, checked and with defaults. */
export type OperatorsSettings = z.infer<typeof operatorsSettings>;

/** The operators' interface as a feature of the program. */
export const operatorsFeature = defineFeature({
  name: 'operators',
  settings: operatorsSettings,
  logEvents: {
    listening: defineLogEvent({
      number: 2100,
      name: 'operators.listening',
      level: 'info',
      text: 'The interface for operators accepts connections.',
      operatorAction: 'None.',
    }),
    stopped: defineLogEvent({
      number: 2101,
      name: 'operators.stopped',
      level: 'info',
      text: 'The interface for operators is closed.',
      operatorAction: 'None.',
    }),
    noTokens: defineLogEvent({
      number: 2102,
      name: 'operators.no_tokens',
      level: 'warn',
      text: 'The settings hold no operator token, so every call of an operator is refused.',
      operatorAction:
        'Run `baobabdock operator token create` and add the line that it prints to the settings.',
    }),
    changed: defineLogEvent({
      number: 2110,
      name: 'operators.changed',
      level: 'info',
      text: 'An operator changed the configuration.',
      operatorAction: 'None; `operator history` shows who and why.',
    }),
    refused: defineLogEvent({
      number: 2111,
      name: 'operators.refused',
      level: 'info',
      text: 'A change of an operator was refused.',
      operatorAction: 'None; the answer to the operator has every finding, or the newer value.',
    }),
    unauthenticated: defineLogEvent({
      number: 2112,
      name: 'operators.unauthenticated',
      level: 'warn',
      text: 'A call to the interface for operators had no valid token.',
      operatorAction:
        'If many come from one address, find out who uses it; the port should be open to operators only.',
    }),
    keyCreated: defineLogEvent({
      number: 2113,
      name: 'operators.key_created',
      level: 'info',
      text: 'An operator created a key for a client account.',
      operatorAction: 'None; the key itself was shown to that operator only.',
    }),
    unsure: defineLogEvent({
      number: 2114,
      name: 'operators.unsure',
      level: 'warn',
      text: 'Whether a change took effect is unknown, because the store did not answer.',
      operatorAction: 'Repeat the change with the same change id; it is made at most once.',
    }),
    internal: defineLogEvent({
      number: 2120,
      name: 'operators.internal',
      level: 'error',
      text: 'A call of an operator failed with an unexpected exception.',
      operatorAction: 'Report it with this log line; the operator got an error with code internal.',
    }),
  },
});
