/**
 * Rendezvous hashing: all daemons that have the same list pick the same member for a key, and a member that is added
 * or removed moves only its own share of the keys (Thaler and Ravishankar, 1998).
 */
import murmurhash from 'murmurhash';

/** A member that can be ordered by the hash of its name. */
export interface RendezvousMember {
  readonly id: string;
}

/** Maximum number of cached hashes of runner and daemon names; more than a fleet has. */
const MAXIMUM_CACHED_HASHES = 16_384;

const cachedHashes = new Map<string, number>();

/**
 * Returns the hash of a member's name from a cache, because hashing a name takes µs and each request orders hundreds
 * of the same names.
 */
function hashOfMember(id: string): number {
  const cached = cachedHashes.get(id);
  if (cached !== undefined) return cached;
  if (cachedHashes.size >= MAXIMUM_CACHED_HASHES) cachedHashes.clear();
  const hash = murmurhash.v3(id);
  cachedHashes.set(id, hash);
  return hash;
}

/** Multipliers of MurmurHash3's finalizer, from Austin Appleby's description of it. */
const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;

/** The finalizer of MurmurHash3: every bit of the input changes about half of the output's. */
function mix(hash: number): number {
  let mixed = hash ^ (hash >>> 16);
  mixed = Math.imul(mixed, FIRST_MULTIPLIER);
  mixed ^= mixed >>> 13;
  mixed = Math.imul(mixed, SECOND_MULTIPLIER);
  mixed ^= mixed >>> 16;
  return mixed >>> 0;
}

/**
 * Computes a member's score for a key.
 *
 * @param key - the key to be placed, such as a chat or a runner.
 * @param id - name of the member.
 * @returns A number from 0 to 2^32 - 1; the highest score wins.
 */
export function rendezvousScore(key: string, id: string): number {
  return mix(murmurhash.v3(key) ^ hashOfMember(id));
}

/** Computes the scores of members for one fixed key. */
export type RendezvousScorer = (id: string) => number;

/**
 * Prepares the scoring of many members for one key.
 *
 * @param key - the key to be placed.
 * @returns A function with the same results as {@link rendezvousScore}.
 */
export function rendezvousScorer(key: string): RendezvousScorer {
  const seed = murmurhash.v3(key);
  return (id) => mix(seed ^ hashOfMember(id));
}

/**
 * Orders members by their scores for a key, the highest first; members with equal scores are ordered by name.
 *
 * @param key - the key to be placed.
 * @param members - the members, in any order.
 * @returns A new array.
 */
export function rendezvousOrder<Member extends RendezvousMember>(
  key: string,
  members: readonly Member[],
): Member[] {
  const score = rendezvousScorer(key);
  return members
    .map((member) => ({ member, score: score(member.id) }))
    .sort((a, b) => b.score - a.score || (a.member.id < b.member.id ? -1 : 1))
    .map(({ member }) => member);
}

/**
 * Picks the member with the highest score for a key.
 *
 * @param key - the key to be placed.
 * @param members - the members, in any order.
 * @returns The member, or `undefined` if there are none.
 */
export function rendezvousPick<Member extends RendezvousMember>(
  key: string,
  members: readonly Member[],
): Member | undefined {
  const scoreOf = rendezvousScorer(key);
  let best: Member | undefined;
  let bestScore = -1;
  for (const member of members) {
    const score = scoreOf(member.id);
    const wins = score > bestScore || (score === bestScore && best && member.id < best.id);
    if (wins) {
      best = member;
      bestScore = score;
    }
  }
  return best;
}
