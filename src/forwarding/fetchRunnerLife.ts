/**
 * Asks a runner for its report on itself, to learn which incarnation answers at its address.
 */
import type { Runner } from '../runners/Runner.js';
import { askRunner } from './askRunner.js';
import type { RunnerProtocol } from './RunnerProtocol.js';

/** Largest report that is read, in bytes. */
const MAXIMUM_BYTES = 65_536;

/** Options of {@link fetchRunnerLife}. */
export interface FetchRunnerLifeOptions {
  runner: Runner;
  protocol: RunnerProtocol;
}

/**
 * @param options - the runner, and the protocol that reads its report.
 * @param done - called once, later, with the incarnation; `undefined` if the runner does not answer in time, serves no
 *   report, is another runner, or does not say.
 */
export function fetchRunnerLife(
  { runner, protocol }: FetchRunnerLifeOptions,
  done: (life: string | undefined) => void,
): void {
  const question = { runner, protocol, path: protocol.reportPath, maximumBytes: MAXIMUM_BYTES };
  askRunner(question, (report) =>
    done(report === undefined ? undefined : protocol.lifeIn(report, runner.entry)),
  );
}
