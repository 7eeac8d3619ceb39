/**
 * The requests in flight at this daemon, by what they have in common.
 */
import type { CrashSubject } from './quarantineTypes.js';
import { keyOfPart } from './requestSubjects.js';
import type { RequestSubjects } from './requestSubjects.js';

/** Called when an in-flight request may have to end because a verdict concerns one of its subjects. */
export type QuarantineListener = () => void;

/** Tells whether a request has one of some subjects. */
type SubjectMatcher = (subjects: RequestSubjects) => boolean;

function matcherOf(wanted: readonly CrashSubject[]): SubjectMatcher {
  const digests = new Set(wanted.map(({ digest }) => digest));
  const parts = wanted.filter(({ part }) => part !== undefined);
  const keys = new Set(parts.map(({ digest }) => keyOfPart(digest)));
  return ({ whole, partKeys }) =>
    digests.has(whole.digest) || (keys.size > 0 && partKeys.some((key) => keys.has(key)));
}

/**
 * Keeps the listeners of the requests. Subjects are looked for only after a crash, so that there is no index of them, which
 * would take much more memory than their keys.
 */
export class InFlightSubjects {
  private readonly subjectsOf = new Map<QuarantineListener, RequestSubjects>();

  /**
   * @param subjects - subjects of a request that is about to be sent to runners.
   * @param listener - called when it may have to end.
   */
  add(subjects: RequestSubjects, listener: QuarantineListener): void {
    this.subjectsOf.set(listener, subjects);
  }

  /**
   * @param listener - listener of a request that has ended.
   */
  delete(listener: QuarantineListener): void {
    this.subjectsOf.delete(listener);
  }

  /**
   * @param wanted - subjects of any requests.
   * @returns Whether a request has one of them.
   */
  hasAny(wanted: readonly CrashSubject[]): boolean {
    if (wanted.length === 0) return false;
    const matches = matcherOf(wanted);
    for (const subjects of this.subjectsOf.values()) if (matches(subjects)) return true;
    return false;
  }

  /**
   * @param wanted - a subject.
   * @returns Number of requests with it.
   */
  countOf(wanted: CrashSubject): number {
    return [...this.subjectsOf.values()].filter(matcherOf([wanted])).length;
  }

  /**
   * Calls the listeners of all requests with a subject.
   *
   * @param wanted - the subject.
   */
  notify(wanted: CrashSubject): void {
    const matches = matcherOf([wanted]);
    for (const [listener, subjects] of [...this.subjectsOf]) if (matches(subjects)) listener();
  }
}
