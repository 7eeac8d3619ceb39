/**
 * The records of all known daemons, with lists derived from them for choosing peers.
 */
import type { MemberRecord } from './membershipTypes.js';
import { bucketOf, MembershipDigest } from './MembershipDigest.js';

/** Lists derived from the records; computed on demand and kept until a state or a data centre changes. */
interface Lists {
  readonly others: readonly string[];
  readonly near: readonly MemberRecord[];
  readonly nearOthers: readonly string[];
  readonly dead: readonly string[];
}

/**
 * @param record - a daemon's record.
 * @returns Whether the daemon is present, that is neither dead nor left.
 */
export function isPresent({ state }: MemberRecord): boolean {
  return state !== 'dead' && state !== 'left';
}

/** Holds the records by daemon name; this daemon's own record is always in it. */
export class MemberTable {
  /** Hashes of the present members, for comparing tables between daemons. */
  readonly picture = new MembershipDigest();

  private readonly records = new Map<string, MemberRecord>();

  private readonly selfId: string;

  private lists: Lists | undefined;

  /**
   * @param self - this daemon's record.
   */
  constructor(self: MemberRecord) {
    this.selfId = self.daemonId;
    this.set(self);
  }

  /** @returns This daemon's record. */
  get self(): MemberRecord {
    return this.records.get(this.selfId)!;
  }

  /** @returns The number of present daemons, this one included. */
  get size(): number {
    return this.currentLists().others.length + 1;
  }

  /**
   * @param daemonId - a daemon's name.
   * @returns Its record, or `undefined`.
   */
  get(daemonId: string): MemberRecord | undefined {
    return this.records.get(daemonId);
  }

  /**
   * Adds a record, or replaces the one with the same daemon name.
   *
   * @param record - the new record.
   */
  set(record: MemberRecord): void {
    const before = this.records.get(record.daemonId);
    this.records.set(record.daemonId, record);
    this.picture.update(before, record);
    const isSame = before?.state === record.state && before.dataCentre === record.dataCentre;
    // Versions change often, and the lists do not depend on them.
    if (!isSame) this.lists = undefined;
  }

  /**
   * Removes a record.
   *
   * @param daemonId - the daemon's name.
   */
  delete(daemonId: string): void {
    const before = this.records.get(daemonId);
    this.records.delete(daemonId);
    this.picture.update(before, undefined);
    this.lists = undefined;
  }

  /** @returns All records. */
  all(): MemberRecord[] {
    return [...this.records.values()];
  }

  /**
   * @param buckets - indexes of hash buckets.
   * @returns The records in these buckets, with those of dead daemons: they may be the ones that differ.
   */
  recordsInBuckets(buckets: ReadonlySet<number>): MemberRecord[] {
    return this.all().filter(({ daemonId }) => buckets.has(bucketOf(daemonId)));
  }

  /** @returns The names of the other daemons that are present. */
  others(): readonly string[] {
    return this.currentLists().others;
  }

  /**
   * @param daemonId - a daemon's name.
   * @returns Whether this is the name of another daemon, and that one is present.
   */
  isPresentOther(daemonId: string): boolean {
    const record = this.records.get(daemonId);
    return daemonId !== this.selfId && record !== undefined && isPresent(record);
  }

  /** @returns The present daemons of this data centre, this one included. */
  dataCentreMembers(): MemberRecord[] {
    return this.currentLists().near.map(({ daemonId }) => this.records.get(daemonId)!);
  }

  /** @returns The names of the other present daemons of this data centre. */
  dataCentreOthers(): readonly string[] {
    return this.currentLists().nearOthers;
  }

  /** @returns The names of the dead daemons whose records are still kept. */
  dead(): readonly string[] {
    return this.currentLists().dead;
  }

  private currentLists(): Lists {
    if (this.lists) return this.lists;
    const { dataCentre } = this.self;
    const present = this.all().filter(isPresent);
    const near = present.filter((record) => record.dataCentre === dataCentre);
    const namesOfOthers = (records: MemberRecord[]) =>
      records.map(({ daemonId }) => daemonId).filter((daemonId) => daemonId !== this.selfId);
    this.lists = {
      others: namesOfOthers(present),
      near,
      nearOthers: namesOfOthers(near),
      dead: namesOfOthers(this.all().filter(({ state }) => state === 'dead')),
    };
    return this.lists;
  }
}
