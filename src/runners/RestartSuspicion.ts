/**
 * Whether a runner may have started again under its id, before its new entry in the platform's list is known.
 *
 * Connections do not outlive an incarnation, so a connection that the runner's instance has closed is the first evidence.
 * Runners close idle connections for other reasons too, again and again perhaps. So the doubt is about the time after the
 * last moment up to which the same incarnation is proven to have run: by data on a connection that was open before, by the
 * list, read again and again since, or by the runner itself. It ends once that moment is later than the last connection
 * that was closed; it does not end with time, as the list may not be readable.
 */

/** Time within which a list that is read has the entry of a runner that has started again, in ms. */
const KNOWN_MILLISECONDS = 3_000;

/**
 * Longest time between two confirmations of a list that counts as current in between, in ms. After a longer one, runners may
 * not have been able to write their entries either.
 */
const LONGEST_GAP_MILLISECONDS = 2_000;

/** Longest time from the end of an incarnation until its closed connections are noticed, in ms: packets may be lost. */
const NOTICED_MILLISECONDS = 1_000;

/** Longest time until another daemon's first notice of it has arrived, in ms: it waits for proof, and is sent three times. */
const NOTICE_MILLISECONDS = 2_500;

/**
 * Longest time that data may have been on its way when it is read, in ms. Its sender may have ended since: on a congested
 * connection, its instance sends on what is buffered, while the end of an idle one arrives at once.
 */
const TRANSIT_MILLISECONDS = 1_000;

/** What a report of the runner has shown; `outdated`: it was requested before the latest evidence. */
export type ReportFinding = 'same_life' | 'restarted' | 'outdated';

/** Keeps the evidence about one incarnation. */
export class RestartSuspicion {
  private state: 'none' | 'suspected' | 'restarted' = 'none';

  private lastLostAt = Number.NEGATIVE_INFINITY;

  /** Time up to which the incarnation of the entry has certainly run, while there is a doubt; monotonic ms. */
  private provenUntil = Number.NEGATIVE_INFINITY;

  /** Latest confirmation of the list that is known, monotonic ms. */
  private confirmedAt = Number.NEGATIVE_INFINITY;

  /** The first confirmation without a gap up to the latest one, monotonic ms. */
  private currentSince = Number.NEGATIVE_INFINITY;

  /** @returns Whether the runner may have started again, so that its software version is not known. */
  get isSuspected(): boolean {
    return this.state !== 'none';
  }

  /** @returns When a connection was last lost, monotonic ms. */
  get lostAt(): number {
    return this.lastLostAt;
  }

  /** @returns Whether the runner itself has said that it has started again. */
  get hasRestarted(): boolean {
    return this.state === 'restarted';
  }

  /**
   * @param at - monotonic ms.
   * @returns Whether a connection that was opened then has certainly reached the incarnation of the entry.
   */
  isSameLifeAt(at: number): boolean {
    return !this.isSuspected || at <= this.provenUntil;
  }

  /**
   * Records that a connection was closed or refused by the runner's instance.
   *
   * @param now - monotonic ms.
   * @returns Whether the runner was not suspected before.
   */
  record(now: number): boolean {
    return this.suspect(now, now - NOTICED_MILLISECONDS);
  }

  /**
   * Takes another daemon's word for it. A repetition does not prolong the doubt.
   *
   * @param now - monotonic ms.
   * @param options - whether the other daemon's doubt has lasted for an unknown time.
   * @returns Whether the runner was not suspected before.
   */
  recordNotice(now: number, { isLasting = false } = {}): boolean {
    if (this.isSuspected) return false;
    return this.suspect(now, isLasting ? Number.NEGATIVE_INFINITY : now - NOTICE_MILLISECONDS);
  }

  /**
   * Takes data that has arrived from the runner as proof, if it comes from the incarnation of the entry.
   *
   * @param openedAt - when the connection was opened, monotonic ms.
   * @param now - when the data arrived, monotonic ms.
   */
  takeData(openedAt: number, now: number): void {
    if (this.state !== 'suspected' || openedAt > this.provenUntil) return;
    this.prove(now - TRANSIT_MILLISECONDS);
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
    this.prove(confirmedAt - KNOWN_MILLISECONDS);
    return !this.isSuspected;
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
    if (this.state !== 'suspected') return 'outdated';
    this.prove(askedAt);
    return this.isSuspected ? 'outdated' : 'same_life';
  }

  private suspect(now: number, provenUntil: number): boolean {
    const isNew = !this.isSuspected;
    this.lastLostAt = now;
    if (!isNew) return false;
    this.state = 'suspected';
    this.provenUntil = provenUntil;
    this.confirmedAt = now;
    this.currentSince = now;
    return true;
  }

  private prove(until: number): void {
    this.provenUntil = Math.max(this.provenUntil, until);
    if (this.provenUntil >= this.lostAt) this.state = 'none';
  }
}
