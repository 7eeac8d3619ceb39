/**
 * Creates the membership decisions for replaying a recorded session.
 */
import { z } from 'zod';

import { MembershipDecisions } from './MembershipDecisions.js';
import { membershipSettings } from './membershipFeature.js';

const text = z.string();

const optionsSchema = z.strictObject({
  self: z.strictObject({
    daemonId: text,
    incarnation: z.int(),
    version: z.int(),
    state: z.literal('alive'),
    peerAddress: text,
    callerAddress: text,
    region: text,
    dataCentre: text,
    firm: text,
  }),
  seed: z.int(),
  tuning: membershipSettings.partial().optional(),
});

/**
 * @param options - `self`, `seed` and `tuning` from the session's header; `tuning` has the form of the
 *   `membership` section of a settings file.
 * @returns New decisions.
 */
export function replayedMembership(
  options: Readonly<Record<string, unknown>>,
): MembershipDecisions {
  const { self, seed, tuning } = optionsSchema.parse(options);
  return new MembershipDecisions({ self, seed, ...(tuning ? { tuning } : {}) });
}
