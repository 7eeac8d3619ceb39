/**
 * The probes that have no result yet: direct ones, and indirect ones that other daemons make for this one.
 */

/** Why a daemon is called. */
export type ProbeReason = 'round' | 'seed' | 'revive' | 'dispute' | 'comparison' | 'urgent';

interface DirectProbe {
  readonly daemonId: string;
  readonly reason: ProbeReason;
}

interface IndirectProbe {
  readonly daemonId: string;
  readonly refused: boolean;
  /** Daemons that were asked and have not reported yet. */
  open: number;
}

/** The state of an indirect probe after a report: reports are missing or one was positive, or all failed. */
export type IndirectOutcome =
  | { readonly kind: 'waiting' }
  | { readonly kind: 'nobody_reached'; readonly daemonId: string; readonly refused: boolean };

const WAITING: IndirectOutcome = { kind: 'waiting' };

/** Numbers probes and matches results to them. A result for an unknown number is late and is ignored. */
export class PendingProbes {
  private readonly direct = new Map<number, DirectProbe>();

  private readonly indirect = new Map<number, IndirectProbe>();

  private lastNumber = 0;

  /**
   * Registers a direct probe.
   *
   * @param daemonId - the daemon that is called; empty for a seed.
   * @param reason - why it is called.
   * @returns The probe's number.
   */
  open(daemonId: string, reason: ProbeReason): number {
    this.lastNumber += 1;
    this.direct.set(this.lastNumber, { daemonId, reason });
    return this.lastNumber;
  }

  /**
   * Ends a direct probe.
   *
   * @param probe - the probe's number.
   * @returns The probe, or `undefined` if it was discarded before.
   */
  close(probe: number): DirectProbe | undefined {
    const found = this.direct.get(probe);
    this.direct.delete(probe);
    return found;
  }

  /**
   * @param daemonId - a daemon's name.
   * @returns Whether a direct or indirect probe of it is pending.
   */
  isOpen(daemonId: string): boolean {
    const isSame = (probe: { readonly daemonId: string }) => probe.daemonId === daemonId;
    return [...this.direct.values()].some(isSame) || [...this.indirect.values()].some(isSame);
  }

  /**
   * Registers an indirect probe.
   *
   * @param daemonId - the daemon that is probed.
   * @param refused - whether its host refused the connection of the direct probe.
   * @param asked - the number of daemons that are asked to probe it.
   * @returns The number under which all of them report.
   */
  openIndirect(daemonId: string, refused: boolean, asked: number): number {
    this.lastNumber += 1;
    this.indirect.set(this.lastNumber, { daemonId, refused, open: asked });
    return this.lastNumber;
  }

  /**
   * Records the report of one daemon. A daemon that could not be asked counts as one with a failed probe.
   *
   * @param probe - the number of the indirect probe.
   * @param answered - whether the probed daemon answered.
   * @returns The state of the indirect probe.
   */
  reportIndirect(probe: number, answered: boolean): IndirectOutcome {
    const found = this.indirect.get(probe);
    if (!found) return WAITING;
    found.open -= 1;
    if (answered || found.open <= 0) this.indirect.delete(probe);
    if (answered || found.open > 0) return WAITING;
    return { kind: 'nobody_reached', daemonId: found.daemonId, refused: found.refused };
  }

  /**
   * Discards all probes: after a pause of this process neither an answer nor a timeout says anything about a
   * peer.
   */
  clear(): void {
    this.direct.clear();
    this.indirect.clear();
  }
}
