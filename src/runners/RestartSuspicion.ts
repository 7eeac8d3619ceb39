/**
 * Whether a runner may have started again under its id, before its new entry in the platform's list is known.
 *
 * Connections do not outlive an incarnation, so a connection that the runner's instance has closed is the first evidence.
 * The doubt does not end with time, as the list may not be readable: it ends when the list, read again and again since, still
 * has the same entry, or when the runner itself says which incarnation it is.
 */

/** Time within which a list that is read has the entry of a runner that has started again, in ms. */
const KNOWN_MILLISECONDS = 3_000;

/**
 * Longest time between two confirmations of a list that counts as current in between, in ms. After a longer one, runners may
 * not have been able to write their entries either.
 */
const LONGEST_GAP_MILLISECONDS = 2_000;

/** What a report of the runner has shown; `outdated`: it was requested before the latest evidence. */
export type ReportFinding = 'same_life' | 'restarted' | 'outdated';

/** Keeps the evidence about one incarnation. */
export class RestartSuspicion {
  private state: 'none' | 'suspected' | 'restarted' = 'none';

  private lostAt = Number.NEGATIVE_INFINITY;

  /** Latest confirmation of the list that is known, monotonic ms. */
  private confirmedAt = Number.NEGATIVE_INFINITY;

  /** The first confirmation without a gap up to the latest one, monotonic ms. */
  private currentSince = Number.NEGATIVE_INFINITY;

  /** @returns Whether the runner may have started again, so that its software version is not known. */
  get isSuspected(): boolean {
    return this.state !== 'none';
  }

  /** @returns Whether the runner itself has said that it has started again. */
  get hasRestarted(): boolean {
    return this.state === 'restarted';
  }

  /**
   * Records that a connection was closed or refused by the runner's instance.
   *
   * @param now - monotonic ms.
   * @returns Whether the runner was not suspected before.
   */
  record(now: number): boolean {
    const isNew = !this.isSuspected;
    if (isNew) this.state = 'suspected';
    this.lostAt = now;
    this.confirmedAt = now;
    this.currentSince = now;
    return isNew;
  }

  /**
   * Takes another daemon's word for it. A repetition does not prolong the doubt.
   *
   * @param now - monotonic ms.
   * @returns Whether the runner was not suspected before.
   */
  recordNotice(now: number): boolean {
    return this.isSuspected ? false : this.record(now);
  }

  /**
   * Ends the doubt if the list has been current for long enough since it began.
   *
   * @param confirmedAt - last moment at which the list, which has the runner's entry, was known to be current; monotonic ms.
   * @returns Whether the doubt has ended.
   */
  confirmListed(confirmedAt: number): boolean {
    if (this.state !== 'suspected' || confirmedAt <= this.confirmedAt) return false;
    if (confirmedAt - this.confirmedAt > LONGEST_GAP_MILLISECONDS) this.currentSince = confirmedAt;
    this.confirmedAt = confirmedAt;
    if (confirmedAt - this.currentSince < KNOWN_MILLISECONDS) return false;
    this.state = 'none';
    return true;
  }

  /**
   * Takes the runner's own report.
   *
   * @param isSameLife - whether it is from the incarnation of the entry.
   * @param askedAt - when it was requested, monotonic ms.
   * @returns What it shows. A runner that has started again stays suspected until its new entry replaces it.
   */
  takeReport(isSameLife: boolean, askedAt: number): ReportFinding {
    if (!isSameLife) {
      this.state = 'restarted';
      return 'restarted';
    }
    if (askedAt < this.lostAt || this.state !== 'suspected') return 'outdated';
    this.state = 'none';
    return 'same_life';
  }
}
