/**
 * A small fleet of membership decisions in virtual time, for specs. The spec controls time, links, message
 * losses and pauses.
 */
import type { DecisionStep } from '../decisions/DecisionTask.js';
import { MembershipDecisions } from './MembershipDecisions.js';
import type { MembershipTuning } from './membershipOptions.js';
import type {
  Gossip,
  MemberRecord,
  MembershipAction,
  MembershipMessage,
  MemberState,
} from './membershipTypes.js';

/** Whether a message may pass from one daemon to another. */
export type LinkRule = (from: string, to: string) => boolean;

/** Step of the virtual time, and delay of each message. */
const STEP_MILLISECONDS = 50;

/** The empty message of an indirect probe. */
const EMPTY_GOSSIP: Gossip = {
  kind: 'delta',
  members: [],
  pictureHash: 0,
  bucketHashes: [],
  news: [],
  summaries: [],
  configurationRevision: 0,
  runnersRevision: 0,
};

interface TestDaemon {
  decisions: MembershipDecisions;
  record: MemberRecord;
  paused: boolean;
  /** Messages that arrived during a pause; they are delivered afterwards, as from a kernel's socket buffers. */
  inbox: MembershipMessage[];
  actions: MembershipAction[];
  steps: DecisionStep<MembershipMessage, MembershipAction>[];
}

/** Options of a {@link TestFleet}. */
export interface TestFleetOptions {
  /** Names of the daemons; the part before the dash is the region, and each region has one data centre. */
  names: readonly string[];
  tuning?: Partial<MembershipTuning>;
  /** Random numbers from 0 up to 1 that decide which messages are lost. */
  random?: () => number;
  loss?: number;
}

/**
 * @param name - for example `rosario-1`.
 * @param incarnation - the incarnation of its process.
 * @returns The daemon's record at its start.
 */
export function testRecord(name: string, incarnation = 1): MemberRecord {
  const [region = ''] = name.split('-');
  return {
    daemonId: name,
    incarnation,
    version: 1,
    state: 'alive',
    peerAddress: `${name}:7400`,
    callerAddress: `${name}:8080`,
    region,
    dataCentre: `${region}-centre`,
    firm: 'litoral',
  };
}

/** Runs the daemons; time passes only in {@link TestFleet.run}. */
export class TestFleet {
  now = 0;

  /** The current state of the links. */
  canDeliver: LinkRule = () => true;

  readonly daemons = new Map<string, TestDaemon>();

  private readonly tuning: Partial<MembershipTuning>;

  private readonly random: () => number;

  /** Share of messages that are lost. */
  loss: number;

  private deliveries: { readonly at: number; readonly run: () => void }[] = [];

  private exchanges = new Map<string, (gossip: Gossip) => void>();

  private lastExchange = 0;

  /**
   * @param options - the daemons, their tuning and the losses.
   */
  constructor({ names, tuning = {}, random = () => 1, loss = 0 }: TestFleetOptions) {
    this.tuning = tuning;
    this.random = random;
    this.loss = loss;
    for (const name of names) this.start(name);
  }

  /**
   * Starts a daemon, or restarts it with a newer incarnation.
   *
   * @param name - the daemon's name.
   * @param incarnation - the incarnation of its process.
   */
  start(name: string, incarnation = 1): void {
    const record = testRecord(name, incarnation);
    const seed = this.daemons.size + incarnation * 100;
    const decisions = new MembershipDecisions({ self: record, seed, tuning: this.tuning });
    const daemon = { decisions, record, paused: false, inbox: [], actions: [], steps: [] };
    this.daemons.set(name, daemon);
    const seeds = [...this.daemons.keys()].filter((other) => other !== name);
    this.deliver(name, { kind: 'start', seeds: seeds.slice(0, 3).map((other) => `${other}:7400`) });
  }

  /**
   * Ends a daemon without an announcement.
   *
   * @param name - the daemon's name.
   */
  kill(name: string): void {
    this.daemons.delete(name);
  }

  /**
   * Pauses a daemon, or resumes it and delivers the messages that arrived in the meantime.
   *
   * @param name - the daemon's name.
   * @param paused - whether it is paused from now on.
   */
  pause(name: string, paused: boolean): void {
    const daemon = this.daemons.get(name)!;
    daemon.paused = paused;
    if (!paused) for (const message of daemon.inbox.splice(0)) this.deliver(name, message);
  }

  /**
   * Advances the virtual time and delivers messages and clock ticks.
   *
   * @param milliseconds - by how much.
   */
  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += STEP_MILLISECONDS;
      const due = this.deliveries.filter(({ at }) => at <= this.now);
      this.deliveries = this.deliveries.filter(({ at }) => at > this.now);
      for (const { run } of due) run();
      for (const [name, { decisions, paused }] of this.daemons) {
        const wake = decisions.nextWake();
        if (!paused && wake !== undefined && wake <= this.now) this.deliver(name, { kind: 'tick' });
      }
    }
  }

  /**
   * Delivers a message to the decisions of a daemon and performs the resulting actions.
   *
   * @param name - the daemon's name.
   * @param message - the message.
   */
  deliver(name: string, message: MembershipMessage): void {
    const daemon = this.daemons.get(name);
    if (!daemon) return;
    if (daemon.paused) {
      daemon.inbox.push(message);
      return;
    }
    const actions = daemon.decisions.decide(this.now, message);
    daemon.steps.push({ at: this.now, message, actions });
    daemon.actions.push(...actions);
    for (const action of actions) this.perform(name, action);
  }

  /**
   * @param name - the daemon's name.
   * @returns The states that it has of all daemons it knows, by daemon name.
   */
  statesSeenBy(name: string): Record<string, MemberState> {
    const members = this.daemons.get(name)!.decisions.members();
    return Object.fromEntries(members.map(({ daemonId, state }) => [daemonId, state]));
  }

  /** @returns Whether every running daemon has exactly the running ones as alive. */
  get hasConverged(): boolean {
    const running = [...this.daemons.keys()].sort().join();
    return [...this.daemons.keys()].every((name) => {
      const view = Object.entries(this.statesSeenBy(name)).filter(([, state]) => state === 'alive');
      return (
        view
          .map(([member]) => member)
          .sort()
          .join() === running
      );
    });
  }

  /**
   * @param name - the daemon's name.
   * @param kind - the kind of the actions.
   * @returns The actions of this kind that the daemon has returned so far.
   */
  actionsOf<Kind extends MembershipAction['kind']>(
    name: string,
    kind: Kind,
  ): Extract<MembershipAction, { kind: Kind }>[] {
    const { actions } = this.daemons.get(name)!;
    return actions.filter(
      (action): action is Extract<MembershipAction, { kind: Kind }> => action.kind === kind,
    );
  }

  private perform(from: string, action: MembershipAction): void {
    if (action.kind === 'answer') {
      this.exchanges.get(`${from} ${action.exchange}`)?.(action.gossip);
    } else if (action.kind === 'gossip') {
      const { probe, peerAddress, gossip, timeoutMilliseconds } = action;
      this.call(from, peerAddress, gossip, timeoutMilliseconds, (end) =>
        this.deliver(
          from,
          typeof end === 'boolean'
            ? { kind: 'gossip_failed', probe, refused: end }
            : { kind: 'gossip_answered', probe, ...end },
        ),
      );
    } else if (action.kind === 'probe_for') {
      this.probeFor(from, action);
    }
  }

  private probeFor(from: string, action: Extract<MembershipAction, { kind: 'probe_for' }>): void {
    const { probe, through, peerAddress, timeoutMilliseconds } = action;
    let open = true;
    const report = (answered: boolean) => {
      if (open) this.deliver(from, { kind: 'probe_for_ended', probe, answered });
      open = false;
    };
    this.schedule(2 * timeoutMilliseconds, () => report(false));
    this.transmit(from, through, () => {
      if (!this.isRunning(through)) return;
      this.call(through, peerAddress, EMPTY_GOSSIP, timeoutMilliseconds, (end) => {
        this.transmit(through, from, () => report(typeof end !== 'boolean'));
      });
    });
  }

  /** Calls `finish` with the answer, or with whether the host refused the connection. */
  private call(
    from: string,
    peerAddress: string,
    gossip: Gossip,
    timeoutMilliseconds: number,
    finish: (end: { from: string; gossip: Gossip } | boolean) => void,
  ): void {
    const [to = ''] = peerAddress.split(':');
    let open = true;
    const end = (result: { from: string; gossip: Gossip } | boolean) => {
      if (open) finish(result);
      open = false;
    };
    this.schedule(timeoutMilliseconds, () => end(false));
    this.transmit(from, to, () => {
      if (!this.daemons.has(to)) {
        end(true);
        return;
      }
      this.lastExchange += 1;
      const exchange = this.lastExchange;
      this.exchanges.set(`${to} ${exchange}`, (answer) => {
        this.transmit(to, from, () => end({ from: to, gossip: answer }));
      });
      this.deliver(to, { kind: 'gossip_received', exchange, from, gossip });
    });
  }

  private transmit(from: string, to: string, arrive: () => void): void {
    if (!this.canDeliver(from, to) || this.random() < this.loss) return;
    this.schedule(STEP_MILLISECONDS, arrive);
  }

  private schedule(milliseconds: number, run: () => void): void {
    this.deliveries.push({ at: this.now + milliseconds, run });
  }

  private isRunning(name: string): boolean {
    return this.daemons.get(name)?.paused === false;
  }
}
