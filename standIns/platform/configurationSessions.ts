/**
 * Complete sequences of configuration changes in virtual time, as recorded in `golden/configuration-*.jsonl`.
 *
 * `node --import tsx standIns/platform/recordConfigurationSessions.ts` writes the files anew.
 */
import { FollowingFleet } from './FollowingFleet.js';
import { policyEdit } from './sampleConfiguration.js';

/** A sequence as one daemon experienced it. */
export interface RecordedSession {
  readonly name: string;
  /** The first line of the file and then one line for each step. */
  readonly lines: readonly string[];
}

const SETTLE_MILLISECONDS = 4000;

function place(region: string, dataCentre: string) {
  return { region, dataCentre };
}

function record(
  name: string,
  title: string,
  fleet: FollowingFleet,
  index: number,
): RecordedSession {
  const daemon = fleet.daemon(index);
  const options = { self: daemon.self, seed: daemon.seed };
  const header = { feature: 'configuration', title, options };
  return { name, lines: [header, ...daemon.steps].map((line) => JSON.stringify(line)) };
}

function change(
  fleet: FollowingFleet,
  index: number,
  changeId: string,
  bound: number,
  saw: number,
) {
  const edits = [policyEdit('warm', bound, saw)];
  return fleet
    .editor(index)
    .change({ changeId, author: `operator-${index + 1}`, comment: '', edits });
}

/** @returns Two operators change one policy at once; the daemon of the one who loses. */
export async function operatorRace(): Promise<RecordedSession> {
  const fleet = new FollowingFleet({ places: [place('rosario', 'r1'), place('rosario', 'r2')] });
  await fleet.pass(SETTLE_MILLISECONDS);
  await change(fleet, 0, 'create', 1.25, 0);
  await fleet.pass(SETTLE_MILLISECONDS);
  const outcomes = await Promise.all([
    change(fleet, 0, 'first', 1.3, 1),
    change(fleet, 1, 'second', 1.4, 1),
  ]);
  await fleet.pass(SETTLE_MILLISECONDS);
  const loser = outcomes.findIndex(({ kind }) => kind === 'conflict');
  return record('operator-race', 'Two operators change one policy; this daemon lost', fleet, loser);
}

/** @returns The platform goes down after a change; a daemon starts cold and takes it from its peers. */
export async function outageWithColdStart(): Promise<RecordedSession> {
  const fleet = new FollowingFleet({ places: Array(3).fill(place('sofia', 's1')) });
  await fleet.pass(SETTLE_MILLISECONDS);
  await change(fleet, 0, 'create', 1.25, 0);
  await change(fleet, 0, 'raise', 1.3, 1);
  fleet.store.faults.set({ outage: true });
  fleet.start(2);
  await fleet.pass(2 * SETTLE_MILLISECONDS);
  fleet.store.faults.set({ outage: false });
  await fleet.pass(2 * SETTLE_MILLISECONDS);
  const title = 'A cold start while the platform is down';
  return record('outage-cold-start', title, fleet, 2);
}

/** @returns A region is cut off with a platform that shows old data; a daemon there starts cold. */
export async function regionCut(): Promise<RecordedSession> {
  const places = [place('rosario', 'r1'), place('sofia', 's1'), place('sofia', 's1')];
  const fleet = new FollowingFleet({ places });
  await fleet.pass(SETTLE_MILLISECONDS);
  await change(fleet, 0, 'create', 1.25, 0);
  const oldDataRevision = fleet.store.state.revision;
  await change(fleet, 0, 'raise', 1.3, 1);
  await fleet.pass(SETTLE_MILLISECONDS);
  fleet.cut('sofia', true);
  fleet.store.faults.set({ oldDataRevision });
  fleet.start(2);
  await fleet.pass(2 * SETTLE_MILLISECONDS);
  fleet.cut('sofia', false);
  fleet.store.faults.set({ oldDataRevision: undefined });
  await fleet.pass(SETTLE_MILLISECONDS);
  const title = 'A cold start in a region that is cut off, with old data at the platform';
  return record('region-cut', title, fleet, 2);
}

/** All sequences. */
export const CONFIGURATION_SESSIONS = [operatorRace, outageWithColdStart, regionCut] as const;
