/**
 * What is known of the software versions of streams, in the forms in which the store keeps it.
 */

/** Streams that one software version began. */
export interface StreamRecordGroup {
  readonly softwareVersion: string;
  /** Keys of the streams, see `streamKeyOf`. */
  readonly streams: readonly bigint[];
}

/** Records of one bucket. */
export interface StreamRecordBatch {
  /** See `bucketOf`. */
  readonly bucket: number;
  readonly groups: readonly StreamRecordGroup[];
}

/**
 * The software versions that each service has had lately: for each version the Unix ms at which its last runner
 * disappeared, 0 while it has runners.
 */
export type VersionHistory = ReadonlyMap<string, ReadonlyMap<string, number>>;

/** The history as the store has it. */
export interface SavedHistory {
  readonly versions: VersionHistory;
  /** Until when it named all versions at which streams had begun, Unix ms; 0 if the store may have lost a later one. */
  readonly completeAt: number;
}
