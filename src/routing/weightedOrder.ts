/**
 * Weighted rendezvous hashing: a runner with twice the accelerators comes first for twice as many chats, and a runner
 * that is added or removed still moves only its own share.
 */
import { rendezvousScorer } from './rendezvous.js';
import type { RendezvousMember } from './rendezvous.js';

/** A member with a weight. */
export interface WeightedMember extends RendezvousMember {
  /** Weight of the member; 0 counts as 1. */
  readonly accelerators: number;
}

const SCORE_RANGE = 2 ** 32;

function isBefore(
  score: number,
  id: string,
  other: { readonly member: RendezvousMember; readonly score: number },
): boolean {
  return score > other.score || (score === other.score && id < other.member.id);
}

/**
 * Returns the first members in the order for a key, which is cheaper than sorting all of them.
 *
 * @param key - the key to be placed.
 * @param members - the members, in any order.
 * @param count - maximum number of members to return.
 * @returns A new array of at most `count` members, the first in order first.
 */
export function weightedOrder<Member extends WeightedMember>(
  key: string,
  members: readonly Member[],
  count: number,
): Member[] {
  const score = rendezvousScorer(key);
  const first: { member: Member; score: number }[] = [];
  for (const member of members) {
    const weight = Math.max(1, member.accelerators);
    // The logarithm makes the shares proportional to the weights; members of equal weight keep their order.
    const weighted = weight / -Math.log((score(member.id) + 1) / (SCORE_RANGE + 1));
    const last = first.at(-1);
    if (first.length < count || !last || weighted > last.score) {
      let place = first.length;
      while (place > 0 && isBefore(weighted, member.id, first[place - 1]!)) place -= 1;
      first.splice(place, 0, { member, score: weighted });
      if (first.length > count) first.pop();
    }
  }
  return first.map(({ member }) => member);
}
