/**
 * The queue of membership changes that are piggybacked on gossip messages. Each change is sent a number of
 * times that grows with the logarithm of the fleet's size; the changes sent least often go first (Das, Gupta
 * and Motivala, SWIM, 2002).
 */

/** Options of a {@link Dissemination}. */
export interface DisseminationOptions {
  /** How often this daemon sends each change, as a multiple of the binary logarithm of the fleet's size. */
  transmissionFactor?: number;
}

const DEFAULT_TRANSMISSION_FACTOR = 1.5;

/** Counts for each member with a changed record how often the record was sent. */
export class Dissemination {
  private readonly transmissionFactor: number;

  private readonly transmissions = new Map<string, number>();

  /**
   * @param options - how often a change is sent.
   */
  constructor({ transmissionFactor = DEFAULT_TRANSMISSION_FACTOR }: DisseminationOptions = {}) {
    this.transmissionFactor = transmissionFactor;
  }

  /**
   * Queues a member's record. A record that changes again while it is queued starts over.
   *
   * @param daemonId - the member with the changed record.
   */
  add(daemonId: string): void {
    this.transmissions.set(daemonId, 0);
  }

  /**
   * Removes a member's record from the queue.
   *
   * @param daemonId - the member that is being removed.
   */
  remove(daemonId: string): void {
    this.transmissions.delete(daemonId);
  }

  /**
   * Selects the changes for one message and counts them as sent.
   *
   * @param limit - the largest number of changes.
   * @param members - the fleet's size.
   * @returns The names of the members with the selected changes.
   */
  take(limit: number, members: number): string[] {
    const maximumTransmissions = Math.ceil(this.transmissionFactor * Math.log2(members + 1));
    const chosen = [...this.transmissions]
      .sort(([, sent], [, otherSent]) => sent - otherSent)
      .slice(0, limit);
    for (const [daemonId, sent] of chosen) {
      if (sent + 1 >= maximumTransmissions) this.transmissions.delete(daemonId);
      else this.transmissions.set(daemonId, sent + 1);
    }
    return chosen.map(([daemonId]) => daemonId);
  }

  /** @returns The number of queued changes. */
  get size(): number {
    return this.transmissions.size;
  }
}
