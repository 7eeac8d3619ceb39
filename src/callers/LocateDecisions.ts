/**
 * Decides which daemon addresses a caller should use, and for how long it may cache them.
 *
 * If the caller names a chat, the daemon that holds the gate of the runner expected to serve it comes first,
 * which saves a hop between daemons. Otherwise callers are spread over the daemons by weight. An outdated
 * answer costs one hop, but never leads to a wrong result.
 */
import { Decisions } from '../decisions/Decisions.js';
import { weightedOrder } from '../routing/weightedOrder.js';
import type { FirstRunnerPrediction } from './predictFirstRunner.js';

/** A daemon that callers may connect to. */
export interface EntryDaemon {
  readonly id: string;
  /** Address for callers as `host:port`; empty when the daemon serves none. */
  readonly address: string;
  readonly region: string;
  readonly dataCentre: string;
  /** State in the membership: `alive`, `suspect`, `leaving`, `dead` or `left`. */
  readonly state: string;
  /** Work at the gates that the daemon holds, in tokens. */
  readonly load: number;
}

/** Input of the decision. */
export interface LocateMessage {
  readonly kind: 'locate';
  /** Key of the weighted order; different keys give different orders, which spreads the callers. */
  readonly spreadKey: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly daemons: readonly EntryDaemon[];
  /** If the caller names a chat: the runner expected to serve it, and the daemon that holds its gate. */
  readonly gate?: FirstRunnerPrediction & { readonly daemonId: string };
}

/** Why a daemon has its position in the answer. */
export type LocateReason = 'gate' | 'data_centre' | 'region' | 'elsewhere' | 'suspect';

/** One address of the answer. */
export interface LocatedAddress {
  readonly address: string;
  readonly daemonId: string;
  readonly reason: LocateReason;
}

/** Result of the decision. */
export interface LocateAction {
  readonly kind: 'answer';
  /** Addresses by preference: a caller uses the next one when the one before does not respond. */
  readonly addresses: readonly LocatedAddress[];
  /** How long the caller may cache the answer, in seconds. */
  readonly keepSeconds: number;
}

/** Options of {@link LocateDecisions}. */
export interface LocateDecisionsOptions {
  /** How long callers may cache an answer, in seconds. */
  keepSeconds?: number;
  /** The same while any daemon is suspect or leaving, in seconds; at most `keepSeconds`. */
  unsettledKeepSeconds?: number;
  /** Largest number of addresses in one answer. */
  maximumAddresses?: number;
}

const DEFAULT_KEEP_SECONDS = 30;
const DEFAULT_UNSETTLED_KEEP_SECONDS = 5;
const DEFAULT_MAXIMUM_ADDRESSES = 4;

/**
 * Range of the weights, and the weight of a daemon with the mean load. Loads are gossiped and therefore
 * outdated by some time. With unlimited weights all callers would choose the same lightly loaded daemon until
 * the next update, and its load would oscillate; the narrow range dampens this.
 */
const LOWEST_WEIGHT = 1;
const HIGHEST_WEIGHT = 4;
const MEAN_WEIGHT = 2;

/** Reasons by preference. */
const REASONS_BY_PREFERENCE: readonly LocateReason[] = [
  'gate',
  'data_centre',
  'region',
  'elsewhere',
  'suspect',
];

interface RankedDaemon {
  readonly daemon: EntryDaemon;
  readonly reason: LocateReason;
}

/**
 * Classifies a daemon; `undefined` excludes it. A suspect daemon comes last, because it has probably failed and a
 * caller that tries it first would wait for a timeout.
 */
function reasonOf(daemon: EntryDaemon, message: LocateMessage): LocateReason | undefined {
  if (daemon.state === 'suspect') return 'suspect';
  if (daemon.state !== 'alive') return undefined;
  if (daemon.id === message.gate?.daemonId) return 'gate';
  if (daemon.dataCentre === message.dataCentre) return 'data_centre';
  return daemon.region === message.region ? 'region' : 'elsewhere';
}

/** Weighs a daemon inversely to its load. Daemons without load all have the highest weight. */
function weightOf({ load }: EntryDaemon, meanLoad: number): number {
  if (load <= 0) return HIGHEST_WEIGHT;
  return Math.min(HIGHEST_WEIGHT, Math.max(LOWEST_WEIGHT, (MEAN_WEIGHT * meanLoad) / load));
}

function meanLoadOf(daemons: readonly EntryDaemon[]): number {
  const alive = daemons.filter(({ state }) => state === 'alive');
  return alive.reduce((sum, { load }) => sum + load, 0) / Math.max(1, alive.length);
}

/** Groups the usable daemons by their reason; daemons without an address for callers are left out. */
function groupByReason(message: LocateMessage): ReadonlyMap<LocateReason, readonly EntryDaemon[]> {
  const groups = new Map<LocateReason, EntryDaemon[]>();
  for (const daemon of message.daemons) {
    const reason = daemon.address === '' ? undefined : reasonOf(daemon, message);
    const group = reason && groups.get(reason);
    if (group) group.push(daemon);
    else if (reason) groups.set(reason, [daemon]);
  }
  return groups;
}

/** Whether the daemons are in more than one data centre, or there are too few for that. */
function spansDataCentres(kept: readonly RankedDaemon[]): boolean {
  const [first] = kept;
  return (
    kept.length < 2 || kept.some(({ daemon }) => daemon.dataCentre !== first?.daemon.dataCentre)
  );
}

/** Selects and orders addresses; holds no state between decisions. */
export class LocateDecisions extends Decisions<LocateMessage, LocateAction> {
  private readonly keepSeconds: number;

  private readonly unsettledKeepSeconds: number;

  private readonly maximumAddresses: number;

  /**
   * @param options - caching times and the number of addresses.
   */
  constructor({
    keepSeconds = DEFAULT_KEEP_SECONDS,
    unsettledKeepSeconds = DEFAULT_UNSETTLED_KEEP_SECONDS,
    maximumAddresses = DEFAULT_MAXIMUM_ADDRESSES,
  }: LocateDecisionsOptions = {}) {
    super();
    this.keepSeconds = keepSeconds;
    this.unsettledKeepSeconds = Math.min(unsettledKeepSeconds, keepSeconds);
    this.maximumAddresses = maximumAddresses;
  }

  override decide(_now: number, message: LocateMessage): readonly LocateAction[] {
    const { daemons } = message;
    const unsettled = daemons.some(({ state }) => state === 'suspect' || state === 'leaving');
    return [
      {
        kind: 'answer',
        addresses: this.selectAddresses(message).map(({ daemon, reason }) => ({
          address: daemon.address,
          daemonId: daemon.id,
          reason,
        })),
        keepSeconds: unsettled ? this.unsettledKeepSeconds : this.keepSeconds,
      },
    ];
  }

  /**
   * Selects the addresses by preference. If a data centre fails, a caller that only has addresses in this data
   * centre has no daemon left to ask. Therefore the last address is in another data centre, if there is one.
   */
  private selectAddresses(message: LocateMessage): readonly RankedDaemon[] {
    const groups = groupByReason(message);
    const meanLoad = meanLoadOf(message.daemons);
    const kept: RankedDaemon[] = [];
    for (const reason of REASONS_BY_PREFERENCE) {
      const ordered = this.orderByWeight(message.spreadKey, groups.get(reason) ?? [], meanLoad);
      for (const daemon of ordered) {
        const isElsewhere = daemon.dataCentre !== kept[0]?.daemon.dataCentre;
        if (kept.length < this.maximumAddresses) kept.push({ daemon, reason });
        else if (isElsewhere) kept.splice(-1, 1, { daemon, reason });
        if (kept.length >= this.maximumAddresses && spansDataCentres(kept)) return kept;
      }
    }
    return kept;
  }

  /** Orders daemons of equal preference by weight and key, which spreads callers with different keys over them. */
  private orderByWeight(
    spreadKey: string,
    candidates: readonly EntryDaemon[],
    meanLoad: number,
  ): readonly EntryDaemon[] {
    const weighted = candidates.map((daemon) => ({
      ...daemon,
      accelerators: weightOf(daemon, meanLoad),
    }));
    return weightedOrder(spreadKey, weighted, this.maximumAddresses);
  }

  override nextWake(): undefined {
    return undefined;
  }
}
