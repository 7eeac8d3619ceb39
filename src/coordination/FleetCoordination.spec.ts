import { afterEach, beforeEach, describe, it, mock } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { LivenessPeers } from '../liveness/LivenessPeers.js';
import { admissionWithoutLimits } from '../admission/testAdmission.js';
import { UnknownCapacity } from '../capacity/CapacityView.js';
import { livenessLogEvents } from '../liveness/livenessFeature.js';
import type { LivenessOpinions, ProbeResult } from '../liveness/livenessTypes.js';
import { FleetSocket } from '../news/FleetSocket.js';
import { RunnerAdmission } from '../runners/RunnerAdmission.js';
import { RunnerChoice } from '../runners/RunnerChoice.js';
import { WarmPlaces } from '../runners/WarmPlaces.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { DaemonEntry, FleetStore } from '../sync/FleetStore.js';
import { createTestKnowledge } from '../sync/testKnowledge.js';
import { ManualClock } from '../time/ManualClock.js';
import { coordinatorsOf } from './daemonRoles.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { RestartDoubts } from '../streamVersions/RestartDoubts.js';
import { FleetCoordination } from './FleetCoordination.js';
import { GrantLedger } from './GrantLedger.js';

const STEP_MILLISECONDS = 100;

/** Time within which a dead daemon has to be detected, in ms. */
const DETECTION_MILLISECONDS = 3_000;

const LONGEST_PAUSE_MILLISECONDS = 1_000;

/** Time after which a daemon that left the list no longer counts among those that send, in ms. */
const DEPARTED_MILLISECONDS = 10_000;

/** Other daemons: the dead ones refuse probes, and the others answer them and report the dead ones as unresponsive. */
class ScriptedPeers extends LivenessPeers {
  readonly dead = new Set<string>();

  override probe(name: string): Promise<ProbeResult> {
    return Promise.resolve({ outcome: this.dead.has(name) ? 'refused' : 'answered' });
  }

  override ask(_address: string, names: readonly string[]): Promise<LivenessOpinions> {
    const opinionOn = (name: string) => (this.dead.has(name) ? ('silent' as const) : 0);
    return Promise.resolve(Object.fromEntries(names.map((name) => [name, opinionOn(name)])));
  }
}

function daemonOf(index: number): DaemonEntry {
  const address = `10.0.0.${index + 1}:7000`;
  const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
  return { name: `daemon-${String(index).padStart(2, '0')}`, dataCentre: 'here', ...addresses };
}

describe(FleetCoordination.name, () => {
  // Guards against using the store's list of daemons as the list of those that are alive, as the directory did. Once a
  // daemon has died, nothing does the first daemon's work for all, requests wait for a coordinator that is gone, and a
  // daemon asks dead ones during an outage of the store.
  let clock: ManualClock;
  let log: MemoryLog;
  let peers: ScriptedPeers;
  let knowledge: FleetKnowledge;

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    clock = new ManualClock();
    log = new MemoryLog();
    const never = () => ({});
    peers = new ScriptedPeers({
      daemon: 'daemon-02',
      isLeaving: () => false,
      opinionsOn: never,
      unresponsiveHashes: () => undefined,
    });
  });

  afterEach(() => mock.timers.reset());

  function start(size: number): FleetCoordination {
    ({ knowledge } = createTestKnowledge());
    const daemons = Array.from({ length: size }, (_, index) => daemonOf(index));
    const facts = daemons.map((daemon) => ({ kind: 'daemon', daemon }) as const);
    const secret = { kind: 'secret', secret: 'of the fleet' } as const;
    knowledge.applyFullRead({ revision: 1, facts: [...facts, secret] }, 0);
    const { runners } = knowledge;
    const choice = new RunnerChoice({ runners, dataCentre: 'here', warmPlaces: new WarmPlaces() });
    const options = {
      daemon: daemonOf(2),
      knowledge,
      admission: new RunnerAdmission(),
      choice,
      admissionTask: admissionWithoutLimits(choice, clock),
      capacity: new UnknownCapacity(),
      grants: new GrantLedger(),
      store: {} as FleetStore,
      clock,
      log,
      doubts: new RestartDoubts({
        ...{ runners: knowledge.runners, clock, log, registry: new MetricRegistry({ clock }) },
        listConfirmedAt: () => clock.monotonicMilliseconds(),
        fetchLife: () => undefined,
      }),
      readMilliseconds: 800,
      readStore: () => undefined,
      fetchConfiguration: () => Promise.reject(new Error('no test daemon has a configuration')),
      isLeaving: () => false,
      livenessPeers: peers,
      connections: { release: () => undefined },
      longestPauseMilliseconds: () => LONGEST_PAUSE_MILLISECONDS,
    };
    const coordination = new FleetCoordination(
      options,
      new FleetSocket({ log, secret: () => undefined }),
    );
    coordination.liveness.start();
    return coordination;
  }

  async function pass(milliseconds: number): Promise<void> {
    for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
      clock.advance(STEP_MILLISECONDS);
      mock.timers.tick(STEP_MILLISECONDS);
      // Lets the answers of the scripted peers arrive within the step.
      for (let turn = 0; turn < 5; turn += 1) await Promise.resolve();
    }
  }

  it('lets the next daemon act for the fleet when the first one has died', async () => {
    const coordination = start(5);
    peers.dead.add('daemon-00').add('daemon-01');
    expect(coordination.isFirst).toEqual(false);
    await pass(DETECTION_MILLISECONDS);
    expect(coordination.isFirst).toEqual(true);
    expect(coordination.namesOfChoosingDaemons()).toEqual(['daemon-02', 'daemon-03', 'daemon-04']);
    expect(log.fieldsOf(livenessLogEvents.daemonsOut).flatMap(({ daemons }) => daemons)).toEqual([
      'daemon-00',
      'daemon-01',
    ]);
  });

  // Guards against brittle runners that are overrun because each busy daemon divides their slots among those it hears.
  it('counts unresponsive daemons, and those that left the list lately, among those that send', async () => {
    const coordination = start(5);
    const all = ['daemon-02', 'daemon-00', 'daemon-01', 'daemon-03', 'daemon-04'];
    for (const index of [0, 1, 3, 4]) peers.dead.add(`daemon-0${index}`);
    await pass(DETECTION_MILLISECONDS);
    expect(coordination.otherAvailableDaemons()).toEqual([]);
    expect(coordination.namesOfSendingDaemons()).toEqual(all);
    const fact = { kind: 'daemon_gone', name: 'daemon-04' } as const;
    knowledge.applyChanges({ revision: 2, facts: [fact] }, clock.monotonicMilliseconds());
    expect(coordination.namesOfSendingDaemons()).toEqual(all);
    await pass(DEPARTED_MILLISECONDS);
    expect(coordination.namesOfSendingDaemons()).toEqual(all.slice(0, -1));
    coordination.pathReports.record('daemon-00', true, clock.monotonicMilliseconds() - 1_000);
    coordination.pathReports.record('daemon-00', true, clock.monotonicMilliseconds());
    expect(coordination.namesOfSendingDaemons()).toEqual(all.slice(0, -1));
    expect(coordination.namesOfDaemonsWithPath()).toEqual(['daemon-02', 'daemon-01', 'daemon-03']);
  });

  it('asks only live daemons, and sends load reports to unresponsive ones too', async () => {
    const coordination = start(5);
    peers.dead.add('daemon-04');
    await pass(DETECTION_MILLISECONDS);
    const names = ['daemon-00', 'daemon-01', 'daemon-03'];
    expect(coordination.otherAvailableDaemons().map(({ name }) => name)).toEqual(names);
    expect(coordination.reportRecipients().length).toEqual(4);
  });

  it('replaces a dead coordinator by the next daemon in order, and reinstates it when it is back', async () => {
    const coordination = start(20);
    const before = coordination.coordinators.map(({ name }) => name);
    const [first] = before.filter((name) => name !== 'daemon-02');
    peers.dead.add(first ?? '');
    await pass(DETECTION_MILLISECONDS);
    const isDead = (name: string) => peers.dead.has(name);
    const daemons = Array.from({ length: 20 }, (_, index) => daemonOf(index));
    const expected = coordinatorsOf(daemons, isDead).map(({ name }) => name);
    expect(coordination.coordinators.map(({ name }) => name)).toEqual(expected);
    expect(expected.length).toEqual(before.length);
    peers.dead.clear();
    await pass(DETECTION_MILLISECONDS);
    expect(coordination.coordinators.map(({ name }) => name)).toEqual(before);
    expect(log.fieldsOf(livenessLogEvents.daemonsBack).length).toEqual(1);
  });
});
