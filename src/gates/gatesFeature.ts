/**
 * Registers the gates of runners with their settings and log events.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';

const milliseconds = z.number().int().positive();
const count = z.number().int().positive();

const settings = z.object({
  maximumConcurrentPerRunner: count
    .default(64)
    .describe('Requests on one runner at once, unless its service sets another limit.'),
  maximumQueuedPerRunner: count
    .default(64)
    .describe('Requests that wait at one gate, unless its service sets another limit.'),
  agingMilliseconds: z
    .number()
    .int()
    .nonnegative()
    .default(10_000)
    .describe('Wait after which a lower priority gets a turn, in milliseconds; 0 means never.'),
  openingMilliseconds: milliseconds
    .default(5_000)
    .describe(
      'Duration of the slow start of a gate that opens without a handover, in milliseconds.',
    ),
  pauseMilliseconds: milliseconds
    .default(3_000)
    .describe(
      'Time without any message after which this process is assumed to have been paused, in milliseconds.',
    ),
  reviewMilliseconds: milliseconds
    .default(5_000)
    .describe(
      'How often the gates held by this daemon are compared with the fleet lists when no change was received, in milliseconds.',
    ),
  poolMeanMilliseconds: milliseconds
    .default(1_000)
    .describe(
      "How often the gates held by this daemon receive their pool's mean load, in milliseconds.",
    ),
  loadReportMilliseconds: milliseconds
    .default(1_000)
    .describe('Time between two load reports of one runner, in milliseconds.'),
  cacheEventsMilliseconds: milliseconds
    .default(1_000)
    .describe('Time between two readings of the cache events of one runner, in milliseconds.'),
  maximumKnownChats: count
    .default(20_000)
    .describe('Chats for which one gate remembers that they are cached at its runner.'),
  maximumBufferedBytes: count
    .default(65_536)
    .describe('Bytes of one answer that wait for a slow reader.'),
  maximumResumes: z
    .number()
    .int()
    .nonnegative()
    .default(3)
    .describe('How often a gate resumes an interrupted stream on its own.'),
  orphanMilliseconds: milliseconds
    .default(5_000)
    .describe('How long a stream without a reader continues at the runner, in milliseconds.'),
  failuresUntilEjection: count
    .default(3)
    .describe('Failures in a row, without a success, after which a runner is ejected.'),
  ejectionMilliseconds: milliseconds
    .default(2_000)
    .describe('First time without work for an ejected runner, in milliseconds; doubled each time.'),
  maximumEjectionMilliseconds: milliseconds
    .default(60_000)
    .describe('Longest time without work for an ejected runner, in milliseconds.'),
  handOverTimeoutMilliseconds: milliseconds
    .default(1_000)
    .describe('Timeout of one message of a handover, in milliseconds.'),
  maximumCacheMoves: count
    .default(2)
    .describe('KV caches that one daemon moves between runners at the same time.'),
  cacheBytesPerToken: count
    .default(131_072)
    .describe('Size of the KV cache of one token, in bytes, until a transfer has measured it.'),
  cacheTransferBytesPerSecond: count
    .default(1_000_000_000)
    .describe('Rate of KV cache transfers, in bytes a second, until one has measured it.'),
  prefillTokensPerSecond: count
    .default(10_000)
    .describe('Prompt tokens a second that a runner rebuilds, until it reports its rate.'),
});

/** Settings of the gates. */
export type GatesSettings = z.output<typeof settings>;

/** Numbered events of this feature. */
export const gatesLogEvents = {
  started: defineLogEvent({
    number: 1500,
    name: 'gates.started',
    level: 'info',
    text: 'A gate started an attempt at its runner.',
    operatorAction: 'None.',
  }),
  queued: defineLogEvent({
    number: 1501,
    name: 'gates.queued',
    level: 'info',
    text: 'A gate queued an attempt for its runner.',
    operatorAction:
      'None for a few. If there are many, the pool has too few runners, or its bound is tight.',
  }),
  refused: defineLogEvent({
    number: 1502,
    name: 'gates.refused',
    level: 'info',
    text: 'A gate refused an attempt, which was not run, for the reason given.',
    operatorAction:
      'Depends on the reason: above_bound is routine; account_limit means that the account has reached its limits; queue_full and deadline_unreachable mean too few runners.',
  }),
  opened: defineLogEvent({
    number: 1510,
    name: 'gates.opened',
    level: 'info',
    text: 'This daemon holds the gate of a runner from now on.',
    operatorAction: 'None.',
  }),
  closed: defineLogEvent({
    number: 1511,
    name: 'gates.closed',
    level: 'info',
    text: 'This daemon no longer starts anything at a runner; what runs there finishes.',
    operatorAction: 'None.',
  }),
  handedOver: defineLogEvent({
    number: 1512,
    name: 'gates.handed_over',
    level: 'info',
    text: 'The work on a runner was handed over to the next holder of its gate.',
    operatorAction: 'None.',
  }),
  handOverFailed: defineLogEvent({
    number: 1513,
    name: 'gates.hand_over_failed',
    level: 'warn',
    text: 'The work on a runner could not be handed over to the next holder of its gate; that gate opens gradually.',
    operatorAction: 'None for one. If there are many, check the network links between the daemons.',
  }),
  cannotOpen: defineLogEvent({
    number: 1514,
    name: 'gates.cannot_open',
    level: 'error',
    text: 'The gate of a runner cannot be opened; the runner gets no work.',
    operatorAction: "Correct the runner's address in the platform's list: an IP number and a port.",
  }),
  runnerEjected: defineLogEvent({
    number: 1520,
    name: 'gates.runner_ejected',
    level: 'warn',
    text: 'A runner failed several times without a success and gets no work for a while.',
    operatorAction: 'Check the runner. It is retried automatically.',
  }),
  runnerReturned: defineLogEvent({
    number: 1521,
    name: 'gates.runner_returned',
    level: 'info',
    text: 'An ejected runner answered again and gets work.',
    operatorAction: 'None.',
  }),
  cacheEventsLost: defineLogEvent({
    number: 1530,
    name: 'gates.cache_events_lost',
    level: 'info',
    text: 'Cache events of a runner are missing; the chats that are most likely gone count as not cached.',
    operatorAction:
      'None for a few. Many of them lower the cache reuse; check whether the runner drops its events.',
  }),
  cacheMoved: defineLogEvent({
    number: 1540,
    name: 'gates.cache_moved',
    level: 'info',
    text: 'The KV cache of a chat was moved to another runner, because that is faster than rebuilding it.',
    operatorAction: 'None.',
  }),
  cacheMoveFailed: defineLogEvent({
    number: 1541,
    name: 'gates.cache_move_failed',
    level: 'warn',
    text: 'The KV cache of a chat could not be moved; its next prompt is rebuilt.',
    operatorAction:
      'None for one. If there are many, check whether the runners of this pool can export and import caches.',
  }),
};

/** The feature's registration. */
export const gatesFeature = defineFeature({
  name: 'gates',
  settings,
  logEvents: gatesLogEvents,
});
