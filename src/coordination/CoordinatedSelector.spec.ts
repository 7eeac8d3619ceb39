import { afterEach, beforeEach, describe, it, mock } from 'node:test';

import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import {
  AdmissionVerdict,
  RunnerAnswerSchema,
  RunnerQuestionSchema,
} from '../generated/baobabdock/v1/news_pb.js';
import type { RunnerQuestion, MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import { FleetSocket } from '../news/FleetSocket.js';
import type { MessageHandler } from '../news/FleetSocket.js';
import type { Choice, ChoiceQuestion } from '../runners/RunnerChoice.js';
import type { SelectionRefusal } from '../runners/RunnerSelector.js';
import { admissionLogEvents } from '../admission/admissionFeature.js';
import { admissionWithoutLimits } from '../admission/testAdmission.js';
import { UnknownCapacity } from '../capacity/CapacityView.js';
import { ColdStarts } from '../runners/ColdStarts.js';
import { RunnerAdmission } from '../runners/RunnerAdmission.js';
import { RunnerChoice } from '../runners/RunnerChoice.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { WarmPlaces } from '../runners/WarmPlaces.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { ManualClock } from '../time/ManualClock.js';
import { CoordinatedSelector } from './CoordinatedSelector.js';
import { coordinationLogEvents } from './coordinationFeature.js';

function daemonOf(name: string): DaemonEntry {
  const address = '127.0.0.1:7000';
  const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
  return { name, dataCentre: 'here', ...addresses };
}

/** Keeps the questions that are sent, and delivers answers on demand. */
class ScriptedSocket extends FleetSocket {
  readonly questions: RunnerQuestion[] = [];

  private handler: MessageHandler = () => undefined;

  override handle(_kind: MessageKind, handler: MessageHandler): void {
    this.handler = handler;
  }

  override send(_kind: MessageKind, message: Uint8Array): void {
    this.questions.push(fromBinary(RunnerQuestionSchema, message));
  }

  answer(number: number, life: string, grant = 1, isCold = false): void {
    this.reply({ number, life, grant, isCold, reason: 'warm' });
  }

  reply(fields: MessageInitShape<typeof RunnerAnswerSchema>): void {
    const answer = create(RunnerAnswerSchema, { coordinator: 'coordinator', ...fields });
    this.handler(toBinary(RunnerAnswerSchema, answer));
  }
}

describe(CoordinatedSelector.name, () => {
  let socket: ScriptedSocket;
  let runners: RunnerTable;
  let log: MemoryLog;
  let selector: CoordinatedSelector;
  let coordinators: DaemonEntry[];
  let clock: ManualClock;
  let held: ReadonlySet<string>;

  beforeEach(() => {
    log = new MemoryLog();
    socket = new ScriptedSocket({ log, secret: () => 'secret' });
    runners = new RunnerTable();
    for (const id of ['runner-1', 'runner-2']) {
      const place = { host: '127.0.0.1', port: 80, dataCentre: 'here' };
      runners.put({ id, life: id, service: 'chat', state: 'ready', ...place });
    }
    coordinators = [daemonOf('coordinator')];
    held = new Set();
    const coldStarts = new ColdStarts({
      rateOf: () => 10,
      ownershipOf: () => ({ share: 0, stableMilliseconds: 0 }),
      daemons: () => 10,
    });
    const admission = new RunnerAdmission({
      coldStarts,
      mayBeginAt: ({ entry }) => !held.has(entry.id),
    });
    const warmPlaces = new WarmPlaces();
    clock = new ManualClock();
    const choice = new RunnerChoice({ runners, admission, dataCentre: 'here', warmPlaces });
    selector = new CoordinatedSelector({
      daemon: daemonOf('asker'),
      socket,
      admission,
      choice,
      admissionTask: admissionWithoutLimits(choice, clock),
      capacity: new UnknownCapacity(),
      runners,
      clock,
      log,
      coordinators: () => coordinators,
      lastNumber: 0,
    });
  });

  function questionOf(tried: readonly string[] = []): ChoiceQuestion {
    const parts = { service: 'chat', sharedParts: ['part'], tried: new Set(tried) };
    return { ...parts, connectionLimit: 10, now: 0 };
  }

  function select(question = questionOf()): Promise<Choice | undefined> {
    return new Promise((done) => {
      selector.select(question, done);
    });
  }

  it('sends a request to the runner that the coordinator names, and acknowledges the grant', async () => {
    const chosen = select();
    socket.answer(1, 'runner-2', 7);
    expect((await chosen)?.runner.entry.id).toEqual('runner-2');
    expect(selector.countedGrants()).toEqual([{ coordinator: 'coordinator', grant: 7 }]);
  });

  it('begins no stream at a runner whose version is on hold here, although the coordinator names it', async () => {
    // Guards against streams of a version that the store does not name, begun by a coordinator of an older build.
    held = new Set(['runner-2']);
    const chosen = select({ ...questionOf(), needsVersion: true });
    socket.answer(1, 'runner-2');
    expect((await chosen)?.runner.entry.id).toEqual('runner-1');
  });

  it('keeps to the coordinator where all versions are on hold', async () => {
    // Guards against choices by what one daemon knows, as long as the store cannot be told of the only version.
    held = new Set(['runner-1', 'runner-2']);
    const chosen = select({ ...questionOf(), needsVersion: true });
    socket.answer(1, 'runner-2');
    const choice = await chosen;
    expect([choice?.runner.entry.id, choice?.reason]).toEqual(['runner-2', 'warm']);
  });

  it('chooses locally without an answer, and skips the coordinator after two timeouts', async () => {
    // Guards against requests that hang while a coordinator is frozen: a daemon that can choose by itself must not
    // wait for a coordinator that does not answer.
    expect((await select())?.runner === undefined).toEqual(false);
    expect((await select())?.runner === undefined).toEqual(false);
    expect(log.fieldsOf(coordinationLogEvents.coordinatorUnresponsive).length).toEqual(1);
    await select();
    expect(socket.questions.length).toEqual(2);
  });

  it("rejects a coordinator's choice that was tried, is draining, or is unknown to this daemon", async () => {
    // Guards against requests that return to the runner that failed them, or that go to a draining one. It happens
    // when the coordinator has not learnt of the failure or the drain yet and its answer is used unchecked.
    const again = select(questionOf(['runner-2']));
    socket.answer(1, 'runner-2');
    expect((await again)?.runner.entry.id).toEqual('runner-1');
    const unknown = select();
    socket.answer(2, 'runner-9');
    expect((await unknown)?.runner === undefined).toEqual(false);
    const entry = runners.get('runner-2')?.entry;
    if (entry) runners.put({ ...entry, state: 'draining' });
    const draining = select();
    socket.answer(3, 'runner-2');
    expect((await draining)?.runner.entry.id).toEqual('runner-1');
  });

  it('rejects a runner that has announced its shutdown since the question was sent', async () => {
    const chosen = select();
    runners.markLeaving('runner-2');
    socket.answer(1, 'runner-2');
    expect((await chosen)?.runner.entry.id).toEqual('runner-1');
  });

  it('accepts a cold runner only from a coordinator that has counted the request against its cold rate', async () => {
    const entry = runners.get('runner-2')?.entry;
    if (entry) runners.put({ ...entry, coldMilliseconds: 3_000 });
    const uncounted = select();
    socket.answer(1, 'runner-2');
    expect((await uncounted)?.runner.entry.id).toEqual('runner-1');
    const counted = select();
    socket.answer(2, 'runner-2', 1, true);
    expect((await counted)?.runner.entry.id).toEqual('runner-2');
  });

  it('excludes runners that were tried, and those that fail requests of this daemon, in its question', () => {
    runners.get('runner-1')?.health.record(0, 'unreachable');
    void select(questionOf(['runner-2']));
    expect(socket.questions[0]?.excludedLives).toEqual(['runner-2', 'runner-1']);
  });

  it('asks for a runner of the version that a stream goes on at, and rejects another one', async () => {
    // Guards against events of two software versions where a coordinator does not know of versions.
    for (const [id, softwareVersion] of [
      ['runner-1', 'v1'],
      ['runner-2', 'v2'],
    ] as const) {
      const entry = runners.get(id)?.entry;
      if (entry) runners.put({ ...entry, softwareVersion });
    }
    const chosen = select({ ...questionOf(), softwareVersion: 'v1' });
    expect(socket.questions[0]?.softwareVersion).toEqual('v1');
    socket.answer(1, 'runner-2');
    expect((await chosen)?.runner.entry.id).toEqual('runner-1');
  });

  it('asks no coordinator in a small fleet', async () => {
    coordinators = [];
    expect((await select())?.reason).toEqual('first_place');
    expect(socket.questions).toEqual([]);
  });

  describe('with a request that waits at the coordinator', () => {
    const { WAIT, REFUSE } = AdmissionVerdict;
    const refusal = { reason: 'no_capacity', retryAfterMilliseconds: 700 } as const;
    let results: [Choice | undefined, SelectionRefusal?][];
    let isAbandoned: boolean;

    beforeEach(() => {
      mock.timers.enable({ apis: ['setTimeout'] });
      results = [];
      isAbandoned = false;
      const question = { ...questionOf(), targetAt: 500, deadlineAt: 4_000 };
      const done = (...result: [Choice | undefined, SelectionRefusal?]) => results.push(result);
      selector.select(question, done, () => isAbandoned);
      socket.reply({ number: 1, verdict: WAIT });
    });

    afterEach(() => {
      mock.timers.reset();
    });

    function pass(milliseconds: number): void {
      clock.advance(milliseconds);
      mock.timers.tick(milliseconds);
    }

    function chosenIds(): (string | undefined)[] {
      return results.map(([choice]) => choice?.runner.entry.id);
    }

    it('repeats the question every 200 ms with its number, and takes the first grant only', () => {
      // Guards against entries that the coordinator drops, and requests that run twice after a grant was repeated.
      for (let repetition = 1; repetition <= 5; repetition += 1) {
        pass(199);
        expect(socket.questions.length).toEqual(repetition);
        pass(1);
        expect(socket.questions.map(({ number }) => number)).toEqual(Array(repetition + 1).fill(1));
        socket.reply({ number: 1, verdict: WAIT });
      }
      socket.answer(1, 'runner-2', 4);
      socket.answer(1, 'runner-1', 5);
      socket.reply({ number: 1, verdict: WAIT });
      pass(1_000);
      expect(chosenIds()).toEqual(['runner-2']);
      expect(socket.questions.length).toEqual(6);
      // The second grant is acknowledged as well, or the coordinator would count it for a second.
      expect(selector.countedGrants()).toEqual([{ coordinator: 'coordinator', grant: 5 }]);
    });

    it('passes a refusal on once, and runs nothing when a grant crosses it', () => {
      socket.reply({ number: 1, verdict: REFUSE, retryAfterMilliseconds: 700 });
      socket.answer(1, 'runner-2');
      pass(1_000);
      expect(results).toEqual([[undefined, refusal]]);
      expect(socket.questions.length).toEqual(1);
    });

    it('gets a lost grant by its repetition', () => {
      pass(200);
      socket.answer(1, 'runner-2');
      expect(chosenIds()).toEqual(['runner-2']);
    });

    it('chooses by itself after two repetitions without an answer', () => {
      // Guards against callers that wait in vain for a coordinator that was killed or cut off.
      pass(200);
      pass(200);
      expect(results).toEqual([]);
      pass(200);
      expect(chosenIds().filter((id) => id !== undefined).length).toEqual(1);
      expect(log.fieldsOf(admissionLogEvents.coordinatorLost).length).toEqual(1);
      socket.answer(1, 'runner-2');
      expect(results.length).toEqual(1);
    });

    it('asks no more once the caller has left', () => {
      isAbandoned = true;
      pass(1_000);
      expect(socket.questions.length).toEqual(1);
      expect(results).toEqual([]);
    });

    it('refuses at half of the time until the deadline, if the coordinator does not', () => {
      // Guards against callers that are told too late to try again.
      while (results.length === 0 && clock.monotonicMilliseconds() < 4_000) {
        pass(50);
        socket.reply({ number: 1, verdict: WAIT });
        if (clock.monotonicMilliseconds() < 2_000) expect(results).toEqual([]);
      }
      expect(clock.monotonicMilliseconds()).toEqual(2_000);
      const [[choice, { retryAfterMilliseconds = 0 } = {}] = []] = results;
      expect(choice).toEqual(undefined);
      expect(Math.round(retryAfterMilliseconds)).toEqual(667);
    });

    it('refuses at once when the daemon stops', () => {
      selector.refuseWaiting();
      pass(1_000);
      expect(results).toEqual([[undefined, { ...refusal, retryAfterMilliseconds: 0 }]]);
    });
  });
});
