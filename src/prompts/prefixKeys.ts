/**
 * Keys of the prefixes of a prompt. A part is cached only together with all parts before it, so that places of cached
 * prompts are kept by prefix.
 */
import { boundedId } from './promptSegments.js';

/** Keys by list of parts; each step of a choice needs them. */
const keysOfPrompts = new WeakMap<readonly string[], readonly string[]>();

function computeKeys(sharedParts: readonly string[]): readonly string[] {
  let key = '';
  return sharedParts.map((id, index) => {
    // A key holds the one before it, so the effort grows with the number of parts and not with its square.
    key = boundedId(index === 0 ? id : `${key},${id}`);
    return key;
  });
}

/**
 * @param sharedParts - ids of the shared parts of a prompt, the outermost first.
 * @returns A key of bounded length for each prefix, the shortest prefix first.
 */
export function prefixKeys(sharedParts: readonly string[]): readonly string[] {
  const known = keysOfPrompts.get(sharedParts);
  if (known) return known;
  const keys = computeKeys(sharedParts);
  keysOfPrompts.set(sharedParts, keys);
  return keys;
}

/**
 * @param sharedParts - ids of the shared parts of a prompt.
 * @returns Key of all of them together; empty if there are none.
 */
export function wholeKey(sharedParts: readonly string[]): string {
  return prefixKeys(sharedParts).at(-1) ?? '';
}
