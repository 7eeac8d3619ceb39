/**
 * Bounds what a daemon keeps and computes of a prompt. The first parts stay as they are. Behind them, neighbouring parts
 * are joined into segments, the longer the farther they are from the beginning, so that a prompt of thousands of parts has
 * about a hundred segments. Two prompts that begin with the same parts begin with the same segments, up to less than an
 * eighth of what they share, so that the cached beginning of a prompt is still found.
 */
import { createHash } from 'node:crypto';

import type { PromptPart } from '../capacity/capacityTypes.js';

/** Number of parts at the beginning of a prompt that are kept apart. */
const SEPARATE_PARTS = 32;

/** Number of segments in each doubling of the position, as a power of two. */
const SEGMENTS_EXPONENT = 3;

/** A list of more ids has not been divided into segments yet. */
const MAXIMUM_SEGMENTS = 128;

/** Longest id that is kept as it is, in characters; a longer one is replaced by its digest. */
const MAXIMUM_ID_LENGTH = 64;

/** Length of a digest, in characters of six bits. */
const DIGEST_LENGTH = 22;

/** Marks a digest; ids of parts do not begin with it. */
const DIGEST_MARK = '#';

/**
 * @param text - any text.
 * @returns A digest of 132 bits; equal texts have equal ones.
 */
export function shortDigest(text: string): string {
  const digest = createHash('sha256').update(text).digest('base64url');
  return `${DIGEST_MARK}${digest.slice(0, DIGEST_LENGTH)}`;
}

/**
 * @param id - id of a part or key of a prompt, of any length.
 * @returns The id itself, or its digest if it is long.
 */
export function boundedId(id: string): string {
  return id.length > MAXIMUM_ID_LENGTH ? shortDigest(id) : id;
}

function exponentBelow(count: number): number {
  return Math.floor(Math.log2(count));
}

/** Powers of two, so that a prompt that grows by some parts keeps most of its segments. */
function segmentLength(position: number, remaining: number): number {
  if (position < SEPARATE_PARTS) return 1;
  return 2 ** Math.min(exponentBelow(position) - SEGMENTS_EXPONENT, exponentBelow(remaining));
}

/** Joins the items of each segment. */
function joinSegments<Item>(
  items: readonly Item[],
  join: (segment: readonly Item[]) => Item,
): readonly Item[] {
  const joined: Item[] = [];
  for (let start = 0; start < items.length;) {
    const end = start + segmentLength(start, items.length - start);
    joined.push(join(items.slice(start, end)));
    start = end;
  }
  return joined;
}

function joinIds(ids: readonly string[]): string {
  return ids.length > 1 ? shortDigest(ids.join()) : boundedId(ids.join());
}

/**
 * @param ids - ids of the shared parts of a prompt, the outermost first.
 * @returns Ids of its segments; of a prompt of few parts, the same ids.
 */
export function segmentIds(ids: readonly string[]): readonly string[] {
  return joinSegments(ids, joinIds);
}

/**
 * @param parts - all parts of a prompt, the last of which belongs to one request or its session.
 * @returns Its segments, with the tokens of their parts, and the last part.
 */
export function segmentParts(parts: readonly PromptPart[]): readonly PromptPart[] {
  const shared = joinSegments(parts.slice(0, -1), (segment) => ({
    id: joinIds(segment.map(({ id }) => id)),
    tokens: segment.reduce((sum, { tokens }) => sum + tokens, 0),
  }));
  return [...shared, ...parts.slice(-1).map(({ id, tokens }) => ({ id: boundedId(id), tokens }))];
}

/**
 * @param ids - ids of the segments of a prompt, as another daemon names them.
 * @returns A bounded number of them; daemons of an earlier version name all parts.
 */
export function boundedSegmentIds(ids: readonly string[]): readonly string[] {
  return ids.length > MAXIMUM_SEGMENTS ? segmentIds(ids) : ids;
}

/**
 * @param parts - segments of a prompt and its last part, as another daemon names them.
 * @returns A bounded number of them.
 */
export function boundedSegmentParts(parts: readonly PromptPart[]): readonly PromptPart[] {
  return parts.length - 1 > MAXIMUM_SEGMENTS ? segmentParts(parts) : parts;
}
