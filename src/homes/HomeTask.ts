/**
 * Access to the homes of all chats: this daemon's own directory, and other daemons by calls. A call has some
 * 600 bytes of headers on the wire, so homes are asked only for what no local gate knows, and are sent only
 * significant changes.
 */
import type { FleetView } from '../fleet/FleetView.js';
import type { HomeChange, Member, WarmRunner } from '../generated/baobabdock/v1/peers_pb.js';
import type { Log } from '../logging/Log.js';
import { SilentLog } from '../logging/Log.js';
import type { PeerHandlers } from '../peers/PeerServer.js';
import type { PeerLink } from '../peers/PeerLink.js';
import type { Clock } from '../time/Clock.js';
import { HomePort } from './HomePort.js';
import { HomeTaskHealth } from './HomeTaskHealth.js';
import { HomeTaskQueue } from './HomeTaskQueue.js';
import type { HomeTaskDirectory } from './HomeTaskDirectory.js';
import type { HomesSettings } from './homesFeature.js';
import { homesLogEvents } from './homesFeature.js';
import type { LocalWarmRunners } from './LocalWarmRunners.js';
import { NoLocalWarmRunners } from './LocalWarmRunners.js';
import { HomeChangeFilter } from './HomeChangeFilter.js';
import { mergeWarmRunners, toWarmRunner } from './warmRunners.js';

/** Settings of a {@link HomeTask}. */
export type HomeTaskSettings = Pick<
  HomesSettings,
  | 'askTimeoutMilliseconds'
  | 'pauseAfterFailuresMilliseconds'
  | 'tellIntervalMilliseconds'
  | 'patientTellMilliseconds'
  | 'maximumPromptMessages'
  | 'maximumChangesPerInterval'
  | 'maximumQueuedChanges'
>;

/** Options of a {@link HomeTask}. */
export interface HomeTaskOptions {
  directory: HomeTaskDirectory;
  fleet: FleetView;
  link: PeerLink;
  clock: Clock;
  settings: HomeTaskSettings;
  log?: Log;
  /** The filter of changes; measurements pass one that lets all changes through. */
  told?: HomeChangeFilter;
}

/** Longest name of a chat, service or runner that is stored, so that a faulty peer can't fill the directory. */
const MAXIMUM_NAME_CHARACTERS = 512;

/** Identifies one incarnation of a daemon, because a restarted one has lost its directory. */
function incarnationKeyOf({ daemonId, incarnation }: Member): string {
  return `${daemonId}@${incarnation}`;
}

/** Looks up and reports cached prefixes. Failed calls cost only cache reuse. */
export class HomeTask extends HomePort {
  private readonly directory: HomeTaskDirectory;

  private readonly fleet: FleetView;

  private readonly link: PeerLink;

  private readonly clock: Clock;

  private readonly settings: HomeTaskSettings;

  private readonly log: Log;

  private readonly queue: HomeTaskQueue;

  private readonly health: HomeTaskHealth;

  private readonly told: HomeChangeFilter;

  private warmth: LocalWarmRunners = new NoLocalWarmRunners();

  private timer: NodeJS.Timeout | undefined;

  private deferredTimer: NodeJS.Timeout | undefined;

  /** Messages that were sent in the current interval, and its start in monotonic milliseconds. */
  private currentInterval = { messages: 0, since: Number.NEGATIVE_INFINITY };

  private dropped = 0;

  private stopped = false;

  /**
   * @param options - this daemon's directory, the fleet, the link to peers and the limits.
   */
  constructor({
    directory,
    fleet,
    link,
    clock,
    settings,
    log = new SilentLog(),
    told = new HomeChangeFilter(),
  }: HomeTaskOptions) {
    super();
    this.told = told;
    this.directory = directory;
    this.fleet = fleet;
    this.link = link;
    this.clock = clock;
    this.settings = settings;
    this.log = log;
    this.health = new HomeTaskHealth(settings);
    this.queue = new HomeTaskQueue({
      maximumChanges: settings.maximumQueuedChanges,
      onDropped: (change) => this.onDropped(change),
    });
  }

  /**
   * Sets the source of local warm runners. It can't be an option, because the gates need this task at their
   * construction.
   *
   * @param warmth - the warm runners behind this daemon's gates.
   */
  setLocalWarmRunners(warmth: LocalWarmRunners): void {
    this.warmth = warmth;
  }

  /**
   * Looks up local gates first: locate sends a chat to the daemon with the gate of a warm runner, so that gate
   * usually has the answer. The chat's home is asked if no local runner is warm, or none of them has room.
   */
  override async findWarmRunners(chat: string, service: string): Promise<readonly WarmRunner[]> {
    const local = this.warmth.runnersFor(service, chat);
    const hasLocalRoom = local.some(({ hasRoom }) => hasRoom);
    return mergeWarmRunners(local, hasLocalRoom ? [] : await this.askHome(chat, service));
  }

  override reportChanges(changes: readonly HomeChange[]): void {
    for (const change of changes) {
      const home = this.fleet.homeOf(change.chat);
      if (home && this.isSelf(home)) this.storeHere(change);
      else if (home) this.enqueue(home, change);
    }
    this.startTimers();
  }

  /**
   * Removes a runner that restarted or lost its cache from this daemon's directory.
   *
   * @param runnerId - the runner's name.
   */
  clearRunner(runnerId: string): void {
    this.directory.send({ kind: 'runner_cleared', runnerId });
  }

  /** @returns Methods of the peer service that this feature implements. */
  handlers(): PeerHandlers {
    return {
      askHome: ({ chat, service }) => ({
        warm: this.directory.findWarmRunners(service, chat).map(toWarmRunner),
      }),
      tellHome: ({ changes }) => {
        for (const change of changes.slice(0, this.settings.maximumQueuedChanges)) {
          this.storeHere(change);
        }
        return {};
      },
    };
  }

  /** @returns The number of changes dropped from the full queue since the start. */
  get droppedChanges(): number {
    return this.dropped;
  }

  /** Stops the timers and the directory; queued changes are lost. */
  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
    clearTimeout(this.deferredTimer);
    this.queue.clear();
    this.directory.stop();
  }

  /** Sends urgent changes, up to the limit of one interval, with the deferred changes for the same homes. */
  async flush(): Promise<void> {
    await this.send(this.queue.takeUrgent(this.settings.maximumChangesPerInterval));
  }

  /** Sends deferred changes that no urgent change to the same home has taken along. */
  flushDeferred(): Promise<void> {
    return this.send(this.queue.takeDeferred(this.settings.maximumChangesPerInterval));
  }

  private async askHome(chat: string, service: string): Promise<readonly WarmRunner[]> {
    const home = this.fleet.homeOf(chat);
    if (home && this.isSelf(home))
      return this.directory.findWarmRunners(service, chat).map(toWarmRunner);
    if (!home || this.health.isPaused(this.now(), home.daemonId)) return [];
    try {
      const { warm } = await this.link
        .clientFor(home.daemonId, home.peerAddress)
        .askHome({ chat, service }, { timeoutMs: this.settings.askTimeoutMilliseconds });
      this.health.recordSuccess(home.daemonId);
      return warm;
    } catch {
      // Timeout or unavailable: the request goes on in hash order, which costs only cache reuse.
      this.countFailure(home);
      return [];
    }
  }

  private async send(changes: readonly HomeChange[]): Promise<void> {
    const batches = new Map<string, { home: Member; changes: HomeChange[] }>();
    for (const change of changes) {
      // Computed again, because the members may have changed while the change was queued.
      const home = this.fleet.homeOf(change.chat);
      if (!home || this.health.isPaused(this.now(), home.daemonId)) {
        this.told.forgetChange(change);
      } else if (this.isSelf(home)) {
        this.storeHere(change);
      } else {
        const batch = batches.get(home.daemonId) ?? { home, changes: [] };
        batch.changes.push(change);
        batches.set(home.daemonId, batch);
      }
    }
    this.currentInterval.messages += batches.size;
    await Promise.all([...batches.values()].map((batch) => this.sendBatch(batch)));
  }

  private async sendBatch({ home, changes }: { home: Member; changes: HomeChange[] }) {
    const all = [...changes, ...this.queue.takeDeferredFor(home.daemonId)];
    try {
      await this.link.clientFor(home.daemonId, home.peerAddress).tellHome({ changes: all });
      this.health.recordSuccess(home.daemonId);
    } catch {
      for (const change of all) this.told.forgetChange(change);
      this.countFailure(home);
    }
  }

  private storeHere({ chat, service, runnerId, cachedTokens }: HomeChange): void {
    const longest = Math.max(chat.length, service.length, runnerId.length);
    if (longest > MAXIMUM_NAME_CHARACTERS) return;
    this.directory.send({ kind: 'tell', chat, service, runnerId, cachedTokens });
  }

  private enqueue(home: Member, change: HomeChange): void {
    if (this.stopped) return;
    const news = this.told.classify(this.now(), incarnationKeyOf(home), change);
    if (news !== 'known') this.queue.add(home.daemonId, change, news === 'new');
  }

  /**
   * Starts the timers for queued changes. A chat may return right after its answer, and would miss its warm
   * runner while the change is queued. So the first messages of an interval are sent at once; further changes
   * are batched until the end of the interval.
   */
  private startTimers(): void {
    if (this.stopped || this.queue.size === 0) return;
    const { patientTellMilliseconds } = this.settings;
    this.deferredTimer ??= setTimeout(() => {
      this.deferredTimer = undefined;
      void this.flushDeferred();
      this.startTimers();
    }, patientTellMilliseconds);
    if (this.queue.urgentCount > 0)
      this.timer ??= setTimeout(() => this.onInterval(), this.sendDelay());
  }

  private sendDelay(): number {
    const { tellIntervalMilliseconds, maximumPromptMessages } = this.settings;
    const age = this.now() - this.currentInterval.since;
    if (age >= tellIntervalMilliseconds) this.currentInterval = { messages: 0, since: this.now() };
    const isQuiet = this.currentInterval.messages + this.queue.urgentCount <= maximumPromptMessages;
    return isQuiet ? 0 : tellIntervalMilliseconds;
  }

  private onInterval(): void {
    this.timer = undefined;
    if (this.dropped > 0 && this.queue.size >= this.settings.maximumQueuedChanges) {
      this.log.write(homesLogEvents.changesDropped, { dropped: this.dropped });
    }
    void this.flush();
    this.startTimers();
  }

  private onDropped(change: HomeChange): void {
    this.dropped += 1;
    this.told.forgetChange(change);
  }

  private isSelf({ daemonId }: Member): boolean {
    return daemonId === this.fleet.self().daemonId;
  }

  private countFailure({ daemonId }: Member): void {
    if (!this.health.recordFailure(this.now(), daemonId)) return;
    const milliseconds = this.settings.pauseAfterFailuresMilliseconds;
    this.log.write(homesLogEvents.homePaused, { daemon: daemonId, milliseconds });
  }

  private now(): number {
    return this.clock.monotonicMilliseconds();
  }
}
