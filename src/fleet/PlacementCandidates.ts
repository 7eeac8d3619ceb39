/**
 * Lists the daemons that may hold the gate of a runner or the home of a chat, by data centre and region.
 */
import type { Member } from '../generated/baobabdock/v1/peers_pb.js';
import { rendezvousPick } from '../routing/rendezvous.js';

interface Candidate {
  readonly id: string;
}

/**
 * States in which a daemon holds gates and homes.
 *
 * Suspect daemons are included. Otherwise each false suspicion would move a daemon's gates for seconds while the daemon
 * itself still uses them, so that two daemons would load the same runners above the bound. The cost of including them is
 * small: if the daemon is in fact dead, calls to it fail at once without running anything, for the few seconds until it is
 * declared dead, and the entry daemons choose another runner. Leaving daemons are excluded, so that their gates are handed
 * over before they stop.
 */
const ELIGIBLE_STATES: ReadonlySet<string> = new Set(['alive', 'suspect']);

/** Holds the eligible daemons by location; rebuilt when a daemon comes, goes or moves. */
export class PlacementCandidates {
  private readonly byDataCentre = new Map<string, Candidate[]>();

  private readonly byRegion = new Map<string, Candidate[]>();

  private readonly all: Candidate[] = [];

  /**
   * @param members - all known daemons.
   */
  constructor(members: Iterable<Member>) {
    for (const { daemonId, state, region, dataCentre } of members) {
      if (!ELIGIBLE_STATES.has(state)) continue;
      const candidate = { id: daemonId };
      this.all.push(candidate);
      PlacementCandidates.append(this.byRegion, region, candidate);
      PlacementCandidates.append(this.byDataCentre, `${region}\n${dataCentre}`, candidate);
    }
  }

  /**
   * Picks the daemon for a key by rendezvous hashing among those of the data centre, else of the region, else of all.
   *
   * @param key - name of the runner or chat to place.
   * @param region - the region's name.
   * @param dataCentre - the data centre's name; without it, the search starts with the region.
   * @returns The daemon's name, or `undefined` when no daemon is eligible.
   */
  pick(key: string, region: string, dataCentre?: string): string | undefined {
    const candidates =
      this.byDataCentre.get(`${region}\n${dataCentre ?? ''}`) ??
      this.byRegion.get(region) ??
      this.all;
    return rendezvousPick(key, candidates)?.id;
  }

  private static append(lists: Map<string, Candidate[]>, key: string, candidate: Candidate): void {
    const list = lists.get(key);
    if (list) list.push(candidate);
    else lists.set(key, [candidate]);
  }
}
