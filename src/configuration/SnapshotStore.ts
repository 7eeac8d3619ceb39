/**
 * Whole documents at the platform: cut into chunks below the value limit, written before the head names them.
 */
import { fromBinary, toBinary } from '@bufbuild/protobuf';

import { ConfigurationSnapshotSchema } from '../generated/baobabdock/v1/changes_pb.js';
import type { ConfigurationHead } from '../generated/baobabdock/v1/changes_pb.js';
import type { PlatformStore, StoreEntry } from '../store/PlatformStore.js';
import { InconsistentStoreError } from './configurationErrors.js';
import { CHUNKS_PREFIX, HEAD_KEY, chunkKey } from './configurationKeys.js';
import { ConfigurationState } from './ConfigurationState.js';

/** Bytes of one chunk: below the platform's largest value with room to spare. */
export const CHUNK_BYTES = 900_000;

/** Keys that one transaction removes; below the usual limit of operations in one. */
const DELETES_PER_TRANSACTION = 100;

/** Chunks that were written, with what proves that they are still there. */
export interface WrittenSnapshot {
  readonly snapshotId: string;
  readonly revision: number;
  readonly chunks: readonly { readonly key: string; readonly modifiedRevision: number }[];
}

/** Reads, writes and cleans chunks. */
export class SnapshotStore {
  private readonly store: PlatformStore;

  /**
   * @param options - the platform's store.
   */
  constructor({ store }: { store: PlatformStore }) {
    this.store = store;
  }

  /**
   * @param head - the head that names the snapshot.
   * @returns The state it holds; the empty one when there is none yet.
   * @throws {@link InconsistentStoreError} when chunks are missing or do not fit.
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
   * Writes the chunks of a state; nothing refers to them yet.
   *
   * @param state - what to write.
   * @param snapshotId - a name never used before.
   * @returns What the head's change has to be conditioned on.
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
   * Removes chunks that no head names: of older snapshots, and of writers that died halfway.
   *
   * A writer may be between its chunks and its head. The removal holds only while the head is unchanged,
   * and the writer's head is conditioned on its chunks: one of the two fails, so a head never names chunks
   * that are gone, which would leave cold daemons without a configuration.
   *
   * @param readHead - reads the head; called after the keys were listed.
   * @returns How many were removed.
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
   * @param keys - keys to remove while the head is unchanged.
   * @param headRevision - the store's revision of the head.
   * @returns How many were removed.
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
