/**
 * Plans which faults start when, from a seed.
 */
import { ConfigurationSeries } from './ConfigurationSeries.js';
import type { Draw, Fault } from './Fault.js';
import {
  FilledLink,
  LinkReset,
  LostPath,
  OneWayCut,
  SilencedLink,
  SlowLink,
} from './linkFaults.js';
import { Kill, LossOfAll, Pause, Reload, RollingRestart } from './processFaults.js';
import {
  BrittleRunnersInSurge,
  EvacuatedPlace,
  FailingRunner,
  LostAnswers,
  FatalPart,
  FatalRequest,
  RunnerCrash,
  RunnerLeaves,
  RunnerRestart,
  RunnerSaysItLeaves,
  SoftwareSuccession,
} from './runnerFaults.js';
import {
  DroppedHistory,
  FailingStore,
  LossBesideOlderCopy,
  LostWrites,
  RefusedWrites,
  RestoredStore,
} from './storeFaults.js';

/** A fault and when it starts, in ms since the start of the soak. */
export interface PlannedFault {
  readonly at: number;
  readonly fault: Fault;
}

type FaultClass = new (draw: Draw) => Fault;

/** Classes of faults; one that is listed twice is drawn twice as often. */
const CLASSES: readonly FaultClass[] = [
  FilledLink,
  SlowLink,
  SlowLink,
  LinkReset,
  SilencedLink,
  OneWayCut,
  RollingRestart,
  RollingRestart,
  Kill,
  Pause,
  Pause,
  Reload,
  FailingStore,
  FailingStore,
  DroppedHistory,
  FailingRunner,
  FailingRunner,
  LostAnswers,
  RunnerCrash,
  RunnerRestart,
  RunnerLeaves,
  ConfigurationSeries,
  ConfigurationSeries,
  ConfigurationSeries,
];

/** Time until the first fault, in ms; until then every caller is served. */
const FIRST_MILLISECONDS = 1_000;

/** Time until answers are lost, in ms; the streams through the filled link are complete by then. */
const LOST_ANSWERS_MILLISECONDS = 5_000;

/** Time until the series of overlapping faults, in ms; the filled link has recovered by then. */
const SERIES_MILLISECONDS = 6_000;

/** Bounds of the time from one series to the next, in ms. */
const PAUSES: readonly [number, number] = [500, 4_000];

/** Bounds of the time from one fault of a series to the next, in ms. */
const STEPS: readonly [number, number] = [0, 700];

const LONGEST_SERIES = 4;

/** Bounds of the time from one fatal request or announced leave to the next, in ms; each removes runners for a while. */
const STATEMENT_PAUSES: readonly [number, number] = [3_000, 9_000];

/** Bounds of the time from one evacuation to the next, in ms. */
const EVACUATION_PAUSES: readonly [number, number] = [4_000, 12_000];

/** Bounds of the time from one restore of the store to the next, in ms; some overlap. */
const RESTORE_PAUSES: readonly [number, number] = [1_000, 9_000];

/** Bounds of the time from one loss of paths to the next, in ms; some overlap. */
const PATH_PAUSES: readonly [number, number] = [4_000, 12_000];

/** Bounds of the time from one load spike at brittle runners to the next, in ms. */
const SURGE_PAUSES: readonly [number, number] = [7_000, 15_000];

/** Bounds of the time from one fatal prompt part to the next, in ms; some overlap. */
const PART_PAUSES: readonly [number, number] = [5_000, 14_000];

/** Time until the first loss of all daemons, in ms; streams of both versions are in progress by then. */
const LOSS_MILLISECONDS = 3_000;

/** Bounds of the time from one loss of all daemons to the next, in ms; streams are taken up again in between. */
const LOSS_PAUSES: readonly [number, number] = [7_000, 10_000];

/** Time until the first release beside losses of all daemons, in ms. */
const RELEASE_MILLISECONDS = 1_500;

/** Bounds of the time from one release to the next, in ms. */
const RELEASE_PAUSES: readonly [number, number] = [1_000, 3_000];

/** Share of the losses of all daemons at which the store comes back from an older copy. */
const OLDER_COPY_SHARE = 0.5;

/** Bounds of the time from a loss of all daemons to the series of failing writes beside it, in ms. */
const WRITES_STARTS: readonly [number, number] = [-2_500, 300];

const LONGEST_WRITES_SERIES = 3;

/** Bounds of the time from one failure of writes to the next in its series, in ms. */
const WRITES_STEPS: readonly [number, number] = [0, 1_000];

/** Time until the first succession of software versions, in ms. */
const SUCCESSION_MILLISECONDS = 2_000;

/** Bounds of the time from one succession to the next, in ms; the runners of the version before have ended by then. */
const SUCCESSION_PAUSES: readonly [number, number] = [9_000, 14_000];

/** Plans faults of one kind, independently of other kinds. */
function planSeparately(
  draw: Draw,
  seconds: number,
  pauses: readonly [number, number],
  create: () => Fault,
  first = SERIES_MILLISECONDS,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let at = first;
  while (at < seconds * 1_000) {
    plan.push({ at, fault: create() });
    at += draw.between(...pauses);
  }
  return plan;
}

/**
 * @param draw - random choices.
 * @param seconds - duration in which faults start.
 * @returns A filled link on its own, lost answers, then series of faults.
 */
export function planFaults(draw: Draw, seconds: number): PlannedFault[] {
  const plan: PlannedFault[] = [
    { at: FIRST_MILLISECONDS, fault: new FilledLink(draw) },
    { at: LOST_ANSWERS_MILLISECONDS, fault: new LostAnswers(draw) },
  ];
  let at = SERIES_MILLISECONDS;
  while (at < seconds * 1_000) {
    for (let left = draw.between(1, LONGEST_SERIES); left > 0; left -= 1) {
      plan.push({ at, fault: new (draw.one(CLASSES))(draw) });
      at += draw.between(...STEPS);
    }
    at += draw.between(...PAUSES);
  }
  // A new kind is drawn last, so that the faults of the kinds before it stay the same for each seed.
  const statement = () => new (draw.one([FatalRequest, RunnerSaysItLeaves]))(draw);
  const statements = planSeparately(draw, seconds, STATEMENT_PAUSES, statement);
  const evacuation = () => new EvacuatedPlace(draw);
  const evacuations = planSeparately(draw, seconds, EVACUATION_PAUSES, evacuation);
  const restore = () => new RestoredStore(draw);
  const restores = planSeparately(draw, seconds, RESTORE_PAUSES, restore);
  const paths = planSeparately(draw, seconds, PATH_PAUSES, () => new LostPath(draw));
  const surge = () => new BrittleRunnersInSurge(draw);
  const surges = planSeparately(draw, seconds, SURGE_PAUSES, surge);
  const parts = planSeparately(draw, seconds, PART_PAUSES, () => new FatalPart(draw));
  return [...plan, ...statements, ...evacuations, ...restores, ...paths, ...surges, ...parts];
}

/** A series ends soon after the loss, so that daemons are in touch when streams are taken up. */
function planFailingWrites(draw: Draw, loss: PlannedFault): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let at = loss.at + draw.between(...WRITES_STARTS);
  for (let left = draw.between(1, LONGEST_WRITES_SERIES); left > 0; left -= 1) {
    plan.push({ at, fault: new (draw.one([RefusedWrites, LostWrites]))(draw) });
    at += draw.between(...WRITES_STEPS);
  }
  return plan;
}

/** Takes the copy before the loss, which stays at its time. */
function besideOlderCopy(draw: Draw, loss: PlannedFault): PlannedFault {
  if (draw.random() >= OLDER_COPY_SHARE) return loss;
  const fault = new LossBesideOlderCopy(draw);
  return { at: loss.at - fault.ageMilliseconds, fault };
}

/**
 * @param draw - random choices.
 * @param seconds - duration in which faults start.
 * @returns Losses of all daemons beside releases of runners, failing writes and older copies of the store.
 */
export function planLosses(draw: Draw, seconds: number): PlannedFault[] {
  const loss = () => new LossOfAll(draw);
  const release = () => new (draw.one([RunnerLeaves, RunnerRestart]))(draw);
  const succession = () => new SoftwareSuccession(draw);
  const losses = planSeparately(draw, seconds, LOSS_PAUSES, loss, LOSS_MILLISECONDS);
  const releases = planSeparately(draw, seconds, RELEASE_PAUSES, release, RELEASE_MILLISECONDS);
  const writes = losses.flatMap((one) => planFailingWrites(draw, one));
  const beside = losses.map((one) => besideOlderCopy(draw, one));
  const [pauses, first] = [SUCCESSION_PAUSES, SUCCESSION_MILLISECONDS];
  const successions = planSeparately(draw, seconds, pauses, succession, first);
  return [...beside, ...releases, ...writes, ...successions];
}
