/**
 * The platform's store as a daemon sees it: facts about the configuration, runners and daemons, with a
 * revision that grows with each change. An adapter supplies calls and coding.
 */
import type { RoutingConfiguration } from '../routes/routeTypes.js';
import type { RunnerEntry } from '../runners/Runner.js';
import type { WarmPlace } from '../runners/WarmPlaces.js';

/** One daemon of the fleet, as it registers itself. */
export interface DaemonEntry {
  readonly name: string;
  readonly dataCentre: string;
  /** IP number and port for callers. */
  readonly callerAddress: string;
  /** IP number and port for other daemons' questions. */
  readonly peerAddress: string;
  /** IP number and UDP port for other daemons' news. */
  readonly newsAddress: string;
  /** Of its instance, in Mbit/s. */
  readonly linkMegabits?: number | undefined;
}

/** What one key of the store says. */
type StoreStatement =
  | { readonly kind: 'configuration'; readonly configuration: RoutingConfiguration }
  | { readonly kind: 'runner'; readonly runner: RunnerEntry }
  | {
      readonly kind: 'runner_gone';
      readonly id: string;
      /** Another daemon has waited long enough, or knows that the store was not away. */
      readonly isCertain?: boolean;
    }
  /** The entry is missing, and may be back: another daemon believes that the store was away. */
  | { readonly kind: 'runner_lapsed'; readonly id: string }
  /** Something is registered under a runner's id that is no entry of a runner. */
  | { readonly kind: 'runner_unreadable'; readonly id: string; readonly message: string }
  | { readonly kind: 'daemon'; readonly daemon: DaemonEntry }
  | { readonly kind: 'daemon_gone'; readonly name: string }
  /** Operators want the runners of a data centre to get nothing more, until they take the order back. */
  | { readonly kind: 'evacuation'; readonly dataCentre: string }
  | { readonly kind: 'evacuation_over'; readonly dataCentre: string }
  /** Something stands in place of an order that is none; what was known of the data centre holds. */
  | {
      readonly kind: 'evacuation_unreadable';
      readonly dataCentre: string;
      readonly message: string;
    }
  /** The secret by which daemons know each other's messages. */
  | { readonly kind: 'secret'; readonly secret: string }
  /** Where shared prompts are cached, as one of the daemons has kept it. */
  | { readonly kind: 'warm_places'; readonly places: readonly WarmPlace[] }
  /** Requests that are kept from runners, as one of the daemons has written them. */
  | { readonly kind: 'quarantine'; readonly page: string }
  /** Decoded without success; it changes nothing and is reported. */
  | { readonly kind: 'unreadable'; readonly key: string; readonly message: string };

/** Something that the store says is so, or is so no more. */
export type StoreFact = StoreStatement & {
  /** The store's revision of this change; missing where another daemon told it. */
  readonly revision?: number;
};

/** What a read of the store gives. */
export interface StoreRead {
  /** The store's revision that the facts belong to. */
  readonly revision: number;
  readonly facts: readonly StoreFact[];
}

/** A part of all that the store holds. */
export interface StorePage extends StoreRead {
  /** Where the next part begins; missing in the last one. */
  readonly next?: string | undefined;
}

/** The store no longer has the changes since a revision; everything has to be read anew. */
export class HistoryLost extends Error {
  override readonly name = 'HistoryLost';
}

/** The lease under which a daemon is registered is not there any more. */
export class RegistrationLost extends Error {
  override readonly name = 'RegistrationLost';
}

/** Reads and writes the store. Every call fails by itself when no answer comes. */
export abstract class FleetStore {
  /**
   * Pages are no snapshot: changes since the revision of the first one are read again, and come in order. The first one
   * holds all that is no runner, unless the fleet has hundreds of daemons.
   *
   * @param from - where the page begins; the first one where it is left out.
   * @returns A part of everything.
   */
  abstract readPage(from?: string): Promise<StorePage>;

  /**
   * @param revision - of the last read.
   * @param waitMilliseconds - how long the store may wait for a change.
   * @returns What has changed since; nothing when the wait ends first.
   * @throws {@link HistoryLost}
   */
  abstract readChanges(revision: number, waitMilliseconds: number): Promise<StoreRead>;

  /** @returns The configuration that the operators have written last, if there is one. */
  abstract readConfiguration(): Promise<RoutingConfiguration | undefined>;

  /**
   * Registers a daemon under a lease.
   *
   * @param daemon - what others need to know of it.
   * @param lifeMilliseconds - until it counts as gone without a renewal.
   * @returns Names the registration in the other calls.
   */
  abstract register(daemon: DaemonEntry, lifeMilliseconds: number): Promise<string>;

  /**
   * @param registration - from {@link register}.
   * @throws {@link RegistrationLost}
   */
  abstract renew(registration: string): Promise<void>;

  /**
   * Makes a secret the one of the fleet, unless it has one already.
   *
   * @param secret - random text.
   */
  abstract proposeSecret(secret: string): Promise<void>;

  /**
   * Keeps where shared prompts are cached, for daemons that start later.
   *
   * @param places - the last write wins.
   */
  abstract saveWarmPlaces(places: readonly WarmPlace[]): Promise<void>;

  /**
   * Keeps which requests are kept from runners, for daemons that start later.
   *
   * @param page - in the daemons' own format; the last write wins.
   */
  abstract saveQuarantine(page: string): Promise<void>;

  /**
   * @param registration - from {@link register}; the daemon is gone for everybody else at once.
   */
  abstract withdraw(registration: string): Promise<void>;
}
