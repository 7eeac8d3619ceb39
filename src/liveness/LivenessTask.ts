/**
 * Runs the failure detector: probes and asks other daemons, and broadcasts which ones this daemon found unresponsive.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import { MessageKind, SilentDaemonsSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { PathReports } from '../handover/PathReports.js';
import type { Log } from '../logging/Log.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { Clock } from '../time/Clock.js';
import { LivenessDecisions } from './LivenessDecisions.js';
import { livenessLogEvents } from './livenessFeature.js';
import type { LivenessPeers } from './LivenessPeers.js';
import type { LivenessAction, LivenessDuties } from './livenessTypes.js';

/**
 * A daemon is suspected after this multiple of the longest normal pause between two of its messages.
 */
const QUIET_FACTOR = 1.2;

/** Maximum number of daemon names in one log line. */
const MAXIMUM_LOGGED_NAMES = 12;

/** Options of a {@link LivenessTask}. */
export interface LivenessTaskOptions {
  /** This daemon's name. */
  daemon: string;
  knowledge: FleetKnowledge;
  socket: FleetSocket;
  clock: Clock;
  log: Log;
  /** Sends probes and questions to other daemons. */
  peers: LivenessPeers;
  /** Returns this daemon's current duties. */
  duties: () => LivenessDuties;
  /** Returns the addresses of all other daemons. */
  others: () => readonly HostAndPort[];
  /** Longest normal pause between two messages of a daemon, in ms. */
  longestPauseMilliseconds: () => number;
  /** Daemons that reach no runner; broadcast together with the unresponsive ones. */
  pathReports: Pick<PathReports, 'recordBroadcast' | 'nextBroadcast'>;
}

/** Owns the tick timer and the pending requests. */
export class LivenessTask {
  private readonly options: LivenessTaskOptions;

  private readonly decisions: LivenessDecisions;

  private timer: NodeJS.Timeout | undefined;

  /**
   * Change counts of the daemon list and of the set of unavailable daemons when the duties were last assigned.
   */
  private assignedState = '';

  /**
   * @param options - this daemon and what the detector depends on.
   */
  constructor(options: LivenessTaskOptions) {
    const { daemon, knowledge, longestPauseMilliseconds, socket } = options;
    this.options = options;
    this.decisions = new LivenessDecisions({
      daemon,
      canHear: () => knowledge.secret !== undefined,
      random: Math.random,
      quietMilliseconds: () => QUIET_FACTOR * longestPauseMilliseconds(),
    });
    socket.handle(MessageKind.SILENT_DAEMONS, (message) => {
      const { daemon: broadcaster, silent, withoutPath } = fromBinary(SilentDaemonsSchema, message);
      if (broadcaster === daemon) return;
      this.decisions.takeBroadcast(broadcaster, silent, this.now);
      options.pathReports.recordBroadcast(withoutPath, this.now);
    });
  }

  /** @returns How often the set of unavailable daemons has changed. */
  get changes(): number {
    return this.decisions.changes;
  }

  /** @returns Number of listed daemons that are unavailable. */
  get unavailableCount(): number {
    return this.decisions.unavailableNames.size;
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  /** Starts the ticks. */
  start(): void {
    this.timer = setTimeout(() => {
      this.tick();
      this.start();
    }, this.decisions.tickMilliseconds);
  }

  /** Stops the ticks. */
  stop(): void {
    clearTimeout(this.timer);
  }

  /**
   * @param name - name of a listed daemon.
   * @returns Whether it has died, does not answer, or is stopping.
   */
  isUnavailable(name: string): boolean {
    return this.decisions.isUnavailable(name);
  }

  /**
   * Records that a message has arrived from a daemon.
   *
   * @param name - name of the sender.
   * @param isLeaving - whether it is stopping; `undefined` if the message does not say so.
   */
  recordMessage(name: string, isLeaving?: boolean): void {
    this.decisions.recordMessage(name, this.now, isLeaving);
  }

  /** Records that another message was sent to all other daemons. */
  recordOtherBroadcast(): void {
    this.decisions.recordOtherBroadcast(this.now);
  }

  /**
   * Records a call to the store that was answered as quickly as a daemon would answer.
   *
   * @param calledAt - start of the call, in monotonic ms.
   */
  recordStoreAnswer(calledAt: number): void {
    this.decisions.recordStoreAnswer(calledAt);
  }

  /**
   * @param names - names of daemons that another daemon asks about.
   * @returns This daemon's opinions of them.
   */
  opinionsOn(names: readonly string[]) {
    return this.decisions.opinionsOn(names, this.now);
  }

  /**
   * @returns The unresponsive daemons that callers of this daemon are told of; `undefined` if it is not a
   * broadcaster.
   */
  get unresponsiveHashes(): readonly number[] | undefined {
    return this.decisions.unresponsiveHashes;
  }

  private tick(): void {
    this.assign();
    for (const action of this.decisions.tick(this.now)) this.perform(action);
  }

  private assign(): void {
    const { knowledge, duties } = this.options;
    const state = `${knowledge.daemonListChanges} ${this.decisions.changes}`;
    if (state === this.assignedState) return;
    this.assignedState = state;
    this.decisions.assign(duties(), this.now);
  }

  private perform(action: LivenessAction): void {
    switch (action.kind) {
      case 'probe':
        void this.probe(action.daemon);
        break;
      case 'ask':
        void this.ask(action.helper, action.daemons);
        break;
      case 'tell':
        this.broadcast(action.silent);
        break;
      default:
        this.logChange('daemonsOut', action.silent);
        this.logChange('daemonsBack', action.back);
    }
  }

  private async probe(name: string): Promise<void> {
    const { knowledge, peers } = this.options;
    const address = knowledge.daemons.get(name)?.peerAddress;
    if (address === undefined) {
      this.decisions.recordProbeResult(name, 'timeout', this.now);
      return;
    }
    const { outcome, silent } = await peers.probe(name, address);
    this.decisions.recordProbeResult(name, outcome, this.now);
    if (silent) this.decisions.takeBroadcast(name, silent, this.now);
  }

  private async ask(helper: string, names: readonly string[]): Promise<void> {
    const { knowledge, peers } = this.options;
    const address = knowledge.daemons.get(helper)?.peerAddress;
    if (address === undefined) return;
    const opinions = await peers.ask(address, names);
    if (opinions) this.decisions.takeOpinions(opinions, this.now);
  }

  private broadcast(silent: readonly number[]): void {
    const { daemon, socket, others, pathReports } = this.options;
    const withoutPath = pathReports.nextBroadcast(this.now);
    const message = create(SilentDaemonsSchema, { daemon, silent: [...silent], withoutPath });
    const bytes = toBinary(SilentDaemonsSchema, message);
    socket.send(MessageKind.SILENT_DAEMONS, bytes, others());
  }

  private logChange(event: keyof typeof livenessLogEvents, names: readonly string[]): void {
    if (names.length === 0) return;
    const daemons = names.slice(0, MAXIMUM_LOGGED_NAMES);
    const out = this.unavailableCount;
    this.options.log.write(livenessLogEvents[event], { daemons, count: names.length, out });
  }
}
