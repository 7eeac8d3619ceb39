/**
 * Times at which runners of each software version last answered requests with a subject: what was answered does not crash
 * runners.
 */
import { setLatest } from '../collections/setLatest.js';
import type { VersionAnswer } from './quarantineTypes.js';

/** Maximum number of entries; holds some minutes of a daemon's requests with their parts. */
const MAXIMUM_ENTRIES = 8_192;

function keyOf(digest: string, versionHash: number): string {
  return `${digest}@${versionHash}`;
}

/** Keeps the latest answers. */
export class RecentAnswers {
  /** Time of the last answer by digest and version, in monotonic ms; the oldest first. */
  private readonly answeredAt = new Map<string, number>();

  /**
   * @param digest - digest of a subject.
   * @param answer - the answer of a runner.
   */
  record(digest: string, { versionHash, at }: VersionAnswer): void {
    setLatest(this.answeredAt, keyOf(digest, versionHash), at, MAXIMUM_ENTRIES);
  }

  /**
   * @param digest - digest of a subject.
   * @param versionHash - hash of a software version.
   * @returns When a runner of this version last answered it, in monotonic ms; `undefined` if no answer is known.
   */
  of(digest: string, versionHash: number): number | undefined {
    return this.answeredAt.get(keyOf(digest, versionHash));
  }
}
