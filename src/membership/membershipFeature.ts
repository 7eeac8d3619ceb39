/**
 * The settings and log events of membership; its log events have the numbers 1300 to 1399.
 */
import { z } from 'zod';

import { defineFeature } from '../features/Feature.js';
import { defineLogEvent } from '../logging/logEvent.js';
import type { MembershipTuning } from './membershipOptions.js';
import { DEFAULT_MEMBERSHIP_TUNING as DEFAULTS } from './membershipOptions.js';

const milliseconds = (standard: number, text: string) =>
  z.int().positive().default(standard).describe(`${text}, in milliseconds.`);

const count = (standard: number, text: string) =>
  z.int().positive().default(standard).describe(`${text}.`);

/** Settings of membership; the same on all daemons of a fleet. */
export const membershipSettings = z.strictObject({
  gossipIntervalMilliseconds: milliseconds(
    DEFAULTS.gossipIntervalMilliseconds,
    'Time between two gossip rounds; a longer interval takes fewer bytes a second and detects changes later',
  ),
  probeTimeoutMilliseconds: milliseconds(
    DEFAULTS.probeTimeoutMilliseconds,
    'Timeout of a probe, including the connection setup',
  ),
  indirectProbes: count(
    DEFAULTS.indirectProbes,
    'Daemons that are asked to make an indirect probe of one that did not answer',
  ),
  suspicionRounds: z
    .number()
    .positive()
    .default(DEFAULTS.suspicionRounds)
    .describe(
      'How long a daemon is suspect before it is declared dead, in rounds for a fleet of up to ten; grows with the ' +
        'decimal logarithm of the number of daemons.',
    ),
  shortSuspicionMilliseconds: milliseconds(
    DEFAULTS.shortSuspicionMilliseconds,
    'Suspicion timeout if the host refuses connections or the platform lists the instance as leaving',
  ),
  reviveIntervalMilliseconds: milliseconds(
    DEFAULTS.reviveIntervalMilliseconds,
    'Time between two calls that try to reach a dead daemon',
  ),
  forgetDeadAfterMilliseconds: milliseconds(
    DEFAULTS.forgetDeadAfterMilliseconds,
    'How long dead daemons are kept and called; has to be longer than a network partition between regions lasts',
  ),
  awayThresholdMilliseconds: milliseconds(
    DEFAULTS.awayThresholdMilliseconds,
    'After a longer pause of this process the daemon steps back until peers have answered',
  ),
  giveUpAfterMilliseconds: milliseconds(
    DEFAULTS.giveUpAfterMilliseconds,
    'How long a daemon waits for answers of peers, after its start or a pause, before it acts without them',
  ),
  recordsPerMessage: count(DEFAULTS.recordsPerMessage, 'Most changed records in one message'),
  recordsPerComparison: count(
    DEFAULTS.recordsPerComparison,
    'Most records in the answer to a comparison',
  ),
  newsPerMessage: count(
    DEFAULTS.newsPerMessage,
    'Most daemons whose load and revisions are in one message',
  ),
  summariesPerMessage: count(
    DEFAULTS.summariesPerMessage,
    'Most summaries of other data centres in one message',
  ),
  differencesBeforeComparison: count(
    DEFAULTS.differencesBeforeComparison,
    'Exchanges in which the hashes of the members differ before the records are compared',
  ),
  revisionFanOut: count(
    DEFAULTS.revisionFanOut,
    'Daemons of the data centre that are called at once about a new configuration or runner list',
  ),
  disputesPerRound: count(
    DEFAULTS.disputesPerRound,
    'Daemons called in one round because some daemons see them as dead and others as alive',
  ),
  urgentFanOut: count(
    DEFAULTS.urgentFanOut,
    'Daemons that are called at once when this daemon leaves or was paused',
  ),
}) satisfies z.ZodType<MembershipTuning>;

/** Settings of membership, with defaults filled in. */
export type MembershipSettings = z.infer<typeof membershipSettings>;

/** Numbered events of membership. */
export const membershipLogEvents = {
  joined: defineLogEvent({
    number: 1300,
    name: 'membership.joined',
    level: 'info',
    text: 'This daemon joined the fleet, or reached no seed in time and continues alone.',
    operatorAction: 'If members is 1 in a larger fleet, check the seeds and the peer port.',
  }),
  member: defineLogEvent({
    number: 1301,
    name: 'membership.member',
    level: 'info',
    text: 'The state of another daemon as seen here changed: joined, restarted, returned, leaving, left.',
    operatorAction: 'None.',
  }),
  suspected: defineLogEvent({
    number: 1302,
    name: 'membership.suspected',
    level: 'info',
    text: 'A daemon answered neither a direct nor an indirect probe.',
    operatorAction:
      'None; 1303 follows if it is declared dead. If one daemon logs this for many others, check its network link.',
  }),
  died: defineLogEvent({
    number: 1303,
    name: 'membership.died',
    level: 'warn',
    text: 'A daemon is declared dead; its gates and homes move to other daemons.',
    operatorAction:
      'Replace the instance if the platform does not. Many at once from one region mean that the region can not be reached.',
  }),
  refuted: defineLogEvent({
    number: 1304,
    name: 'membership.refuted',
    level: 'warn',
    text: 'Other daemons had this daemon as suspect, dead or gone, and it refuted that.',
    operatorAction:
      'None if rare. If frequent, this daemon is overloaded, or messages to it are lost.',
  }),
  steppedBack: defineLogEvent({
    number: 1305,
    name: 'membership.stepped_back',
    level: 'warn',
    text: 'This process was paused; it closes its gates and holds no lease until peers have answered.',
    operatorAction:
      'Look for a paused machine, too little memory, or CPU time taken by other machines on the host.',
  }),
  resumed: defineLogEvent({
    number: 1306,
    name: 'membership.resumed',
    level: 'info',
    text: 'This daemon acts again after a pause: peers answered, or the time limit for their answers passed.',
    operatorAction:
      'If the reason is gave_up, this daemon reaches no peer; check its network link.',
  }),
  incarnationRaised: defineLogEvent({
    number: 1307,
    name: 'membership.incarnation_raised',
    level: 'error',
    text: 'The fleet knows a newer incarnation of this daemon name: two daemons share the name, or the wall clock was set back.',
    operatorAction: 'Give each daemon a unique name; correct the clock.',
  }),
  newerRevision: defineLogEvent({
    number: 1308,
    name: 'membership.newer_revision',
    level: 'debug',
    text: 'Another daemon has a newer configuration or runner list in force.',
    operatorAction: 'None; this daemon pulls it.',
  }),
};

/** The feature of membership. */
export const membershipFeature = defineFeature({
  name: 'membership',
  settings: membershipSettings,
  logEvents: membershipLogEvents,
});
