/**
 * Key layout of the platform's store: the keys of the configuration and of the list of runners.
 */

/** The configuration's head: newest revision and snapshot. It changes only by compare-and-swap. */
export const HEAD_KEY = 'configuration/head';

/** Accepted changes; watchers watch this prefix. */
export const CHANGES_PREFIX = 'configuration/changes/';

/** One key per change id, so that every daemon recognizes a repeated change. */
export const CHANGE_IDS_PREFIX = 'configurationIds/';

/** Chunks of snapshots. They are outside the watched prefix, because they are large. */
export const CHUNKS_PREFIX = 'configurationChunks/';

/** The platform's list of live and leaving instances; an assumption of the project, see docs/INTERFACES.md. */
export const INSTANCES_PREFIX = 'instances/';

/** Number of changes in a block: their keys share a prefix, so that one range call reads them. */
export const CHANGES_PER_BLOCK = 100;

const BLOCK_DIGITS = 10;
const REVISION_DIGITS = 12;
const CHUNK_DIGITS = 4;

/**
 * @param revision - a revision of the configuration.
 * @returns The number of the block that contains its change.
 */
export function blockNumber(revision: number): number {
  return Math.floor(revision / CHANGES_PER_BLOCK);
}

/**
 * @param block - a block's number.
 * @returns The key prefix of the block's changes.
 */
export function blockPrefix(block: number): string {
  return `${CHANGES_PREFIX}${String(block).padStart(BLOCK_DIGITS, '0')}/`;
}

/**
 * @param revision - a revision of the configuration.
 * @returns The key of the change that made it.
 */
export function changeKey(revision: number): string {
  return `${blockPrefix(blockNumber(revision))}${String(revision).padStart(REVISION_DIGITS, '0')}`;
}

/**
 * @param changeId - the id that the change's author chose.
 * @returns The key that stores the revision of the change with this id.
 */
export function changeIdKey(changeId: string): string {
  return `${CHANGE_IDS_PREFIX}${encodeURIComponent(changeId)}`;
}

/**
 * @param snapshotId - the snapshot's id.
 * @param index - number of the chunk, from 0.
 * @returns The chunk's key.
 */
export function chunkKey(snapshotId: string, index: number): string {
  return `${CHUNKS_PREFIX}${snapshotId}/${String(index).padStart(CHUNK_DIGITS, '0')}`;
}

/**
 * @param runnerId - the runner's id.
 * @returns The runner's key in the list of instances.
 */
export function instanceKey(runnerId: string): string {
  return `${INSTANCES_PREFIX}${runnerId}`;
}

/**
 * @param key - a key in the list of instances.
 * @returns The id of the runner that it lists.
 */
export function runnerIdOfKey(key: string): string {
  return key.slice(INSTANCES_PREFIX.length);
}
