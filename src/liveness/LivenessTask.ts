/**
 * Carries out what the failure detector decides: calls other daemons, and tells them whom this one has found silent.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import { MessageKind, SilentDaemonsSchema } from '../generated/baobabdock/v1/news_pb.js';
import type { HostAndPort } from '../http/parseAddress.js';
import type { Log } from '../logging/Log.js';
import type { FleetSocket } from '../news/FleetSocket.js';
import type { FleetKnowledge } from '../sync/FleetKnowledge.js';
import type { Clock } from '../time/Clock.js';
import { LivenessDecisions } from './LivenessDecisions.js';
import { livenessLogEvents } from './livenessFeature.js';
import type { LivenessPeers } from './LivenessPeers.js';
import type { LivenessAction, LivenessDuties } from './livenessTypes.js';

/** From so many times the longest pause between two messages of a daemon on something is wrong. */
const QUIET_FACTOR = 1.2;

/** Names in one line of the log. */
const MAXIMUM_NAMES = 12;

/** Options of a {@link LivenessTask}. */
export interface LivenessTaskOptions {
  /** This daemon's name. */
  daemon: string;
  knowledge: FleetKnowledge;
  socket: FleetSocket;
  clock: Clock;
  log: Log;
  /** Calls other daemons. */
  peers: LivenessPeers;
  /** Whom this daemon watches, as things are now. */
  duties: () => LivenessDuties;
  /** All other daemons. */
  others: () => readonly HostAndPort[];
  /** Longest pause between two messages of a daemon, in ms. */
  longestPauseMilliseconds: () => number;
}

/** Owns the timer and the calls under way. */
export class LivenessTask {
  private readonly options: LivenessTaskOptions;

  private readonly decisions: LivenessDecisions;

  private timer: NodeJS.Timeout | undefined;

  /** How often the list and the set of those out of use had changed when the duties were assigned. */
  private assignedAt = '';

  /**
   * @param options - the daemon and its means.
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
      const { daemon: teller, silent } = fromBinary(SilentDaemonsSchema, message);
      if (teller !== daemon) this.decisions.takeTold(teller, silent, this.now);
    });
  }

  /** @returns How often it has changed who is out of use. */
  get changes(): number {
    return this.decisions.changes;
  }

  /** @returns How many listed daemons are out of use. */
  get outCount(): number {
    return this.decisions.outNames.size;
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  /** Watches from now on. */
  start(): void {
    this.timer = setTimeout(() => {
      this.tick();
      this.start();
    }, this.decisions.tickMilliseconds);
  }

  /** Watches no more. */
  stop(): void {
    clearTimeout(this.timer);
  }

  /**
   * @param name - of a listed daemon.
   * @returns Whether it has died, does not answer or stops.
   */
  isOut(name: string): boolean {
    return this.decisions.isOut(name);
  }

  /**
   * @param name - of a daemon that has sent something.
   * @param isLeaving - whether it stops; `undefined` where the message does not say so.
   */
  heard(name: string, isLeaving?: boolean): void {
    this.decisions.heard(name, this.now, isLeaving);
  }

  /** All others have been sent another message. */
  toldOtherwise(): void {
    this.decisions.toldOtherwise(this.now);
  }

  /**
   * @param calledAt - when a call to the store was made that was answered as quickly as a daemon would, monotonic ms.
   */
  storeAnswered(calledAt: number): void {
    this.decisions.storeAnswered(calledAt);
  }

  /**
   * @param names - of daemons that another one asks about.
   * @returns The answer.
   */
  opinionsOn(names: readonly string[]) {
    return this.decisions.opinionsOn(names, this.now);
  }

  /** @returns What those that call this daemon are told, where it is one of those that tell. */
  get toldSilences(): readonly number[] | undefined {
    return this.decisions.toldSilences;
  }

  private tick(): void {
    this.assign();
    for (const action of this.decisions.tick(this.now)) this.perform(action);
  }

  private assign(): void {
    const { knowledge, duties } = this.options;
    const state = `${knowledge.daemonChanges} ${this.decisions.changes}`;
    if (state === this.assignedAt) return;
    this.assignedAt = state;
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
        this.tell(action.silent);
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
      this.decisions.probeEnded(name, 'timeout', this.now);
      return;
    }
    const { outcome, silent } = await peers.probe(name, address);
    this.decisions.probeEnded(name, outcome, this.now);
    if (silent) this.decisions.takeTold(name, silent, this.now);
  }

  private async ask(helper: string, names: readonly string[]): Promise<void> {
    const { knowledge, peers } = this.options;
    const address = knowledge.daemons.get(helper)?.peerAddress;
    if (address === undefined) return;
    const opinions = await peers.ask(address, names);
    if (opinions) this.decisions.takeOpinions(opinions, this.now);
  }

  private tell(silent: readonly number[]): void {
    const { daemon, socket, others } = this.options;
    const message = create(SilentDaemonsSchema, { daemon, silent: [...silent] });
    const bytes = toBinary(SilentDaemonsSchema, message);
    socket.send(MessageKind.SILENT_DAEMONS, bytes, others());
  }

  private logChange(event: keyof typeof livenessLogEvents, names: readonly string[]): void {
    if (names.length === 0) return;
    const daemons = names.slice(0, MAXIMUM_NAMES);
    const out = this.outCount;
    this.options.log.write(livenessLogEvents[event], { daemons, count: names.length, out });
  }
}
