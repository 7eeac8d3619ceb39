/**
 * Which faults come when, from a seed.
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
import { Kill, Pause, Reload, RollingRestart } from './processFaults.js';
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
} from './runnerFaults.js';
import { DroppedHistory, FailingStore, RestoredStore } from './storeFaults.js';

/** A fault and when it begins, in ms after the start. */
export interface PlannedFault {
  readonly at: number;
  readonly fault: Fault;
}

type FaultClass = new (draw: Draw) => Fault;

/** A class that stands twice comes twice as often. */
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

/** A quiet beginning, in which every caller is served; in ms. */
const FIRST_MILLISECONDS = 1_000;

/** The streams of the filled link are whole by then; in ms. */
const LOST_ANSWERS_MILLISECONDS = 5_000;

/** The first filled link is over by then; others come on top of each other, in ms. */
const SERIES_MILLISECONDS = 6_000;

/** Time from one series to the next, in ms. */
const PAUSES: readonly [number, number] = [500, 4_000];

/** Time from one fault of a series to the next, in ms. */
const STEPS: readonly [number, number] = [0, 700];

const LONGEST_SERIES = 4;

/** Time from one of these faults to the next, in ms: each takes runners away for a while. */
const STATEMENT_PAUSES: readonly [number, number] = [3_000, 9_000];

/** Time from one evacuation to the next, in ms. */
const EVACUATION_PAUSES: readonly [number, number] = [4_000, 12_000];

/** Time from one restore of the store to the next, in ms: some come while the one before is still being followed. */
const RESTORE_PAUSES: readonly [number, number] = [1_000, 9_000];

/** Time from one loss of paths to the next, in ms: some overlap. */
const PATH_PAUSES: readonly [number, number] = [4_000, 12_000];

/** Time from one surge before brittle runners to the next, in ms. */
const SURGE_PAUSES: readonly [number, number] = [7_000, 15_000];

/** Time from one part that crashes runners to the next, in ms: some overlap. */
const PART_PAUSES: readonly [number, number] = [5_000, 14_000];

/** Plans faults of one kind, one after the other. */
function planSeparately(
  draw: Draw,
  seconds: number,
  pauses: readonly [number, number],
  create: () => Fault,
): PlannedFault[] {
  const plan: PlannedFault[] = [];
  let at = SERIES_MILLISECONDS;
  while (at < seconds * 1_000) {
    plan.push({ at, fault: create() });
    at += draw.between(...pauses);
  }
  return plan;
}

/**
 * @param draw - gives everything.
 * @param seconds - in which faults begin.
 * @returns A filled link that nothing else troubles, lost answers, then faults in series.
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
  // Each kind is drawn after the ones before it, whose faults stay the same for a seed.
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
