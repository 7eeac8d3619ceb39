/**
 * The settings and log events of chat homes; their log events have the numbers 2300 to 2399.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';

const HOUR = 60 * 60 * 1_000;

const milliseconds = (standard: number, text: string) =>
  z.int().positive().default(standard).describe(`${text}, in milliseconds.`);

const count = (standard: number, text: string) =>
  z.int().positive().default(standard).describe(`${text}.`);

/** Settings of the homes of chats. */
export const homesSettings = z.strictObject({
  maximumChats: count(36_000, 'Most chats that this daemon stores as their home'),
  maximumRunnersPerChat: count(8, 'Most runners that are stored for one chat'),
  forgetAfterMilliseconds: milliseconds(
    6 * HOUR,
    'Age after which the entry of a warm runner is no longer returned',
  ),
  askTimeoutMilliseconds: milliseconds(
    40,
    'How long a request waits for the home of its chat before it goes on without it',
  ),
  pauseAfterFailuresMilliseconds: milliseconds(
    2_000,
    'How long a home is not called after three failed calls in a row',
  ),
  tellIntervalMilliseconds: milliseconds(
    250,
    'How long changes are batched before they are sent to homes, if there are many',
  ),
  patientTellMilliseconds: milliseconds(
    60_000,
    'How long a change that is not urgent waits at most for a message to the same home',
  ),
  maximumPromptMessages: count(
    16,
    'Most messages of one interval that are sent without waiting for its end',
  ),
  maximumChangesPerInterval: count(
    256,
    'Most changes that are sent in one interval; further ones wait for the next',
  ),
  maximumQueuedChanges: count(8_192, 'Most queued changes; beyond this the oldest are dropped'),
});

/** Settings of the homes of chats, with defaults filled in. */
export type HomesSettings = z.infer<typeof homesSettings>;

/** Numbered events of the homes of chats. */
export const homesLogEvents = {
  homePaused: defineLogEvent({
    number: 2300,
    name: 'homes.paused',
    level: 'info',
    text: 'Several calls to a home failed in a row, so it is not called for a while; its chats lose cache reuse.',
    operatorAction:
      'None if the daemon is being replaced; else check its load and its network link.',
  }),
  changesDropped: defineLogEvent({
    number: 2301,
    name: 'homes.changes_dropped',
    level: 'warn',
    text: 'The queue of changes is full; the oldest were dropped, which costs only cache reuse.',
    operatorAction:
      'Look for the cause of many cache events; raise homes.maximumChangesPerInterval if the load is normal.',
  }),
};

/** The feature of the homes of chats. */
export const homesFeature = defineFeature({
  name: 'homes',
  settings: homesSettings,
  logEvents: homesLogEvents,
});
