/**
 * The entry of a runner for tests.
 */
import type { RunnerEntry } from './Runner.js';

/** The entry of a runner that accepts new work. */
export const TEST_RUNNER: RunnerEntry = {
  id: 'runner-1',
  life: 'runner-1@1',
  service: 'chat',
  host: '10.0.0.1',
  port: 8_000,
  dataCentre: 'here',
  state: 'ready',
};
