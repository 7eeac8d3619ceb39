/**
 * The crash records of a daemon, by subject, within a bound in bytes.
 */
import { heapShare } from '../memory/heapShare.js';
import type { CrashRecord } from './CrashRecord.js';
import type { CrashSubject } from './quarantineTypes.js';
import { keyOfPart } from './requestSubjects.js';
import type { RequestSubjects } from './requestSubjects.js';

/** Share of the heap that all records may take; those with the fewest crashes are dropped first. */
const HEAP_SHARE = 1 / 32;

/** Memory of a record, in bytes. */
const RECORD_BYTES = 480;

/** Share of the records that is left when some are dropped, so that this happens seldom. */
const KEPT_SHARE = 3 / 4;

/** Finds records by digest, and those of parts by their key too. */
export class CrashRecords {
  private readonly maximum = Math.floor(heapShare(HEAP_SHARE) / RECORD_BYTES);

  private readonly byDigest = new Map<string, CrashRecord>();

  private readonly partsByKey = new Map<number, CrashRecord>();

  /** @returns Whether a part has a record. */
  get hasParts(): boolean {
    return this.partsByKey.size > 0;
  }

  /** @returns All records. */
  get all(): Iterable<CrashRecord> {
    return this.byDigest.values();
  }

  /** @returns Whether there are more records than memory for them. */
  get isFull(): boolean {
    return this.byDigest.size > this.maximum;
  }

  /**
   * @param digest - digest of a subject.
   * @returns Its record, or `undefined`.
   */
  of(digest: string): CrashRecord | undefined {
    return this.byDigest.get(digest);
  }

  /**
   * @param key - key of a part.
   * @returns Its record, or `undefined`.
   */
  ofPart(key: number): CrashRecord | undefined {
    return this.partsByKey.get(key);
  }

  /**
   * @param subjects - subjects of a request.
   * @returns The request as a whole, then the parts of its prompt that have a record; the others are sound.
   */
  recordedAmong({ whole, partKeys }: RequestSubjects): CrashSubject[] {
    if (!this.hasParts) return [whole];
    const records = [...partKeys].map((key) => this.partsByKey.get(key));
    return [whole, ...records.filter((record) => record !== undefined)];
  }

  /**
   * @param record - a record, possibly a known one.
   */
  add(record: CrashRecord): void {
    this.byDigest.set(record.digest, record);
    if (record.part !== undefined) this.partsByKey.set(keyOfPart(record.digest), record);
  }

  /**
   * @param digest - digest of a subject.
   */
  delete(digest: string): void {
    if (this.byDigest.get(digest)?.part !== undefined) this.partsByKey.delete(keyOfPart(digest));
    this.byDigest.delete(digest);
  }

  /** @returns The records to be dropped: those with the fewest crashes, the oldest first. */
  excess(): readonly CrashRecord[] {
    const kept = Math.floor(this.maximum * KEPT_SHARE);
    const fewestCrashesFirst = [...this.byDigest.values()]
      .map((record) => ({ record, crashes: record.countedCrashes.length, at: record.updatedAt }))
      .sort((one, other) => one.crashes - other.crashes || one.at - other.at);
    const count = Math.max(0, fewestCrashesFirst.length - kept);
    return fewestCrashesFirst.slice(0, count).map(({ record }) => record);
  }
}
