/**
 * Asks a runner which parts of prompts it has cached.
 */
import { askRunner } from './askRunner.js';
import { fetchRunnerLife } from './fetchRunnerLife.js';
import type { FetchRunnerLifeOptions } from './fetchRunnerLife.js';

/** Largest list that is read, in bytes; an entry takes some 40. */
const MAXIMUM_BYTES = 1_048_576;

/**
 * @param options - the runner, and the protocol that reads its list.
 * @param done - called once, later, with the ids of the parts; `undefined` if the runner does not answer in time, serves no
 *   list, or is another incarnation than that of its entry, of another software version perhaps.
 */
export function fetchCachedPrompts(
  { runner, protocol }: FetchRunnerLifeOptions,
  done: (parts: readonly string[] | undefined) => void,
): void {
  const question = {
    runner,
    protocol,
    path: protocol.cachedPartsPath,
    maximumBytes: MAXIMUM_BYTES,
  };
  askRunner(question, (list) => {
    const parts = list === undefined ? undefined : protocol.cachedPartsIn(list);
    if (parts === undefined || parts.length === 0) {
      done(parts);
      return;
    }
    const { id, life } = runner.entry;
    // Asked after the list: an incarnation that is there now was there then, or none that the entry could be of. A runner
    // without a start of its own never starts again under its id.
    if (life === id) done(parts);
    else fetchRunnerLife({ runner, protocol }, (now) => done(now === life ? parts : undefined));
  });
}
