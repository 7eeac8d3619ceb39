/**
 * Checks that the fleet serves again after all faults.
 */
import type { SoakCallers } from '../SoakCallers.js';
import type { SoakDaemon } from '../SoakDaemon.js';
import { RECOVERY_MILLISECONDS } from '../soakBounds.js';
import type { Violations } from './Violations.js';

const OK = 200;

/** Number of requests of each kind in one round; a single one may be served by chance. */
const REQUESTS = 4;

const POLL_MILLISECONDS = 250;

const KINDS = ['read', 'order', 'chat', 'story'] as const;

const PROMISE = 'the fleet serves again';

async function servesAll(daemon: SoakDaemon, callers: SoakCallers): Promise<boolean> {
  const round = Array.from({ length: REQUESTS }, () => KINDS).flat();
  const calls = await Promise.all(round.map((kind) => callers.call(daemon, kind)));
  return calls.every(({ answer }) => answer?.status === OK && answer.isComplete);
}

async function servesAllBefore(
  daemon: SoakDaemon,
  callers: SoakCallers,
  limit: number,
): Promise<boolean> {
  while (!(await servesAll(daemon, callers))) {
    if (performance.now() > limit) return false;
    await new Promise((done) => {
      setTimeout(done, POLL_MILLISECONDS);
    });
  }
  return true;
}

/**
 * @param daemons - the daemons, which no fault affects any more.
 * @param callers - callers that send the requests.
 * @param violations - records the daemons that do not serve a complete round of requests.
 */
export async function checkRecovery(
  daemons: readonly SoakDaemon[],
  callers: SoakCallers,
  violations: Violations,
): Promise<void> {
  const limit = performance.now() + RECOVERY_MILLISECONDS;
  const lookAt = async (daemon: SoakDaemon) => {
    const told = () => `daemon-${daemon.index} does not serve after all faults`;
    violations.check(PROMISE, await servesAllBefore(daemon, callers, limit), told);
  };
  await Promise.all(daemons.map(lookAt));
}
