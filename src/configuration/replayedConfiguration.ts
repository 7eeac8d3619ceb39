/**
 * Creates the configuration's decisions for the replay of a recorded session.
 */
import { z } from 'zod';

import { ConfigurationDecisions } from './ConfigurationDecisions.js';
import { seededRandom } from '../random/seededRandom.js';

const optionsSchema = z.strictObject({
  self: z.strictObject({ daemonId: z.string(), region: z.string(), dataCentre: z.string() }),
  seed: z.int(),
  watchersPerDataCentre: z.int().min(1).optional(),
});

/**
 * Creates decisions from the options in a session's header.
 *
 * @param options - the daemon's location, the random seed, and the number of watchers.
 * @returns The decisions in their initial state.
 */
export function replayedConfiguration(
  options: Readonly<Record<string, unknown>>,
): ConfigurationDecisions {
  const { self, seed, watchersPerDataCentre } = optionsSchema.parse(options);
  return new ConfigurationDecisions({
    self,
    random: seededRandom(seed),
    ...(watchersPerDataCentre && { watchersPerDataCentre }),
  });
}
