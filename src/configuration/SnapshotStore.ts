/**
 * Stores snapshots of the configuration, split into chunks below the store's limit for values. A snapshot's
 * chunks are written before the head references them.
 */
import { fromBinary, toBinary } from '@bufbuild/protobuf';

import { ConfigurationSnapshotSchema } from '../generated/baobabdock/v1/changes_pb.js';
import type { ConfigurationHead } from '../generated/baobabdock/v1/changes_pb.js';
import type { PlatformStore, StoreEntry } from '../store/PlatformStore.js';
import { InconsistentStoreError } from './configurationErrors.js';
import { CHUNKS_PREFIX, HEAD_KEY, chunkKey } from './configurationKeys.js';
import { ConfigurationState } from './ConfigurationState.js';

/** Bytes of one chunk: well below the largest value that the store accepts. */
export const CHUNK_BYTES = 900_000;

/** Keys that one transaction removes; below the usual limit of operations in a transaction. */
const DELETES_PER_TRANSACTION = 100;

/** A written snapshot, with the store revision of each chunk to verify that the chunk still exists. */
export interface WrittenSnapshot {
  readonly snapshotId: string;
  readonly revision: number;
  readonly chunks: readonly { readonly key: string; readonly modifiedRevision: number }[];
}

/** Reads, writes and removes the chunks of snapshots. */
export class SnapshotStore {
  private readonly store: PlatformStore;

  /**
   * @param options - the platform's store.
   */
  constructor({ store }: { store: PlatformStore }) {
    this.store = store;
  }

  /**
   * Reads the snapshot that a head references.
   *
   * @param head - the head.
   * @returns The state in the snapshot; the empty state if there is no snapshot yet.
   * @throws {@link InconsistentStoreError} if a chunk is missing, or digest or revision do not match.
   */
  async read(head: ConfigurationHead): Promise<ConfigurationState> {
    if (head.snapshotChunks === 0) return ConfigurationState.EMPTY;
    const chunks: Uint8Array[] = [];
    for (let index = 0; index < head.snapshotChunks; index += 1) {
      const { entry } = await this.store.get(chunkKey(head.snapshotId, index));
      if (!entry) throw new InconsistentStoreError(`chunk ${index} of ${head.snapshotId} is gone`);
      chunks.push(entry.value);
    }
    const snapshot = fromBinary(ConfigurationSnapshotSchema, Buffer.concat(chunks));
    const state = ConfigurationState.fromSnapshot(snapshot);
    if (state.digest !== snapshot.digest || BigInt(state.revision) !== head.snapshotRevision)
      throw new InconsistentStoreError(`snapshot ${head.snapshotId} is not what the head names`);
    return state;
  }

  /**
   * Writes the chunks of a state. The head does not reference them yet.
   *
   * @param state - the state to write.
   * @param snapshotId - an id that was never used before.
   * @returns The chunks; the transaction that changes the head has to be conditioned on them.
   */
  async write(state: ConfigurationState, snapshotId: string): Promise<WrittenSnapshot> {
    const bytes = toBinary(ConfigurationSnapshotSchema, state.toSnapshot());
    const chunks = [];
    for (let start = 0; start === 0 || start < bytes.length; start += CHUNK_BYTES) {
      const key = chunkKey(snapshotId, chunks.length);
      const value = bytes.subarray(start, start + CHUNK_BYTES);
      const result = await this.store.transact({
        expected: [{ key, modifiedRevision: 0 }],
        writes: [{ kind: 'put', key, value }],
      });
      if (result.kind === 'conflict') throw new InconsistentStoreError(`${key} exists already`);
      chunks.push({ key, modifiedRevision: result.revision });
    }
    return { snapshotId, revision: state.revision, chunks };
  }

  /**
   * Removes chunks that the head does not reference: those of older snapshots, and of writers that stopped
   * halfway.
   *
   * Another writer may have written its chunks but not yet its head. The removal is conditioned on an unchanged
   * head, and the writer's head on its chunks, so one of the two transactions fails. The head therefore never
   * references removed chunks, which would leave starting daemons without a configuration.
   *
   * @param readHead - reads the head; called after the keys have been listed.
   * @returns The number of removed chunks.
   */
  async removeUnreferenced(
    readHead: () => Promise<{ entry: StoreEntry | undefined; head: ConfigurationHead }>,
  ): Promise<number> {
    const { entries } = await this.store.range(CHUNKS_PREFIX, { keysOnly: true });
    const { entry, head } = await readHead();
    const kept = `${CHUNKS_PREFIX}${head.snapshotId}/`;
    const unreferenced = entries.filter(({ key }) => !key.startsWith(kept));
    return this.remove(
      unreferenced.map(({ key }) => key),
      entry?.modifiedRevision ?? 0,
    );
  }

  /**
   * Removes keys as long as the head does not change.
   *
   * @param keys - the keys to remove.
   * @param headRevision - the store revision of the head.
   * @returns The number of removed keys.
   */
  async remove(keys: readonly string[], headRevision: number): Promise<number> {
    for (let start = 0; start < keys.length; start += DELETES_PER_TRANSACTION) {
      const part = keys.slice(start, start + DELETES_PER_TRANSACTION);
      const result = await this.store.transact({
        expected: [{ key: HEAD_KEY, modifiedRevision: headRevision }],
        writes: part.map((key) => ({ kind: 'delete', key })),
      });
      if (result.kind === 'conflict') return start;
    }
    return keys.length;
  }
}
