/**
 * Runs the homes of a region in virtual time: chats that return after pauses, engines and daemons that restart.
 * The homes, the gates' knowledge and the messages are the product's own; answers take no time, and what
 * waits for others to come along is sent each minute.
 */
import { create } from '@bufbuild/protobuf';

import type { Member } from '../../src/generated/baobabdock/v1/peers_pb.js';
import { MemberSchema } from '../../src/generated/baobabdock/v1/peers_pb.js';
import { ManualClock } from '../../src/time/ManualClock.js';
import { SeededRandom } from '../routing/SeededRandom.js';
import { CountedLink } from './CountedLink.js';
import { HomesDaemon } from './HomesDaemon.js';

/** Options of a run. */
export interface HomesRunOptions {
  readonly daemons: number;
  readonly requestsPerSecond: number;
  /** Share of requests whose chat had an answer before. */
  readonly returning: number;
  /** Share of requests for which the caller has asked locate, naming the chat; others go where they went last. */
  readonly located: number;
  /** Share of the time in which a gate is so near its bound that other runners are worth knowing. */
  readonly busy: number;
  /** Engines and daemons that restart, each, a minute and 100 daemons. */
  readonly restarts: number;
  readonly seconds: number;
  readonly seed: number;
  readonly sparing: boolean;
}

/** Rates are a second and daemon. */
export interface HomesResult {
  readonly asks: number;
  readonly tells: number;
  readonly changesPerTell: number;
  readonly bytes: number;
  /** Share of returning requests that landed where their prefix is cached. */
  readonly reuse: number;
}

interface VirtualChat {
  readonly id: string;
  readonly tokens: number;
  readonly lastDaemon: HomesDaemon;
}

const STEP_MILLISECONDS = 100;
const PAUSE_MILLISECONDS = 30_000;
const WARM_UP_SECONDS = 90;
const SECONDS_PER_MINUTE = 60;
const DAEMONS_OF_CHURN = 100;
const CACHED_CHATS = 700;
const COLD_CHOICES = 4;
const OPENING_TOKENS = [300, 1_500] as const;
const TURN_TOKENS = [100, 800] as const;
const PATIENT_MILLISECONDS = 60_000;

/** One run. */
class HomesRun {
  private readonly clock = new ManualClock();

  private readonly link = new CountedLink();

  private readonly random: SeededRandom;

  /** Streams of their own, so that both ways of a line see the same restarts. */
  private readonly churn: SeededRandom;

  private readonly room: SeededRandom;

  /** Daemons whose gate is near its bound in this step. */
  private busy = new Set<string>();

  private readonly daemons: readonly HomesDaemon[];

  private readonly waiting = new Map<number, VirtualChat[]>();

  private now = 0;

  private opened = 0;

  private returned = 0;

  private reused = 0;

  constructor(private readonly options: HomesRunOptions) {
    this.random = new SeededRandom(options.seed);
    this.churn = new SeededRandom(options.seed + 1);
    this.room = new SeededRandom(options.seed + 2);
    const { sparing } = options;
    const members = Array.from({ length: options.daemons }, (_, index) => HomesRun.member(index));
    this.daemons = members.map(
      (self) =>
        new HomesDaemon({
          self,
          members,
          link: this.link,
          clock: this.clock,
          cachedChats: CACHED_CHATS,
          sparing,
          hasRoom: () => !this.busy.has(self.daemonId),
        }),
    );
  }

  async run(): Promise<HomesResult> {
    this.openEarlierChats();
    await this.pass(WARM_UP_SECONDS);
    this.link.counts = { asks: 0, tells: 0, changes: 0, bytes: 0 };
    this.returned = 0;
    this.reused = 0;
    const { seconds } = this.options;
    await this.pass(seconds);
    for (const { homes } of this.daemons) homes.stop();
    const { asks, tells, changes, bytes } = this.link.counts;
    const each = (sum: number): number => sum / (seconds * this.daemons.length);
    return {
      asks: each(asks),
      tells: each(tells),
      changesPerTell: changes / Math.max(1, tells),
      bytes: each(bytes),
      reuse: this.reused / Math.max(1, this.returned),
    };
  }

  private static member(index: number, incarnation = 1n): Member {
    return create(MemberSchema, {
      daemonId: `daemon-${index}`,
      incarnation,
      state: 'alive',
      peerAddress: `10.0.0.${index}:4000`,
      region: 'region',
      dataCentre: 'data-centre',
    });
  }

  private async pass(seconds: number): Promise<void> {
    const { daemons, requestsPerSecond, returning } = this.options;
    const openings = daemons * requestsPerSecond * (1 - returning) * (STEP_MILLISECONDS / 1_000);
    const end = this.now + seconds * 1_000;
    let owed = 0;
    for (; this.now < end; this.now += STEP_MILLISECONDS) {
      this.clock.advance(STEP_MILLISECONDS);
      const busy = this.daemons.filter(() => this.room.next() < this.options.busy);
      this.busy = new Set(busy.map(({ id }) => id));
      const due = this.waiting.get(this.now) ?? [];
      this.waiting.delete(this.now);
      for (const chat of due) await this.request(chat, true);
      for (owed += openings; owed >= 1; owed -= 1) await this.request(this.openChat(), false);
      if (this.now % PATIENT_MILLISECONDS === 0) await this.sendPatient();
      this.restartSome();
    }
  }

  /** As many as wait in the long run; a run that began with new chats only would have fewer requests. */
  private openEarlierChats(): void {
    const { daemons, requestsPerSecond, returning } = this.options;
    const count = daemons * requestsPerSecond * returning * (PAUSE_MILLISECONDS / 1_000);
    for (let index = 0; index < count; index += 1) this.letWait(this.openChat());
  }

  private letWait(chat: VirtualChat): void {
    const pause = this.random.exponential(PAUSE_MILLISECONDS);
    const at = this.now + STEP_MILLISECONDS * Math.ceil(pause / STEP_MILLISECONDS + 1);
    const due = this.waiting.get(at);
    if (due) due.push(chat);
    else this.waiting.set(at, [chat]);
  }

  private async sendPatient(): Promise<void> {
    for (const { homes } of this.daemons) await homes.flushDeferred();
  }

  private openChat(): VirtualChat {
    this.opened += 1;
    const tokens = Math.round(this.random.between(...OPENING_TOKENS));
    const lastDaemon = this.random.pick(this.daemons);
    return { id: `account-12/chat-${this.opened}`, tokens, lastDaemon };
  }

  private async request(chat: VirtualChat, returning: boolean): Promise<void> {
    const located = this.random.next() < this.options.located;
    const entry = located ? await this.locate(chat) : chat.lastDaemon;
    const runner = (await this.warmRunner(entry, chat)) ?? this.coldRunner();
    if (returning) {
      this.returned += 1;
      if (runner.holds(chat.id)) this.reused += 1;
    }
    const tokens = chat.tokens + Math.round(this.random.between(...TURN_TOKENS));
    await runner.answer(chat.id, tokens);
    if (this.random.next() < this.options.returning) {
      this.letWait({ ...chat, tokens, lastDaemon: runner });
    }
  }

  private async locate(chat: VirtualChat): Promise<HomesDaemon> {
    const asked = this.random.pick(this.daemons);
    return (await this.warmRunner(asked, chat)) ?? this.coldRunner();
  }

  /** The first warm one that has room; a chat whose warm runners have none goes elsewhere. */
  private async warmRunner(
    entry: HomesDaemon,
    { id }: VirtualChat,
  ): Promise<HomesDaemon | undefined> {
    const warm = await entry.homes.findWarmRunners(id, 'chat');
    const runners = warm.map(({ runnerId }) => this.daemons.find((one) => one.id === runnerId)!);
    return runners.find((runner) => runner.hasRoom());
  }

  private coldRunner(): HomesDaemon {
    const choices = Array.from({ length: COLD_CHOICES }, () => this.random.pick(this.daemons));
    return choices.find((runner) => runner.hasRoom()) ?? choices[0]!;
  }

  private restartSome(): void {
    const { restarts, daemons } = this.options;
    const rate = (restarts * daemons) / DAEMONS_OF_CHURN / SECONDS_PER_MINUTE;
    const chance = rate * (STEP_MILLISECONDS / 1_000);
    if (this.churn.next() < chance) this.churn.pick(this.daemons).restartEngine();
    if (this.churn.next() >= chance) return;
    const index = this.churn.index(daemons);
    this.daemons[index]!.restart();
    const member = HomesRun.member(index, BigInt(this.now + 2));
    for (const daemon of this.daemons) daemon.learn(member);
  }
}

/**
 * @param options - the load and the churn.
 * @returns The rates and the reuse.
 */
export function measureHomes(options: HomesRunOptions): Promise<HomesResult> {
  return new HomesRun(options).run();
}
