/**
 * Creates the decisions of one request from the options of a recorded session, for its replay.
 */
import { z } from 'zod';

import { RequestDecisions } from './RequestDecisions.js';
import { requestSettingsSchema } from './requestsFeature.js';
import { RetryBudget } from './RetryBudget.js';

const optionsSchema = z.object({ settings: requestSettingsSchema.prefault({}) });

/**
 * @param options - options from the session's header: `settings`, as in the `requests` section of
 *   a settings file.
 * @returns New decisions with their own retry budget.
 */
export function replayedRequest(options: Readonly<Record<string, unknown>>): RequestDecisions {
  const { settings } = optionsSchema.parse(options);
  const budget = new RetryBudget({ ratio: settings.retryRatio, burst: settings.retryBurst });
  return new RequestDecisions({ budget, timings: settings });
}
