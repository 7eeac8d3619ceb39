/**
 * Simulates, in virtual time, a fleet whose runners crash: the real quarantines and crash reports of all daemons,
 * over a network that loses messages.
 */
import { monitorsOf, broadcastersOf } from '../coordination/daemonRoles.js';
import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import { parseAddress } from '../http/parseAddress.js';
import type { HostAndPort } from '../http/parseAddress.js';
import { SilentLog } from '../logging/Log.js';
import { seededRandom } from '../random/seededRandom.js';
import { rendezvousPick } from '../routing/rendezvous.js';
import type { Runner } from '../runners/Runner.js';
import { RunnerTable } from '../runners/RunnerTable.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { ManualClock } from '../time/ManualClock.js';
import { CrashRelay } from './CrashRelay.js';
import { RequestQuarantine } from './RequestQuarantine.js';
import { partSubject, RequestSubjects } from './requestSubjects.js';

/** Options of a {@link TestCrashFleet}. */
export interface TestCrashFleetOptions {
  daemons: number;
  runners: number;
  seed: number;
  /** Share of datagrams that get lost, from 0 to 1. */
  loss?: number;
  /** Software versions of the runners, in turn. */
  versions?: readonly string[];
}

/**
 * How a request ended: refused by its daemon, answered by a runner, or interrupted by the runner's crash.
 */
export type TestOutcome = 'refused' | 'answered' | 'broken';

/** A request to the fleet. */
export interface TestRequest {
  readonly digest: string;
  /** Ids of the shared parts of its prompt. */
  readonly parts?: readonly string[];
  /** Time from its arrival at a runner to its answer, or to the crash that it causes, in ms. */
  readonly milliseconds: number;
  readonly isFatal: boolean;
  /** Software version whose runners alone it crashes. */
  readonly fatalVersion?: string;
}

const SERVICE = 'chat';
const LONGEST_DELAY_MILLISECONDS = 6;
const ROUND_TRIP_MILLISECONDS = 2;
const DOWN_MILLISECONDS = 2_000;

interface RunningRequest {
  readonly subjects: RequestSubjects;
  /** Quarantine of the daemon that sent it. */
  readonly quarantine: RequestQuarantine;
  readonly startedAt: number;
  readonly end: (end: TestOutcome) => void;
  /** Called when a verdict may concern the request. */
  readonly onVerdict: () => void;
}

interface TestRunner {
  readonly id: string;
  birth: number;
  softwareVersion: string;
  isUp: boolean;
  running: Set<RunningRequest>;
}

/**
 * @param request - a request.
 * @returns What its crashes count against.
 */
export function subjectsOf({ digest, parts = [] }: TestRequest): RequestSubjects {
  return new RequestSubjects({ digest, service: SERVICE, partIds: () => parts });
}

type Handler = (message: Uint8Array) => void;

/** One daemon of the fleet. */
export class TestCrashDaemon {
  readonly entry: DaemonEntry;

  quarantine!: RequestQuarantine;

  relay!: CrashRelay;

  handler: Handler = () => undefined;

  /** Whether it is partitioned from the other daemons. */
  isPartitioned = false;

  constructor(entry: DaemonEntry) {
    this.entry = entry;
  }
}

/** Simulates the daemons, the runners and the network between them. */
export class TestCrashFleet {
  readonly daemons: TestCrashDaemon[] = [];

  readonly clock = new ManualClock();

  /** Arrivals of requests at runners, in monotonic ms. */
  private readonly arrivals: { readonly at: number; readonly subjects: RequestSubjects }[] = [];

  /** Time of each runner crash, in monotonic ms. */
  readonly crashes: number[] = [];

  /** Crashes that requests caused. */
  readonly fatalCrashes: { readonly at: number; readonly subjects: RequestSubjects }[] = [];

  readonly random: () => number;

  private readonly table = new RunnerTable();

  private readonly runners: TestRunner[] = [];

  private readonly loss: number;

  private readonly calls = new Map<number, (() => void)[]>();

  private readonly addresses = new Map<string, TestCrashDaemon>();

  /**
   * @param options - size of the fleet, and the seed of the random numbers.
   */
  constructor({ daemons, runners, seed, loss = 0.02, versions = [''] }: TestCrashFleetOptions) {
    this.random = seededRandom(seed);
    this.loss = loss;
    for (let index = 0; index < runners; index += 1) {
      const softwareVersion = versions[index % versions.length] ?? '';
      const runner = {
        id: `runner-${index}`,
        birth: 1,
        isUp: true,
        softwareVersion,
        running: new Set<never>(),
      };
      this.runners.push(runner);
      this.list(runner);
    }
    for (let index = 0; index < daemons; index += 1) {
      const address = `10.1.${Math.floor(index / 250)}.${1 + (index % 250)}:7000`;
      const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
      const entry = { name: `daemon-${index}`, dataCentre: 'here', ...addresses };
      this.daemons.push(new TestCrashDaemon(entry));
    }
    for (const daemon of this.daemons) this.boot(daemon);
  }

  /** @returns Monotonic milliseconds. */
  get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /**
   * Starts a daemon, with no records, or restarts it.
   *
   * @param daemon - the daemon.
   */
  boot(daemon: TestCrashDaemon): void {
    const { clock, table } = this;
    const others = (entries: readonly DaemonEntry[]) =>
      entries
        .filter(({ name }) => name !== daemon.entry.name)
        .map(({ newsAddress }) => parseAddress(newsAddress));
    const listed = this.daemons.map(({ entry }) => entry);
    const watchers = monitorsOf(listed);
    const reportTo = others(watchers.length > 0 ? watchers : listed);
    const isTeller = broadcastersOf(watchers).some(({ name }) => name === daemon.entry.name);
    const tellTo = isTeller ? others(listed) : [];
    const later = (call: () => void, milliseconds: number) => this.after(milliseconds, call);
    const names = listed.map(({ name }) => ({ id: name }));
    daemon.relay?.stop();
    const quarantine = new RequestQuarantine({
      runners: table,
      clock,
      log: new SilentLog(),
      crashes: { increment: () => undefined },
      probe: (runner, done) =>
        this.after(ROUND_TRIP_MILLISECONDS, () =>
          done(this.accepts(runner) ? 'accepted' : 'refused'),
        ),
      later,
      onChange: () => daemon.relay.sendChanges(),
      isTrialOwner: (key) => rendezvousPick(key, names)?.id === daemon.entry.name,
    });
    const relay = new CrashRelay({
      daemon: daemon.entry.name,
      ownAddress: daemon.entry.newsAddress,
      socket: {
        handle: (_kind: MessageKind, handler: Handler) => {
          Object.assign(daemon, { handler });
        },
        send: (_kind, message, recipients) => this.deliver(daemon, message, recipients),
      },
      decisions: quarantine.decisions,
      merge: (news, teller) => quarantine.merge(news, teller),
      clock,
      reportRecipients: () => reportTo,
      broadcastRecipients: () => tellTo,
      canReadMessages: () => true,
      pull: () => undefined,
      later,
      random: this.random,
    });
    Object.assign(daemon, { quarantine, relay });
    relay.start();
  }

  /**
   * @param digest - digest of a request or of a part of prompts.
   * @returns When requests with it reached runners, in monotonic ms.
   */
  arrivalsOf(digest: string): number[] {
    return this.arrivals.filter(({ subjects }) => subjects.includes(digest)).map(({ at }) => at);
  }

  /**
   * @param part - id of a part.
   * @returns When requests with it crashed runners, in monotonic ms.
   */
  crashesUnder(part: string): number[] {
    const { digest } = partSubject(SERVICE, part);
    return this.fatalCrashes.flatMap(({ subjects, at }) => (subjects.includes(digest) ? at : []));
  }

  /**
   * Sends a request to a daemon.
   *
   * @param request - the request.
   * @param daemon - its recipient; by default a random one.
   * @param end - called with the outcome.
   */
  send(
    request: TestRequest,
    daemon: TestCrashDaemon = this.anyOf(this.daemons),
    end: (end: TestOutcome) => void = () => undefined,
  ): void {
    const { quarantine } = daemon;
    const subjects = subjectsOf(request);
    const admission = quarantine.admit({ subjects, service: SERVICE });
    const version = admission.kind === 'admitted' ? admission.softwareVersion : undefined;
    const up = this.runners.filter(
      ({ isUp, softwareVersion }) => isUp && softwareVersion === (version ?? softwareVersion),
    );
    if (admission.kind !== 'admitted' || up.length === 0) {
      end('refused');
      return;
    }
    const { isTrial = false } = admission;
    this.run(request, daemon, this.anyOf(up), { isTrial, end });
  }

  /**
   * Crashes some of the runners at once, whatever runs there.
   *
   * @param share - share of the runners, from 0 to 1.
   */
  crashRunners(share: number): void {
    for (const runner of this.runners) if (runner.isUp && this.random() < share) this.crash(runner);
  }

  /** Crashes one of the runners, whatever runs there. */
  crashOne(): void {
    const up = this.runners.filter(({ isUp }) => isUp);
    if (up.length > 0) this.crash(this.anyOf(up));
  }

  /**
   * Advances virtual time.
   *
   * @param milliseconds - by how much.
   */
  play(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.clock.advance(1);
      const calls = this.calls.get(this.now) ?? [];
      this.calls.delete(this.now);
      for (const call of calls) call();
    }
  }

  /**
   * Schedules a call in virtual time.
   *
   * @param milliseconds - delay; at least one.
   * @param call - the call.
   */
  after(milliseconds: number, call: () => void): void {
    const at = this.now + Math.max(1, Math.round(milliseconds));
    const calls = this.calls.get(at) ?? [];
    calls.push(call);
    this.calls.set(at, calls);
  }

  private run(
    request: TestRequest,
    daemon: TestCrashDaemon,
    runner: TestRunner,
    { isTrial, end }: { isTrial: boolean; end: (end: TestOutcome) => void },
  ): void {
    const { milliseconds, isFatal, fatalVersion = runner.softwareVersion } = request;
    const { quarantine } = daemon;
    const subjects = subjectsOf(request);
    const { running: all } = runner;
    const running: RunningRequest = {
      ...{ subjects, quarantine, startedAt: this.now, end },
      onVerdict: () => {
        const { softwareVersion } = runner;
        const isStopped = !isTrial && quarantine.isBlocked(subjects, [softwareVersion]);
        if (!isStopped || !all.delete(running)) return;
        quarantine.end(running.onVerdict);
        end('refused');
      },
    };
    const { onVerdict } = running;
    quarantine.begin(subjects, onVerdict);
    runner.running.add(running);
    this.arrivals.push({ at: this.now, subjects });
    this.after(milliseconds, () => {
      if (!runner.running.has(running)) return;
      if (isFatal && fatalVersion === runner.softwareVersion) {
        this.fatalCrashes.push({ at: this.now, subjects });
        this.crash(runner);
        return;
      }
      runner.running.delete(running);
      quarantine.end(onVerdict);
      quarantine.answered(subjects, runner.softwareVersion);
      end('answered');
    });
  }

  private crash(runner: TestRunner): void {
    const broken = [...runner.running];
    const listed = this.table.get(runner.id);
    Object.assign(runner, { isUp: false, running: new Set() });
    this.crashes.push(this.now);
    for (const { subjects, quarantine, startedAt, end, onVerdict } of broken) {
      this.after(ROUND_TRIP_MILLISECONDS, () => {
        quarantine.end(onVerdict);
        if (listed) quarantine.broke(listed, { subjects, startedAt });
        end('broken');
      });
    }
    this.after(DOWN_MILLISECONDS, () => {
      Object.assign(runner, { isUp: true, birth: runner.birth + 1 });
      this.list(runner);
    });
  }

  private list({ id, birth, softwareVersion }: TestRunner): void {
    const place = { host: '10.0.0.1', port: 8_000, dataCentre: 'here' };
    this.table.put({
      id,
      life: `${id}@${birth}`,
      service: SERVICE,
      state: 'ready',
      softwareVersion,
      ...place,
    });
  }

  private accepts({ entry }: Runner): boolean {
    return this.runners.some(({ id, isUp }) => id === entry.id && isUp);
  }

  private deliver(
    sender: TestCrashDaemon,
    message: Uint8Array,
    recipients: readonly HostAndPort[],
  ): void {
    for (const { host, port } of recipients) {
      const address = `${host}:${port}`;
      const recipient = this.byAddress(address);
      const isLost = sender.isPartitioned || recipient.isPartitioned || this.random() < this.loss;
      const delay = this.random() * LONGEST_DELAY_MILLISECONDS;
      if (!isLost) this.after(delay, () => recipient.handler(message));
    }
  }

  private byAddress(address: string): TestCrashDaemon {
    if (this.addresses.size === 0) {
      for (const daemon of this.daemons) this.addresses.set(daemon.entry.newsAddress, daemon);
    }
    return this.addresses.get(address) as TestCrashDaemon;
  }

  private anyOf<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.random() * items.length)] as Item;
  }
}
