/**
 * Orders the daemons that a request may be handed over to: near ones that took the last requests come first, and one
 * that refused or did not answer is left out for a while.
 */
import type { DaemonEntry } from '../sync/FleetStore.js';

/** How long a daemon that refused is left out, in ms; its own path may be back then. */
const REFUSAL_MILLISECONDS = 1_000;

/** How long a daemon that took a request counts as one that takes the next, in ms; longer than most partitions last. */
const ACCEPTANCE_MILLISECONDS = 30_000;

/** With fewer accepting daemons than this, others are tried as well, so that the requests spread over all of them. */
const SPREAD_DAEMONS = 4;

/** Share of the requests for which others are tried. */
const TRIAL_SHARE = 0.25;

/** What the choice depends on. */
export interface PeerQuestion {
  /** The daemons that are available, without this one. */
  readonly daemons: readonly DaemonEntry[];
  /** Names of daemons that were asked for this request already. */
  readonly asked: ReadonlySet<string>;
  /** Whether a daemon is known to reach no runner. */
  readonly hasNoPath: (name: string) => boolean;
  /** Monotonic ms. */
  readonly now: number;
}

/** Options of {@link HandOverPeers}. */
export interface HandOverPeersOptions {
  /** Data centre of this daemon. */
  dataCentre: string;
  /** Returns random numbers from 0 up to 1. */
  random?: () => number;
}

/** Remembers how other daemons answered. */
export class HandOverPeers {
  private readonly dataCentre: string;

  private readonly random: () => number;

  private readonly refusedAt = new Map<string, number>();

  private readonly acceptedAt = new Map<string, number>();

  /** When daemons last left a question unanswered; they are asked where no other daemon is left. */
  private readonly unansweredAt = new Map<string, number>();

  /**
   * @param options - this daemon's data centre, and the random numbers.
   */
  constructor({ dataCentre, random = Math.random }: HandOverPeersOptions) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  /**
   * @param name - a daemon that did not take a request.
   * @param now - monotonic ms.
   */
  recordRefused(name: string, now: number): void {
    this.refusedAt.set(name, now);
    this.acceptedAt.delete(name);
  }

  /**
   * @param name - a daemon that did not answer in time; it may be busy, or dead.
   * @param now - monotonic ms.
   */
  recordUnanswered(name: string, now: number): void {
    this.unansweredAt.set(name, now);
    this.acceptedAt.delete(name);
  }

  /**
   * @param name - a daemon that took a request.
   * @param now - monotonic ms.
   */
  recordAccepted(name: string, now: number): void {
    this.unansweredAt.delete(name);
    this.acceptedAt.set(name, now);
    this.refusedAt.delete(name);
  }

  /**
   * @param name - a daemon that took a request and had no room for it; it is not preferred to others for that.
   */
  recordFull(name: string): void {
    this.acceptedAt.delete(name);
  }

  /**
   * Chooses at random among the best daemons, so that the requests of many daemons spread.
   *
   * @param question - the daemons, and what was tried for this request.
   * @returns The daemon to ask next; `undefined` if none is left.
   */
  choose(question: PeerQuestion): DaemonEntry | undefined {
    const { daemons, asked, hasNoPath, now } = question;
    const open = daemons.filter(({ name }) => !asked.has(name) && !this.hasRefused(name, now));
    const hopeful = open.filter(({ name }) => !hasNoPath(name));
    const answering = hopeful.filter(({ name }) => !this.isUnanswered(name, now));
    const best = this.best(answering.length > 0 ? answering : hopeful, now);
    return best[Math.floor(this.random() * best.length)];
  }

  private best(daemons: readonly DaemonEntry[], now: number): readonly DaemonEntry[] {
    const near = daemons.filter(({ dataCentre }) => dataCentre === this.dataCentre);
    const accepts = ({ name }: DaemonEntry) => this.hasAccepted(name, now);
    const accepting = near.filter(accepts);
    const isTrial = accepting.length < SPREAD_DAEMONS && this.random() < TRIAL_SHARE;
    const groups = [...(isTrial ? [near] : []), accepting, daemons.filter(accepts), near, daemons];
    return groups.find((group) => group.length > 0) ?? [];
  }

  private isUnanswered(name: string, now: number): boolean {
    return now - (this.unansweredAt.get(name) ?? Number.NEGATIVE_INFINITY) < REFUSAL_MILLISECONDS;
  }

  private hasRefused(name: string, now: number): boolean {
    return now - (this.refusedAt.get(name) ?? Number.NEGATIVE_INFINITY) < REFUSAL_MILLISECONDS;
  }

  private hasAccepted(name: string, now: number): boolean {
    return now - (this.acceptedAt.get(name) ?? Number.NEGATIVE_INFINITY) < ACCEPTANCE_MILLISECONDS;
  }
}
