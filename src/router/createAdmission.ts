/**
 * Creates admission control.
 */
import { AdmissionDecisions } from '../admission/AdmissionDecisions.js';
import type { AdmissionDecisionsOptions } from '../admission/AdmissionDecisions.js';
import { AdmissionTask } from '../admission/AdmissionTask.js';
import type { AdmissionTaskOptions } from '../admission/AdmissionTask.js';

/** Options of {@link createAdmission}. */
export type CreateAdmissionOptions = Pick<AdmissionTaskOptions, 'clock' | 'log' | 'registry'> &
  Pick<AdmissionDecisionsOptions, 'choice' | 'capacity' | 'deciders' | 'reportAgeMilliseconds'>;

/**
 * @param options - the choice of runners, and what is known of their capacity.
 * @returns The task that decides which requests are sent, wait or are refused.
 */
export function createAdmission({
  clock,
  log,
  registry,
  ...parts
}: CreateAdmissionOptions): AdmissionTask {
  return new AdmissionTask({ decisions: new AdmissionDecisions(parts), clock, log, registry });
}
