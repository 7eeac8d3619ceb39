/**
 * Requests to the homes of chats, and updates that they receive.
 */
import type { WarmRunnerEntry } from '../../src/homes/homeTypes.js';
import type { RoutingTally } from './RoutingTally.js';
import type { SeededRandom } from './SeededRandom.js';
import type { SimulatedDaemon } from './SimulatedDaemon.js';
import type { SimulatedFleet } from './SimulatedFleet.js';
import type { VirtualTime } from './VirtualTime.js';
import { askHomeBytes, CACHE_EVENT_BYTES, HOME_CHANGE_BYTES } from './controlSizes.js';
import type { RoutingRunOptions } from './routingRunOptions.js';

/** Options of a {@link HomeTraffic}. */
export interface HomeTrafficOptions {
  readonly run: RoutingRunOptions;
  readonly time: VirtualTime;
  readonly fleet: SimulatedFleet;
  readonly tally: RoutingTally;
  readonly random: SeededRandom;
}

/** One-way latency between two daemons. */
const HOP_MILLISECONDS = 1.5;

/** How long an entry waits for a home that does not answer. */
const TIMEOUT_MILLISECONDS = 20;

const CACHE_EVENT_LAG_MILLISECONDS = 1_000;

/** Carries questions and news between daemons. */
export class HomeTraffic {
  private readonly options: HomeTrafficOptions;

  /**
   * @param options - the run.
   */
  constructor(options: HomeTrafficOptions) {
    this.options = options;
  }

  /**
   * Asks the first home, and the next one when it does not answer or knows nothing.
   *
   * @param entry - who asks.
   * @param chat - the chat.
   * @param onAnswer - called when the answer or the timeout has come.
   */
  ask(
    entry: SimulatedDaemon,
    chat: string,
    onAnswer: (warm: readonly WarmRunnerEntry[]) => void,
  ): void {
    const { run, time, fleet, tally } = this.options;
    let delay = 0;
    for (const { id } of entry.homesOf(chat, run.homes)) {
      const home = fleet.reachable(id);
      const answers = home !== undefined && home.pausedUntil <= time.now;
      const warm = answers ? home.askHome(time.now, chat) : [];
      delay += answers ? 2 * HOP_MILLISECONDS : TIMEOUT_MILLISECONDS;
      tally.control('home', askHomeBytes(warm.length));
      if (warm.length > 0) {
        time.after(delay, () => onAnswer(warm));
        return;
      }
    }
    time.after(delay, () => onAnswer([]));
  }

  /**
   * @param from - who tells.
   * @param runnerId - where the chat is cached.
   * @param chat - the chat.
   * @param cachedTokens - 0 when it no longer is.
   */
  tell(from: SimulatedDaemon, runnerId: string, chat: string, cachedTokens: number): void {
    const { run, time, fleet, tally } = this.options;
    const message = { kind: 'tell', service: 'chat', chat, runnerId, cachedTokens } as const;
    for (const { id } of from.homesOf(chat, run.homes)) {
      const home = fleet.reachable(id);
      tally.control('home', HOME_CHANGE_BYTES);
      if (home) time.after(HOP_MILLISECONDS, () => home.tellHome(time.now, message));
    }
  }

  /**
   * An engine's cache event, late or lost.
   *
   * @param runnerId - the engine.
   * @param chat - what left its cache.
   */
  evicted(runnerId: string, chat: string): void {
    const { run, time, fleet, tally, random } = this.options;
    if (random.next() < run.eventLoss) return;
    tally.control('cacheEvent', CACHE_EVENT_BYTES);
    time.after(CACHE_EVENT_LAG_MILLISECONDS, () => {
      const holder = fleet.daemons.find(({ alive, gates }) => alive && gates.has(runnerId));
      if (holder) this.tell(holder, runnerId, chat, 0);
    });
  }
}
