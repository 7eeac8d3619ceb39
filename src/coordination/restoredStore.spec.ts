import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { TestDaemon } from './testDaemon.js';
import type { TestStoreCopy } from './testFleet.js';
import {
  HEARTBEAT_MILLISECONDS,
  SILENCE_MILLISECONDS,
  TEST_DATA_CENTRES,
  TEST_SERVICE,
  TestFleet,
} from './testFleet.js';

/** Time within which changes have to be in force, in ms. */
const BOUND_MILLISECONDS = 2_000;

/** A daemon that was cut off or has started is exempt from the bound for this long, in ms. */
const RECONNECTION_MILLISECONDS = 4_000;

const RUNNERS = 84;

/** Every seventh runner leaves, one every 300 ms: some before the copy is taken, after it, and after the restore. */
const FIRST_LEAVE = 6_000;
const BETWEEN_LEAVES = 300;
const LEAVING = 12;

const EVACUATED_AT = 8_000;
const COPIED_AT = 7_000;
const RESTORED_AT = 9_000;
const SECOND_RESTORE_AT = 9_800;
const END = 22_000;

/** Faults beside the restore: begin of cuts and of an outage, their ends, and the last start. */
const DISTURBED_AT = 7_500;
const AVAILABLE_AT = 9_500;
const CONNECTED_AT = 10_500;
const STARTED_AT = 11_000;

/** Runners of the other data centres that do not leave. */
const STAYING = (RUNNERS - LEAVING) * (1 - 1 / TEST_DATA_CENTRES.length);

/** Time after which operators have written an order again that a restore has lost, in ms. */
const EVACUATED_AGAIN = 2_500;

/** Calls that the store takes from all daemons together, a second. */
const READS_PER_SECOND = 2_000;

type Fault = 'none' | 'cuts' | 'starts' | 'twice' | 'away';

interface Play {
  readonly daemons: number;
  readonly seed: number;
  readonly fault: Fault;
}

/** A runner that leaves. */
interface Leave {
  readonly id: string;
  /** Until when any daemon may still send requests to it, monotonic ms. */
  readonly until: number;
  /** Whether the store that acknowledged it is restored only after daemons had time to learn of it, or never. */
  readonly isFinal: boolean;
}

/** When the store holds its last copy, and answers. */
function settledAt(fault: Fault): number {
  if (fault === 'twice') return SECOND_RESTORE_AT;
  return fault === 'away' ? AVAILABLE_AT : RESTORED_AT;
}

/** A leave that not all daemons know before the restore counts from the time at which the store knows it again. */
function deadlineOf(at: number, kind: 'drains' | 'ends', fault: Fault): number {
  const settled = settledAt(fault);
  if (at + BOUND_MILLISECONDS <= RESTORED_AT || at >= settled) return at + BOUND_MILLISECONDS;
  const again = kind === 'drains' ? HEARTBEAT_MILLISECONDS : SILENCE_MILLISECONDS;
  return settled + again + BOUND_MILLISECONDS;
}

/** Plays one restore among runners that leave and an evacuation. */
class RestorePlay {
  readonly faults = new Set<string>();

  /** Most reads of the store in a second after the restore. */
  busiestSecond = 0;

  private readonly fleet: TestFleet;

  private readonly leaves: Leave[] = [];

  /** Runners that each daemon has stopped to use since they left. */
  private readonly stopped = new Map<TestDaemon, Set<string>>();

  private copy: TestStoreCopy;

  private readsBefore = 0;

  constructor(private readonly play: Play) {
    const { daemons, seed } = play;
    const options = { daemons, seed, runners: RUNNERS, boundMilliseconds: BOUND_MILLISECONDS };
    this.fleet = new TestFleet(options);
    this.copy = this.fleet.copyStore();
  }

  /** Number of full reads of the store by all daemons. */
  get fullReads(): number {
    return this.fleet.daemons.reduce((sum, { reads }) => sum + reads.everything, 0);
  }

  run(): this {
    const { fleet } = this;
    while (fleet.now < END) {
      this.act();
      fleet.step();
      if (fleet.now % 1_000 === 0) this.countReads();
      for (const daemon of fleet.daemons) this.check(daemon);
    }
    return this;
  }

  private act(): void {
    const { fleet, leaves } = this;
    const { fault } = this.play;
    const { now } = fleet;
    if (leaves.length < LEAVING && now >= FIRST_LEAVE + leaves.length * BETWEEN_LEAVES) {
      const index = leaves.length * 7;
      const kind = leaves.length % 2 === 0 ? 'drains' : 'ends';
      if (kind === 'drains') fleet.drain(index);
      else fleet.remove(index);
      const isFinal = now < RESTORED_AT || now >= settledAt(fault);
      leaves.push({ id: `runner-${index}`, until: deadlineOf(now, kind, fault), isFinal });
    }
    if (now === COPIED_AT) this.copy = fleet.copyStore();
    if (now === EVACUATED_AT) fleet.evacuate('north');
    if (now === RESTORED_AT) fleet.restoreStore(this.copy);
    if (fault === 'twice' && now === SECOND_RESTORE_AT) fleet.restoreStore(this.copy);
    if (fault === 'cuts' && now === DISTURBED_AT) fleet.disconnect(0.3, CONNECTED_AT);
    if (fault === 'away' && now === DISTURBED_AT) fleet.makeStoreUnavailable(AVAILABLE_AT);
    const isStarting = now >= RESTORED_AT && now < STARTED_AT && now % 200 === 0;
    if (fault === 'starts' && isStarting) fleet.restart((now / 200) % fleet.daemons.length);
  }

  private countReads(): void {
    const { fleet } = this;
    const reads = fleet.daemons.reduce((sum, one) => sum + one.reads.changes, this.fullReads);
    if (fleet.now > RESTORED_AT)
      this.busiestSecond = Math.max(this.busiestSecond, reads - this.readsBefore);
    this.readsBefore = reads;
  }

  private check(daemon: TestDaemon): void {
    const { fleet, leaves } = this;
    const { name, knowledge, startedAt, disconnectedUntil } = daemon;
    if (Math.max(startedAt, disconnectedUntil) + RECONNECTION_MILLISECONDS > fleet.now) return;
    const ready = new Set(knowledge.runners.readyOf(TEST_SERVICE).map(({ entry }) => entry.id));
    const stopped = this.stopped.get(daemon) ?? new Set();
    this.stopped.set(daemon, stopped);
    for (const { id, until, isFinal } of leaves) {
      if (!ready.has(id)) {
        if (isFinal) stopped.add(id);
        continue;
      }
      if (stopped.has(id)) this.faults.add(`${name} uses ${id} again`);
      if (fleet.now >= until) this.faults.add(`${name} still uses ${id}`);
    }
    const isEvacuated = fleet.now >= EVACUATED_AT + BOUND_MILLISECONDS + EVACUATED_AGAIN;
    if (isEvacuated && knowledge.evacuated.join() !== 'north') this.faults.add(`${name}: north`);
    const isFew = ready.size < (2 / 3) * STAYING;
    const isWrong = fleet.now >= END - 1_000 && ready.size !== STAYING;
    if (isFew || isWrong) this.faults.add(`${name} has ${ready.size} runners at ${fleet.now}`);
  }
}

describe('a store that is restored from an older copy', () => {
  for (const fault of ['none', 'cuts', 'starts', 'twice', 'away'] as const) {
    it(`is followed by all daemons within the bound, with fault: ${fault}`, () => {
      // Guards against daemons that go on with what they knew before a restore, or take the older copy for what is true.
      for (const daemons of [9, 90, 300]) {
        for (const seed of daemons > 100 ? [1, 2] : [1, 2, 3, 4]) {
          const { faults, busiestSecond } = new RestorePlay({
            daemons,
            seed,
            fault,
          }).run();
          expect([...faults]).toEqual([]);
          expect(busiestSecond).toBeLessThan(READS_PER_SECOND);
        }
      }
    });
  }
});
