/**
 * Creates the parts by which a daemon chooses a runner for each request.
 */
import type { AdmissionTask } from '../admission/AdmissionTask.js';
import type { CapacityView } from '../capacity/CapacityView.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import type { Log } from '../logging/Log.js';
import { ColdRunnerOwners } from '../coordination/ColdRunnerOwners.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import { BrittleRunners } from '../runners/BrittleRunners.js';
import { ColdStarts } from '../runners/ColdStarts.js';
import { RunnerAdmission } from '../runners/RunnerAdmission.js';
import { RunnerChoice } from '../runners/RunnerChoice.js';
import type { Runner } from '../runners/Runner.js';
import type { RunnerChoiceOptions } from '../runners/RunnerChoice.js';
import { DataCentreSpill } from '../spill/DataCentreSpill.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { Clock } from '../time/Clock.js';
import { createAdmission } from './createAdmission.js';
import { regionOfDataCentre } from './routerFeature.js';
import type { RouterSettings } from './routerFeature.js';

/** Options of {@link createRunnerChoice}. */
export interface CreateRunnerChoiceOptions extends Pick<
  RunnerChoiceOptions,
  'warmPlaces' | 'foreignLoad' | 'onWarmPlace'
> {
  settings: RouterSettings;
  knowledge: FleetKnowledge;
  clock: Clock;
  /** Names of the daemons that choose runners for the others; in a small fleet, of all daemons. */
  deciders: () => readonly string[];
  /** Names of all daemons that may send requests to runners, including this one. */
  daemons: () => readonly string[];
  /** Names of those of them that have not said that they reach no runner. */
  daemonsWithPath: () => readonly string[];
  /** Whether this daemon has reached runners for a while. */
  isPathSettled: (now: number) => boolean;
  /** Whether this daemon hears the loads of all others. */
  hearsLoads: () => boolean;
  /** Called when a brittle runner has rejected a request. */
  onRejected: (runner: Runner) => void;
  /** Whether a stream may begin at a runner that callers may take up elsewhere. */
  mayBeginAt: (runner: Runner) => boolean;
  /** Returns the mean age of what other daemons have reported, in ms. */
  reportAgeMilliseconds: () => number;
  capacity: CapacityView;
  registry: MetricRegistry;
  log: Log;
}

/** What decides where requests go. */
export interface RunnerChoiceParts {
  admission: RunnerAdmission;
  choice: RunnerChoice;
  admissionTask: AdmissionTask;
}

/**
 * @param options - the settings, and the parts of the daemon that the choice depends on.
 * @returns The admission rule for runners, the choice among those that it admits, and admission control for requests.
 */
export function createRunnerChoice({
  settings,
  knowledge,
  clock,
  deciders,
  daemons,
  daemonsWithPath,
  isPathSettled,
  hearsLoads,
  onRejected,
  mayBeginAt,
  reportAgeMilliseconds,
  registry,
  log,
  ...parts
}: CreateRunnerChoiceOptions): RunnerChoiceParts {
  const { name: daemon, dataCentre } = settings;
  const sharedMilliseconds = settings.retryBudget.windowSeconds * 1_000;
  const regionOf = (place: string) => regionOfDataCentre(settings, place);
  const owners = new ColdRunnerOwners({ daemon, clock, deciders });
  const coldStarts = new ColdStarts({
    rateOf: (service) => knowledge.routes?.serviceOf(service)?.coldRequestsPerSecond,
    ownershipOf: (life) => owners.ownershipOf(life),
    daemons: () =>
      knowledge.daemonsSharingLimits(sharedMilliseconds, clock.monotonicMilliseconds()),
  });
  const { runners } = knowledge;
  const { foreignLoad = () => 0 } = parts;
  const brittleRunners = new BrittleRunners({
    daemon,
    daemons,
    daemonsWithPath,
    isPathSettled,
    onRejected,
    runnersOf: (service) => runners.readyOf(service),
    foreignLoad: (life) => (hearsLoads() ? foreignLoad(life) : undefined),
    onBrittle: (service, limit) =>
      log.write(forwardingLogEvents.brittleRunners, { service, limit }),
  });
  const admission = new RunnerAdmission({ coldStarts, brittleRunners, regionOf, mayBeginAt });
  const { spill: spillSettings } = settings;
  const { capacity } = parts;
  const spill = new DataCentreSpill({
    ...{ dataCentre, runners, capacity, log, registry },
    settings: spillSettings,
  });
  const choice = new RunnerChoice({ runners, admission, dataCentre, spill, ...parts });
  const admissionTask = createAdmission({
    ...{ choice, clock, log, registry, capacity },
    // A coordinator is responsible for all plain requests of a service; prompts are divided among coordinators.
    deciders: ({ length }) => {
      const all = deciders().length;
      return length === 0 && all < daemons().length ? 1 : all;
    },
    reportAgeMilliseconds: () => (daemons().length > 1 ? reportAgeMilliseconds() : 0),
  });
  return { admission, choice, admissionTask };
}
