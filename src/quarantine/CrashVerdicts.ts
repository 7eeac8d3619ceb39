/**
 * The verdicts in force: what explains the crashes that count at the moment.
 */
import type { CrashRecord } from './CrashRecord.js';
import { CrashMoments } from './CrashMoments.js';
import { crashWeight } from './crashWeight.js';
import type { CrashSuspect } from './crashWeight.js';
import {
  explainCrashes,
  isExplainedByPart,
  nextSettledAt,
  withUnexplained,
} from './explainCrashes.js';
import type { CrashVerdict } from './explainCrashes.js';
import type { CrashSubject, RunnerCrash } from './quarantineTypes.js';

/** Maximum number of subjects that the listeners are told of at once; a prompt may have thousands of parts. */
const MAXIMUM_TOLD = 32;

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

  /** Records with more than one crash; some of these may be of one moment. */
  private readonly repeated = new Map<string, CrashRecord>();

  private readonly moments = new CrashMoments();

  private verdicts: readonly CrashVerdict[] = [];

  private digests: ReadonlySet<string> = new Set();

  /** Whether a record has changed since the verdicts were last computed. */
  private isStale = false;

  /** When reports that the verdicts wait for have arrived or are lost, in monotonic ms. */
  private reviewAt = Number.POSITIVE_INFINITY;

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
   * @param record - record of a request.
   * @param parts - digests of the parts of its prompt.
   * @param now - monotonic ms.
   * @returns Whether a part of other prompts explains its crashes better.
   */
  isExplainedElsewhere(record: CrashRecord, parts: ReadonlySet<string>, now: number): boolean {
    const others = [...this.repeated.values()].filter(({ digest }) => !parts.has(digest));
    return isExplainedByPart(suspectOf(record), others.map(suspectOf), now);
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
    const isRepeated = record.countedCrashes.length > 1;
    if (isRepeated || this.repeated.has(digest)) this.isStale = true;
    if (isRepeated) this.repeated.set(digest, record);
    else this.repeated.delete(digest);
  }

  /**
   * @param digest - digest of a subject whose record was dropped.
   */
  forget(digest: string): void {
    if (this.repeated.delete(digest)) this.isStale = true;
  }

  /**
   * Computes the verdicts again if records have changed or enough time has passed, and tells the listeners.
   *
   * @param now - monotonic ms.
   * @returns Whether they were computed.
   */
  refresh(now: number): boolean {
    if (!this.isStale && now < this.reviewAt) return false;
    const before = { verdicts: this.verdicts, digests: this.digests };
    const { weigh } = this;
    const suspects = [...this.repeated.values()].map(suspectOf);
    this.verdicts = explainCrashes(suspects, { weigh, now });
    this.isStale = false;
    this.reviewAt = nextSettledAt(suspects, now);
    this.digests = new Set(this.verdicts.flatMap(({ digests }) => digests));
    this.tell(before.digests, new Set(before.verdicts.map(keyOf)));
    return true;
  }

  private readonly weigh = (suspect: CrashSuspect): number => crashWeight(suspect, this.moments);

  private tell(digestsBefore: ReadonlySet<string>, keysBefore: ReadonlySet<string>): void {
    const { digests, verdicts, options } = this;
    const released = [...digestsBefore].filter((digest) => !digests.has(digest));
    const added = [...digests].filter((digest) => !digestsBefore.has(digest));
    for (const digest of released.slice(0, MAXIMUM_TOLD)) options.onReleased(digest);
    for (const digest of added.slice(0, MAXIMUM_TOLD)) options.onQuarantined(digest);
    for (const verdict of verdicts) if (!keysBefore.has(keyOf(verdict))) options.onVerdict(verdict);
  }
}
