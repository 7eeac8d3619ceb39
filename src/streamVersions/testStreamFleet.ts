/**
 * Simulates, in virtual time, a fleet before runners of several software versions: the real records of all daemons, over a
 * network that loses messages, with streams that their callers take up again at other daemons.
 */
import { setImmediate as settle } from 'node:timers/promises';

import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import { SilentLog } from '../logging/Log.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import { seededRandom } from '../random/seededRandom.js';
import type { Runner } from '../runners/Runner.js';
import { RunnerAdmission } from '../runners/RunnerAdmission.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import { ManualClock } from '../time/ManualClock.js';
import { StreamVersionTask } from './StreamVersionTask.js';
import { TestAvailability } from './testAvailability.js';
import { TestCachedPrompts } from './testCachedPrompts.js';
import type {
  MessageListener,
  TakeUpTally,
  TestStream,
  TestStreamDaemon,
  TestStreamFleetOptions,
} from './testStreamFleetTypes.js';
import { TestStreamStore } from './testStreamStore.js';

const SERVICE = 'chat';
const FIRST_VERSION = 'v1';
const LONGEST_STREAM_MILLISECONDS = 15_000;
const LONGEST_DELAY_MILLISECONDS = 6;
const SHORTEST_STREAM_MILLISECONDS = 300;
const STREAM_MILLISECONDS = 3_000;

/** Time until a daemon has learnt of a change of the list of runners, at most; in ms. */
const LEARNING_MILLISECONDS = 800;

const DOWN_MILLISECONDS = 1_000;

/** Time in which streams begin whose callers come together, in ms. */
const STEP_MILLISECONDS = 100;

/** How often a caller comes back that is told when to. */
const MAXIMUM_TAKE_UPS = 3;

/** A daemon is in touch when it has worked for this long without a fault, in ms. */
const CONTACT_MILLISECONDS = 3_000;

/** Simulates daemons, runners, callers and the network. */
export class TestStreamFleet {
  readonly daemons: TestStreamDaemon[] = [];

  readonly clock = new ManualClock({ wallMilliseconds: 1_700_000_000_000 });

  readonly store: TestStreamStore;

  readonly tally: TakeUpTally = {
    ...{ taken: 0, mixed: 0, owed: 0, wentOn: 0 },
    ...{ possible: 0, possibleWentOn: 0 },
  };

  /** Datagrams that daemons have sent. */
  sent = 0;

  /** Bytes in these datagrams. */
  sentBytes = 0;

  /** Lists of cached prompts that runners were asked for. */
  listCalls = 0;

  readonly random: () => number;

  private readonly options: Required<TestStreamFleetOptions>;

  /** Version of each runner, by position. */
  private readonly versions: string[];

  private readonly cached = new TestCachedPrompts();

  private readonly calls = new Map<number, (() => void)[]>();

  private readonly byAddress = new Map<string, TestStreamDaemon>();

  private readonly availability = new TestAvailability({
    daemons: this.daemons,
    now: () => this.now,
    after: (milliseconds, call) => this.after(milliseconds, call),
  });

  private nextStream = 0;

  /**
   * @param options - size of the fleet, its load, and the seed of the random numbers.
   */
  constructor(options: TestStreamFleetOptions) {
    const defaults = { loss: 0.02, lostByCallers: 0.02, pauseMilliseconds: 100 };
    this.options = { ...defaults, listsPrompts: false, startSpreadMilliseconds: 0, ...options };
    this.random = seededRandom(options.seed);
    this.store = new TestStreamStore({
      now: () => this.now,
      later: (call, milliseconds) => this.after(milliseconds, call),
    });
    this.versions = Array.from({ length: options.runners }, () => FIRST_VERSION);
    for (let index = 0; index < options.daemons; index += 1) {
      const address = `10.1.${Math.floor(index / 250)}.${1 + (index % 250)}:7000`;
      const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
      const entry = { name: `daemon-${index}`, dataCentre: 'here', ...addresses };
      const daemon = {
        ...{ entry, life: 0, isUp: false, isCut: false },
        ...{ soundSince: -CONTACT_MILLISECONDS, endedAt: Number.NEGATIVE_INFINITY },
        cutAt: Number.NEGATIVE_INFINITY,
        handlers: new Map<MessageKind, MessageListener>(),
        runners: new RunnerTable(),
        streams: new Set<TestStream>(),
      } as Partial<TestStreamDaemon> as TestStreamDaemon;
      this.daemons.push(daemon);
      this.byAddress.set(address, daemon);
    }
    for (const daemon of this.daemons) this.boot(daemon);
  }

  /** @returns Monotonic milliseconds. */
  get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /**
   * Ends a daemon without notice; it starts again a second later. Callers take its streams up at other daemons.
   *
   * @param daemon - the daemon.
   */
  kill(daemon: TestStreamDaemon): void {
    if (!daemon.isUp) return;
    daemon.task.stop();
    Object.assign(daemon, { isUp: false, endedAt: this.now });
    this.availability.change();
    for (const stream of daemon.streams) this.takeUpLater(stream);
    daemon.streams.clear();
    const { startSpreadMilliseconds } = this.options;
    const spread = startSpreadMilliseconds > 0 ? this.random() * startSpreadMilliseconds : 0;
    this.after(DOWN_MILLISECONDS + spread, () => this.boot(daemon));
  }

  /** Ends all daemons at the same moment. */
  killAll(): void {
    for (const daemon of this.daemons) this.kill(daemon);
  }

  /**
   * Cuts a daemon off from the store and from other daemons; callers still reach it.
   *
   * @param daemon - the daemon.
   * @param milliseconds - for how long.
   */
  cut(daemon: TestStreamDaemon, milliseconds: number): void {
    Object.assign(daemon, { isCut: true, cutAt: this.now });
    this.availability.change();
    this.after(milliseconds, () => {
      Object.assign(daemon, { isCut: false, soundSince: this.now });
      this.availability.change();
      this.learnAll(daemon);
    });
  }

  /**
   * Replaces a runner by one of another version.
   *
   * @param index - position of the runner.
   * @param softwareVersion - version of the new one.
   */
  replace(index: number, softwareVersion: string): void {
    this.versions[index] = softwareVersion;
    for (const daemon of this.daemons) {
      this.after(this.random() * LEARNING_MILLISECONDS, () => this.learn(daemon, index));
    }
  }

  /**
   * Advances virtual time, in which streams begin.
   *
   * @param milliseconds - by how much.
   */
  async play(milliseconds: number): Promise<void> {
    const end = this.now + milliseconds;
    const share = this.options.streamsPerSecond / 1_000;
    while (this.now < end) {
      this.clock.advance(1);
      const calls = this.calls.get(this.now) ?? [];
      this.calls.delete(this.now);
      for (const call of calls) call();
      for (let left = share; left > 0; left -= 1) if (this.random() < left) this.beginStream();
      if (this.store.takeCalls() > 0) await settle();
    }
  }

  /**
   * Begins streams within a moment, as callers do that come back together.
   *
   * @param count - how many.
   * @param from - when the first one begins, in ms from now on.
   */
  beginTogether(count: number, from: number): void {
    for (let number = 0; number < count; number += 1) {
      this.after(from + (number / count) * STEP_MILLISECONDS, () => this.beginStream());
    }
  }

  /**
   * @param milliseconds - from now on.
   * @param call - what happens then.
   */
  after(milliseconds: number, call: () => void): void {
    const at = Math.floor(this.now) + Math.max(1, Math.round(milliseconds));
    this.calls.set(at, [...(this.calls.get(at) ?? []), call]);
  }

  private boot(daemon: TestStreamDaemon): void {
    const life = daemon.life + 1;
    const handlers = new Map<MessageKind, MessageListener>();
    Object.assign(daemon, {
      ...{ life, handlers, isUp: true, soundSince: Math.max(this.now, daemon.soundSince) },
      runners: new RunnerTable(),
    });
    if (life === 1) Object.assign(daemon, { soundSince: -CONTACT_MILLISECONDS });
    this.availability.change();
    this.learnAll(daemon);
    const task = new StreamVersionTask({
      daemon: daemon.entry,
      store: this.store.seenBy(() => !daemon.isCut && daemon.life === life),
      socket: {
        handle: (kind: MessageKind, handler: MessageListener) => {
          handlers.set(kind, handler);
        },
        send: (kind, message, recipients) => this.deliver(daemon, kind, message, recipients),
      },
      runners: () => daemon.runners.list(),
      daemons: () => this.availability.listFor(daemon),
      isListCurrent: () => !daemon.isCut,
      isFleetWhole: () => this.availability.listFor(daemon).length === this.daemons.length - 1,
      followsStore: () => true,
      fetchPrompts: (runner, done) => {
        this.listCalls += 1;
        this.after(this.random() * LONGEST_DELAY_MILLISECONDS, () => {
          if (daemon.isUp && daemon.life === life) done(this.promptsOf(runner));
        });
      },
      longestStreamMilliseconds: () => LONGEST_STREAM_MILLISECONDS,
      clock: this.clock,
      log: new SilentLog(),
      registry: new MetricRegistry({ clock: this.clock }),
      later: (call, milliseconds) =>
        this.after(milliseconds, () => {
          if (daemon.isUp && daemon.life === life) call();
        }),
    });
    Object.assign(daemon, { task });
    // The history comes with the list of runners; later changes of it reach those that read the store.
    task.handleHistory(
      this.store.history ?? { versions: new Map(), completeAt: this.clock.wallMilliseconds() },
    );
    this.store.onHistory((history) => {
      if (daemon.isUp && daemon.life === life && !daemon.isCut) task.handleHistory(history);
    });
    task.start();
  }

  private deliver(
    from: TestStreamDaemon,
    kind: MessageKind,
    message: Uint8Array,
    recipients: readonly HostAndPort[],
  ): void {
    this.sent += recipients.length;
    this.sentBytes += recipients.length * message.length;
    for (const { host, port } of recipients) {
      const to = this.byAddress.get(`${host}:${port}`);
      if (!to || from.isCut || this.random() < this.options.loss) continue;
      this.after(this.random() * LONGEST_DELAY_MILLISECONDS, () => {
        if (to.isUp && !to.isCut) to.handlers.get(kind)?.(message);
      });
    }
  }

  private learnAll(daemon: TestStreamDaemon): void {
    for (const index of this.versions.keys()) this.learn(daemon, index);
  }

  private learn(daemon: TestStreamDaemon, index: number): void {
    if (daemon.isCut) return;
    const softwareVersion = this.versions[index];
    const id = `runner-${index}`;
    const life = `${id}@${softwareVersion}`;
    const place = { host: '10.0.0.1', port: 8_000 + index, dataCentre: 'here' };
    daemon.runners.put({ id, life, service: SERVICE, state: 'ready', softwareVersion, ...place });
  }

  private anyOf<T>(list: readonly T[]): T | undefined {
    return list[Math.floor(this.random() * list.length)];
  }

  private anyDaemon(): TestStreamDaemon | undefined {
    return this.anyOf(this.daemons.filter(({ isUp }) => isUp));
  }

  private beginStream(): void {
    const daemon = this.anyDaemon();
    if (!daemon) return;
    const runner = this.anyOf(this.admittedAt(daemon));
    const index = Number(runner?.entry.id.split('-')[1]);
    // A runner that was replaced meanwhile says that it is another one, and does not run the request.
    if (!runner || runner.entry.softwareVersion !== this.versions[index]) return;
    this.nextStream += 1;
    const duration = SHORTEST_STREAM_MILLISECONDS + this.random() * STREAM_MILLISECONDS;
    const { softwareVersion = '' } = runner.entry;
    const stream = { id: `stream-${this.nextStream}`, softwareVersion, until: this.now + duration };
    this.cached.add(runner, stream.id);
    this.serve(daemon, stream);
    if (this.random() >= this.options.lostByCallers) return;
    this.after(this.random() * duration, () => {
      if (daemon.streams.delete(stream)) this.takeUpLater(stream);
    });
  }

  /** The runners at which a daemon may begin a stream. */
  private admittedAt({ task, runners }: TestStreamDaemon): readonly Runner[] {
    const admission = new RunnerAdmission({ mayBeginAt: (runner) => task.mayBeginAt(runner) });
    return admission.admitted(runners.readyOf(SERVICE), {
      ...{ tried: new Set<string>(), needsVersion: true, now: this.now },
      connectionLimit: Number.POSITIVE_INFINITY,
    });
  }

  private promptsOf(runner: Runner): readonly string[] | undefined {
    const index = Number(runner.entry.id.split('-')[1]);
    // Another incarnation says that it is not the one that is asked.
    const isSame = runner.softwareVersion === this.versions[index];
    return this.options.listsPrompts && isSame ? this.cached.listOf(runner) : undefined;
  }

  private serve(daemon: TestStreamDaemon, stream: TestStream): void {
    const name = { service: SERVICE, clientAccount: undefined, id: stream.id };
    const key = daemon.task.begin(name, stream.softwareVersion);
    daemon.streams.add(stream);
    const { task } = daemon;
    this.after(stream.until - this.now, () => {
      daemon.streams.delete(stream);
      task.end(key);
    });
  }

  private takeUpLater(stream: TestStream): void {
    const pause = this.options.pauseMilliseconds * this.random();
    this.after(5 + pause, () => this.takeUp(stream));
  }

  private takeUp(stream: TestStream, tries = 0): void {
    const daemon = this.anyDaemon();
    if (!daemon) {
      this.takeUpLater(stream);
      return;
    }
    const { tally } = this;
    const { softwareVersion } = stream;
    const name = { service: SERVICE, clientAccount: undefined, id: stream.id };
    const left = this.versions.filter((version) => version === softwareVersion).length;
    const isInTouch = !daemon.isCut && this.now - daemon.soundSince >= CONTACT_MILLISECONDS;
    const isOwed = isInTouch && left >= 2;
    const count = (change: 1 | -1) => {
      tally.taken += change;
      if (isOwed) tally.owed += change;
      if (left >= 2) tally.possible += change;
    };
    count(1);
    const { life } = daemon;
    const question = { ...name, request: `${stream.id} again`, promptPart: stream.id };
    daemon.task.find(question, (result) => {
      if (daemon.life !== life || !daemon.isUp) {
        count(-1);
        this.takeUpLater(stream);
        return;
      }
      if (result.softwareVersion === undefined) {
        if (result.retryAfterSeconds !== undefined && tries < MAXIMUM_TAKE_UPS) {
          count(-1);
          this.after(result.retryAfterSeconds * 1_000, () => this.takeUp(stream, tries + 1));
        }
        return;
      }
      const isMixed = result.softwareVersion !== softwareVersion;
      tally.mixed += Number(isMixed);
      if (isMixed || !daemon.isUp) return;
      tally.wentOn += Number(isOwed);
      tally.possibleWentOn += Number(left >= 2);
      this.serve(daemon, { ...stream, until: this.now + STREAM_MILLISECONDS });
    });
  }
}
