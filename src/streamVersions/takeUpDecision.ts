/**
 * Decides at which software version a stream goes on that its caller takes up again.
 */

/** A software version that a service has had lately. */
export interface SeenVersion {
  readonly softwareVersion: string;
  /** Whether it came after the start of the daemon that tells of it; streams that began before then are of other versions. */
  readonly isNewSinceStart: boolean;
}

/** What a daemon knows of a stream. */
export interface StreamVersionView {
  /** Version that began the stream; `undefined` if the daemon has no record of it. */
  readonly recorded: string | undefined;
  /**
   * All versions that the daemon has known lately at the service; `undefined` if it cannot tell, because it is of a build
   * that does not say them or has not read them yet.
   */
  readonly versions: readonly SeenVersion[] | undefined;
  /** Whether the daemon gets the record of each such stream that begins while it runs. */
  readonly isKeeper: boolean;
  /** Versions of the runners that have the stream's prompt cached, as far as the daemon has been told. */
  readonly promptVersions: readonly string[];
}

/** Input of {@link decideTakeUp}. */
export interface TakeUpInput {
  readonly own: StreamVersionView;
  /** Answers of other daemons. */
  readonly others: readonly StreamVersionView[];
  /** Whether the list of runners is current, so that no version is missing from it. */
  readonly isListCurrent: boolean;
  /** Number of daemons that keep records of the stream. */
  readonly keepers: number;
  /** Whether this daemon knows all versions at which the stream may have begun, from the store or by having run for long. */
  readonly isHistoryComplete: boolean;
  /** Whether the stream has a prompt, and runners have listed theirs. */
  readonly arePromptsListed: boolean;
}

/**
 * `recorded`: a daemon has a record of the stream; `cached_prompt`: only runners of this version have read the last part of
 * its prompt, which belongs to its request; `only_version`: the service has had one version only, so that no
 * record is needed; `only_possible_version`: the others came after the start of daemons that would have a record;
 * `unknown`: the version is not known, and any choice would be a guess.
 */
export type TakeUpEvidence =
  'recorded' | 'cached_prompt' | 'only_version' | 'only_possible_version' | 'unknown';

/** The version, and by what evidence it is known. */
export type TakeUpDecision =
  | { readonly evidence: Exclude<TakeUpEvidence, 'unknown'>; readonly softwareVersion: string }
  | { readonly evidence: 'unknown'; readonly softwareVersion?: undefined };

/** Keepers without a record that rule a version out; one of them may have lost the message. */
const KEEPERS_THAT_RULE_OUT = 2;

/**
 * @param input - what this daemon and others know.
 * @returns The version, and by what evidence.
 */
export function decideTakeUp(input: TakeUpInput): TakeUpDecision {
  const { own, others, isListCurrent, isHistoryComplete } = input;
  const views = [own, ...others];
  const recorded = views.find((view) => view.recorded !== undefined)?.recorded;
  if (recorded !== undefined) return { evidence: 'recorded', softwareVersion: recorded };
  const cachedAt = new Set(views.flatMap(({ promptVersions }) => promptVersions));
  const [onlyCachedAt] = cachedAt;
  if (onlyCachedAt !== undefined && cachedAt.size === 1) {
    return { evidence: 'cached_prompt', softwareVersion: onlyCachedAt };
  }
  // Without the store and without any other daemon, the list may be older than the stream.
  const isConfirmed = isListCurrent || others.length > 0;
  if (!isConfirmed || !isHistoryComplete || views.some(({ versions }) => versions === undefined)) {
    return { evidence: 'unknown' };
  }
  const seen = new Set(
    views.flatMap(({ versions = [] }) => versions.map((one) => one.softwareVersion)),
  );
  const [only] = seen;
  if (only !== undefined && seen.size === 1)
    return { evidence: 'only_version', softwareVersion: only };
  // Ruling out rests on what the store was told. The runners have said more.
  if (input.arePromptsListed) return { evidence: 'unknown' };
  const needed = Math.min(KEEPERS_THAT_RULE_OUT, Math.max(1, input.keepers));
  const isRuledOut = (version: string) =>
    views.filter(
      ({ isKeeper, versions = [] }) =>
        isKeeper && versions.some((one) => one.softwareVersion === version && one.isNewSinceStart),
    ).length >= needed;
  const possible = [...seen].filter((version) => !isRuledOut(version));
  const [softwareVersion] = possible;
  if (softwareVersion === undefined || possible.length > 1) return { evidence: 'unknown' };
  return { evidence: 'only_possible_version', softwareVersion };
}
