/**
 * Times at which runners of each software version last answered requests with a subject: what was answered does not crash
 * runners.
 */
import { setLatest } from '../collections/setLatest.js';
import { heapShare } from '../memory/heapShare.js';
import type { CrashSubject, VersionAnswer } from './quarantineTypes.js';
import { keyOfPart } from './requestSubjects.js';

/** Share of the heap that the entries of one version may take. */
const HEAP_SHARE = 1 / 100;

/** Memory of an entry, in bytes. */
const ENTRY_BYTES = 96;

/** Maximum number of software versions; those that answered last. */
const MAXIMUM_VERSIONS = 3;

/** A request is known by its digest, a part of prompts by its key, which takes less memory. */
type AnswerKey = string | number;

/** Keeps the latest answers. */
export class RecentAnswers {
  private readonly maximumEntries = Math.floor(heapShare(HEAP_SHARE) / ENTRY_BYTES);

  /** Time of the last answer of each subject, in monotonic ms, the oldest first; by the hash of the version. */
  private readonly byVersion = new Map<number, Map<AnswerKey, number>>();

  /**
   * @param keys - digests of requests, or keys of parts.
   * @param answer - the answer of a runner.
   */
  record(keys: Iterable<AnswerKey>, { versionHash, at }: VersionAnswer): void {
    const answeredAt = this.byVersion.get(versionHash) ?? new Map<AnswerKey, number>();
    setLatest(this.byVersion, versionHash, answeredAt, MAXIMUM_VERSIONS);
    for (const key of keys) setLatest(answeredAt, key, at, this.maximumEntries);
  }

  /**
   * @param subject - a subject.
   * @param versionHash - hash of a software version.
   * @returns When a runner of this version last answered it, in monotonic ms; `undefined` if no answer is known.
   */
  of({ digest, part }: CrashSubject, versionHash: number): number | undefined {
    return this.ofKey(part === undefined ? digest : keyOfPart(digest), versionHash);
  }

  /**
   * @param key - digest of a request, or key of a part.
   * @param versionHash - hash of a software version.
   * @returns When a runner of this version last answered it, in monotonic ms; `undefined` if no answer is known.
   */
  ofKey(key: AnswerKey, versionHash: number): number | undefined {
    return this.byVersion.get(versionHash)?.get(key);
  }
}
