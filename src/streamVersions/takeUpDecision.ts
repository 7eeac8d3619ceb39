/**
 * Decides at which software version a stream goes on that its caller takes up again.
 */

/** What another daemon knows of a stream. */
export interface StreamVersionView {
  /** Version that began the stream; `undefined` if the daemon has no record of it. */
  readonly recorded: string | undefined;
  /** The only version that the daemon has seen lately at the service; `undefined` if there are several or none. */
  readonly only: string | undefined;
}

/** Input of {@link decideTakeUp}. */
export interface TakeUpInput {
  readonly own: StreamVersionView;
  /** Answers of other daemons. */
  readonly others: readonly StreamVersionView[];
  /** Whether the list of runners is current, so that no version is missing from it. */
  readonly isListCurrent: boolean;
}

/**
 * `recorded`: a daemon has a record of the stream; `only_version`: the service has had one version only, so that no
 * record is needed; `unknown`: the version is not known, and any choice would be a guess.
 */
export type TakeUpDecision =
  | { readonly evidence: 'recorded' | 'only_version'; readonly softwareVersion: string }
  | { readonly evidence: 'unknown'; readonly softwareVersion?: undefined };

/**
 * @param input - what this daemon and others know.
 * @returns The version, and by what evidence.
 */
export function decideTakeUp({ own, others, isListCurrent }: TakeUpInput): TakeUpDecision {
  const recorded = [own, ...others].find((view) => view.recorded !== undefined)?.recorded;
  if (recorded !== undefined) return { evidence: 'recorded', softwareVersion: recorded };
  const { only } = own;
  const isContradicted = others.some((view) => view.only !== only);
  // Without the store and without any other daemon, the list may be older than the stream.
  const isConfirmed = isListCurrent || others.length > 0;
  if (only === undefined || isContradicted || !isConfirmed) return { evidence: 'unknown' };
  return { evidence: 'only_version', softwareVersion: only };
}
