/**
 * Test helper: admission control for fleets whose runners state no speed, so that no request waits.
 */
import { MemoryLog } from '../callers/testFakes.js';
import { UnknownCapacity } from '../capacity/CapacityView.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { RunnerChoice } from '../runners/RunnerChoice.js';
import type { Clock } from '../time/Clock.js';
import { AdmissionDecisions } from './AdmissionDecisions.js';
import { AdmissionTask } from './AdmissionTask.js';

/**
 * @param choice - the choice of runners.
 * @param clock - clock of the test.
 * @returns Admission control that sends each request to the chosen runner.
 */
export function admissionWithoutLimits(choice: RunnerChoice, clock: Clock): AdmissionTask {
  const decisions = new AdmissionDecisions({ choice, capacity: new UnknownCapacity() });
  return new AdmissionTask({
    decisions,
    clock,
    log: new MemoryLog(),
    registry: new MetricRegistry({ clock }),
  });
}
