/**
 * The verdicts in force: what explains the crashes that count at the moment.
 */
import type { CrashRecord } from './CrashRecord.js';
import { CrashMoments } from './CrashMoments.js';
import { crashWeight } from './crashWeight.js';
import type { CrashSuspect } from './crashWeight.js';
import { explainCrashes, QUARANTINE_CRASHES, withUnexplained } from './explainCrashes.js';
import type { CrashVerdict } from './explainCrashes.js';
import type { CrashSubject, RunnerCrash } from './quarantineTypes.js';

/** Listeners for changes. */
export interface CrashVerdictsOptions {
  /** Called when a subject is quarantined. */
  onQuarantined?: (digest: string) => void;
  /** Called when a subject is no longer quarantined. */
  onReleased?: (digest: string) => void;
  /** Called when requests with all of the subjects must no longer run. */
  onVerdict?: (verdict: CrashVerdict) => void;
}

function suspectOf({ digest, part, countedCrashes }: CrashRecord): CrashSuspect {
  return { digest, part, crashes: countedCrashes };
}

function keyOf({ digests }: CrashVerdict): string {
  return digests.join();
}

/** Keeps the verdicts up to date with the records. */
export class CrashVerdicts {
  private readonly options: Required<CrashVerdictsOptions>;

  /** Records with enough crashes for a quarantine. */
  private readonly candidates = new Map<string, CrashRecord>();

  private readonly moments = new CrashMoments();

  private verdicts: readonly CrashVerdict[] = [];

  private digests: ReadonlySet<string> = new Set();

  /** Whether a candidate has changed since the verdicts were last computed. */
  private isStale = false;

  /**
   * @param options - the listeners.
   */
  constructor(options: CrashVerdictsOptions = {}) {
    this.options = {
      onQuarantined: () => undefined,
      onReleased: () => undefined,
      onVerdict: () => undefined,
      ...options,
    };
  }

  /** @returns Digests of the quarantined subjects. */
  get quarantined(): ReadonlySet<string> {
    return this.digests;
  }

  /**
   * @param subjects - subjects of a request.
   * @returns Why the request must not run; `undefined` if it may.
   */
  against(subjects: readonly CrashSubject[]): CrashVerdict | undefined {
    if (this.verdicts.length === 0) return undefined;
    const held = new Set(subjects.map(({ digest }) => digest));
    return this.verdicts.find(({ digests }) => digests.every((digest) => held.has(digest)));
  }

  /**
   * @param digest - digest of a quarantined subject.
   * @returns Digests of the subjects that cannot be told apart from it, itself included.
   */
  groupOf(digest: string): readonly string[] {
    return this.verdicts.find(({ digests }) => digests.includes(digest))?.digests ?? [];
  }

  /**
   * @param record - record of a subject.
   * @returns How much speaks against it, without the crashes that another quarantined subject explains.
   */
  weightOf(record: CrashRecord): number {
    return this.weigh(withUnexplained(this.verdicts, suspectOf(record)));
  }

  /**
   * @param record - record of a subject.
   * @returns The weight of all its crashes, those that no longer count included.
   */
  weighAll(record: CrashRecord): number {
    const { digest, part, crashes } = record.toSummary();
    return this.weigh({ digest, part, crashes });
  }

  /**
   * Notes a crash, possibly a known one. Verdicts in force stay as they are until one of their subjects changes.
   *
   * @param crash - the crash.
   */
  noteCrash(crash: RunnerCrash): void {
    this.moments.add(crash);
  }

  /**
   * Notes that the crashes that count against a subject have changed.
   *
   * @param record - its record.
   */
  note(record: CrashRecord): void {
    const { digest } = record;
    const isCandidate = this.weigh(suspectOf(record)) >= QUARANTINE_CRASHES;
    if (isCandidate || this.candidates.has(digest)) this.isStale = true;
    if (isCandidate) this.candidates.set(digest, record);
    else this.candidates.delete(digest);
  }

  /**
   * @param digest - digest of a subject whose record was dropped.
   */
  forget(digest: string): void {
    if (this.candidates.delete(digest)) this.isStale = true;
  }

  /**
   * Computes the verdicts again if records have changed, and tells the listeners.
   *
   * @returns Whether they were computed.
   */
  refresh(): boolean {
    if (!this.isStale) return false;
    this.isStale = false;
    const before = { verdicts: this.verdicts, digests: this.digests };
    this.verdicts = explainCrashes([...this.candidates.values()].map(suspectOf), this.weigh);
    this.digests = new Set(this.verdicts.flatMap(({ digests }) => digests));
    this.tell(before.digests, new Set(before.verdicts.map(keyOf)));
    return true;
  }

  private readonly weigh = (suspect: CrashSuspect): number => crashWeight(suspect, this.moments);

  private tell(digestsBefore: ReadonlySet<string>, keysBefore: ReadonlySet<string>): void {
    const { digests, verdicts, options } = this;
    for (const digest of digestsBefore) if (!digests.has(digest)) options.onReleased(digest);
    for (const digest of digests) if (!digestsBefore.has(digest)) options.onQuarantined(digest);
    for (const verdict of verdicts) if (!keysBefore.has(keyOf(verdict))) options.onVerdict(verdict);
  }
}
