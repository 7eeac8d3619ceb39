/**
 * One daemon of the homes' run: the product's own home and gate knowledge, and one engine that holds the chats
 * it answered last.
 */
import { create } from '@bufbuild/protobuf';

import { FleetState } from '../../src/fleet/FleetState.js';
import { GateTaskPrefixCacheIndex } from '../../src/gates/GateTaskPrefixCacheIndex.js';
import type { CacheChange } from '../../src/gates/GateTaskPrefixCacheIndex.js';
import type { Member } from '../../src/generated/baobabdock/v1/peers_pb.js';
import { HomeChangeSchema } from '../../src/generated/baobabdock/v1/peers_pb.js';
import { ChatHomeDecisions } from '../../src/homes/ChatHomeDecisions.js';
import { homesSettings } from '../../src/homes/homesFeature.js';
import { HomeTask } from '../../src/homes/HomeTask.js';
import { HomeTaskDirectory } from '../../src/homes/HomeTaskDirectory.js';
import type { LocalWarmRunner } from '../../src/homes/LocalWarmRunners.js';
import { LocalWarmRunners } from '../../src/homes/LocalWarmRunners.js';
import { HomeChangeFilter } from '../../src/homes/HomeChangeFilter.js';
import type { ManualClock } from '../../src/time/ManualClock.js';
import type { CountedLink } from './CountedLink.js';

/** Options of a {@link HomesDaemon}. */
export interface HomesDaemonOptions {
  self: Member;
  members: readonly Member[];
  link: CountedLink;
  clock: ManualClock;
  /** Chats that the engine's cache holds. */
  cachedChats: number;
  /** Whether the daemon's own gates are checked, and only changes are sent. */
  sparing: boolean;
  /** Whether the gate has room at this moment. */
  hasRoom: () => boolean;
}

/** Tells everything, as homes were told before. */
class EverythingIsNews extends HomeChangeFilter {
  override classify(): 'new' {
    return 'new';
  }
}

/** The one gate here. */
class GateWarmth extends LocalWarmRunners {
  constructor(private readonly daemon: HomesDaemon) {
    super();
  }

  override runnersFor(_service: string, chat: string): readonly LocalWarmRunner[] {
    const cachedTokens = this.daemon.knowledge.tokensOf(chat);
    if (cachedTokens === 0) return [];
    return [{ runnerId: this.daemon.id, cachedTokens, hasRoom: this.daemon.hasRoom() }];
  }
}

/** A daemon, its gate and its runner, all of one name. */
export class HomesDaemon {
  readonly id: string;

  knowledge = new GateTaskPrefixCacheIndex();

  homes: HomeTask;

  readonly hasRoom: () => boolean;

  private readonly options: HomesDaemonOptions;

  private readonly fleet: FleetState;

  /** The engine's cache, the chat answered longest ago first. */
  private readonly cache = new Set<string>();

  /**
   * @param options - its place, its limits and how it behaves.
   */
  constructor(options: HomesDaemonOptions) {
    this.options = options;
    this.id = options.self.daemonId;
    this.hasRoom = options.hasRoom;
    this.fleet = new FleetState({ self: options.self });
    for (const member of options.members) this.fleet.applyMember(member);
    this.homes = this.startHomes();
  }

  /**
   * @param member - a daemon that has started anew.
   */
  learn(member: Member): void {
    this.fleet.applyMember(member);
  }

  /** The process dies and another takes its place: its directory and its gate know nothing. */
  restart(): void {
    this.homes.stop();
    this.homes = this.startHomes();
    this.knowledge = new GateTaskPrefixCacheIndex();
  }

  /** The engine restarts with an empty cache. */
  restartEngine(): void {
    this.cache.clear();
    this.tell(this.knowledge.reset());
  }

  /**
   * @param chat - a chat.
   * @returns Whether its prefix is cached here.
   */
  holds(chat: string): boolean {
    return this.cache.has(chat);
  }

  /**
   * The engine answers; what it had to evict for it becomes known.
   *
   * @param chat - the chat.
   * @param tokens - of the chat by now.
   */
  async answer(chat: string, tokens: number): Promise<void> {
    this.cache.delete(chat);
    this.cache.add(chat);
    const changes = this.knowledge.recordUse(chat, tokens);
    const [oldest] = this.cache;
    if (this.cache.size > this.options.cachedChats && oldest !== undefined) {
      this.cache.delete(oldest);
      changes.push(...this.knowledge.recordUse(oldest, 0));
    }
    this.tell(changes);
    await this.homes.flush();
    if (!this.options.sparing) await this.homes.flushDeferred();
  }

  private tell(changes: readonly CacheChange[]): void {
    const runnerId = this.id;
    this.homes.reportChanges(
      changes.map((change) => create(HomeChangeSchema, { ...change, runnerId, service: 'chat' })),
    );
  }

  private startHomes(): HomeTask {
    const { link, clock, sparing } = this.options;
    const directory = new HomeTaskDirectory({ decisions: new ChatHomeDecisions(), clock });
    const settings = homesSettings.parse({});
    const told = sparing ? new HomeChangeFilter() : new EverythingIsNews();
    const homes = new HomeTask({ directory, fleet: this.fleet, link, clock, settings, told });
    if (sparing) homes.setLocalWarmRunners(new GateWarmth(this));
    link.handlers.set(this.id, homes.handlers());
    return homes;
  }
}
