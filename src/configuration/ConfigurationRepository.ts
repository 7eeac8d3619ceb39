/**
 * Access to the configuration in the platform's store: the head, one key per change, and a snapshot in chunks.
 */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import {
  ConfigurationChangeSchema,
  ConfigurationHeadSchema,
} from '../generated/baobabdock/v1/changes_pb.js';
import type {
  ConfigurationChange,
  ConfigurationHead,
} from '../generated/baobabdock/v1/changes_pb.js';
import type { PlatformStore, StoreEntry, TransactionResult } from '../store/PlatformStore.js';
import { changesUpdate, wholeDocumentUpdate } from './ConfigurationDocument.js';
import { InconsistentStoreError } from './configurationErrors.js';
import {
  CHANGES_PER_BLOCK,
  HEAD_KEY,
  blockNumber,
  blockPrefix,
  changeIdKey,
  changeKey,
} from './configurationKeys.js';
import type { ConfigurationState } from './ConfigurationState.js';
import type { DocumentUpdate } from './configurationTypes.js';
import { EMPTY_DIGEST } from './entities.js';
import { SnapshotStore } from './SnapshotStore.js';
import type { WrittenSnapshot } from './SnapshotStore.js';

/** Result of reading the head. */
export interface ReadHead {
  readonly head: ConfigurationHead;
  /** The head's entry; `undefined` before the first change. */
  readonly entry: StoreEntry | undefined;
  /** Store revision at which the head was read. */
  readonly storeRevision: number;
}

/** Options of a {@link ConfigurationRepository}. */
export interface ConfigurationRepositoryOptions {
  store: PlatformStore;
  /** Minimum number of changes that are kept for the history. */
  historyChanges?: number;
}

/**
 * Blocks before the kept history that each cleanup checks. It checks more than one, to include the blocks that
 * an earlier, failed cleanup has left.
 */
const OBSOLETE_BLOCKS_CHECKED = 20;

const textEncoder = new TextEncoder();

/** Reads and writes the keys of configurationKeys.ts; never retries by itself. */
export class ConfigurationRepository {
  readonly snapshots: SnapshotStore;

  private readonly store: PlatformStore;

  private readonly historyChanges: number;

  /** Highest store revision of this daemon's commits: a read at a lower one is stale. */
  private committedStoreRevision = 0;

  /**
   * @param options - the store and the length of the kept history.
   */
  constructor({ store, historyChanges = 20_000 }: ConfigurationRepositoryOptions) {
    this.store = store;
    this.historyChanges = historyChanges;
    this.snapshots = new SnapshotStore({ store });
  }

  /** @returns The head; revision 0 before the first change. Errors of the store are passed on. */
  async readHead(): Promise<ReadHead> {
    const { entry, revision: storeRevision } = await this.store.get(HEAD_KEY);
    const head = entry
      ? fromBinary(ConfigurationHeadSchema, entry.value)
      : create(ConfigurationHeadSchema, { digest: EMPTY_DIGEST });
    return { head, entry, storeRevision };
  }

  /**
   * Reads the update that a recipient lacks. Only the head is read if there is nothing new.
   *
   * @param haveRevision - the recipient's revision; 0 to get the whole document.
   * @param haveDigest - the recipient's digest; if it differs at the same revision, the whole document is read.
   * @returns The update, and the store revision after which a watch continues.
   * @throws {@link InconsistentStoreError} if the records read contradict each other; a later read may succeed.
   */
  async read(
    haveRevision: number,
    haveDigest: string,
  ): Promise<{ answer: DocumentUpdate; storeRevision: number }> {
    const { head, storeRevision } = await this.readHead();
    return { answer: await this.updateFor(head, haveRevision, haveDigest), storeRevision };
  }

  /**
   * Reads the update that leads from a recipient's revision to a head.
   *
   * @param head - the newest head.
   * @param haveRevision - the recipient's revision.
   * @param haveDigest - the recipient's digest.
   * @returns The update: single changes if the recipient is close to the head, else the whole document.
   */
  async updateFor(
    head: ConfigurationHead,
    haveRevision: number,
    haveDigest: string,
  ): Promise<DocumentUpdate> {
    const revision = Number(head.revision);
    const current = haveRevision === revision && haveDigest === head.digest;
    if (current || haveRevision > revision || revision === 0)
      return { kind: 'same', revision, digest: head.digest };
    const near =
      haveRevision > 0 &&
      haveRevision < revision &&
      haveRevision + 1 >= Number(head.oldestChange) &&
      haveRevision >= Number(head.snapshotRevision);
    if (near) return changesUpdate(await this.changes(haveRevision + 1, revision));
    return wholeDocumentUpdate(await this.stateAt(head));
  }

  /**
   * @param from - the first revision.
   * @param to - the last revision.
   * @returns The changes that led to these revisions.
   * @throws {@link InconsistentStoreError} if one of them is missing.
   */
  async changes(from: number, to: number): Promise<ConfigurationChange[]> {
    const found: ConfigurationChange[] = [];
    for (let block = blockNumber(from); block <= blockNumber(to); block += 1) {
      const { entries } = await this.store.range(blockPrefix(block));
      found.push(...entries.map(({ value }) => fromBinary(ConfigurationChangeSchema, value)));
    }
    const wanted = found.filter(
      ({ revision }) => Number(revision) >= from && Number(revision) <= to,
    );
    if (wanted.length !== to - from + 1)
      throw new InconsistentStoreError(`changes ${from} to ${to} are not all there`);
    return wanted;
  }

  /**
   * @param before - the newest revision to return.
   * @param maximum - the maximum number of changes.
   * @returns The changes, newest first; fewer than `maximum` if older ones are no longer kept.
   */
  async history(before: number, maximum: number): Promise<ConfigurationChange[]> {
    const found: ConfigurationChange[] = [];
    for (let block = blockNumber(before); block >= 0 && found.length < maximum; block -= 1) {
      const { entries } = await this.store.range(blockPrefix(block));
      if (entries.length === 0 && block < blockNumber(before)) break;
      const changes = entries.map(({ value }) => fromBinary(ConfigurationChangeSchema, value));
      found.push(...changes.filter(({ revision }) => Number(revision) <= before).reverse());
    }
    return found.slice(0, maximum);
  }

  /**
   * Looks up a change by its id.
   *
   * @param changeId - the id that the change's author chose.
   * @param notBefore - store revision below which a response is stale.
   * @returns The revision that the change led to, or `undefined` if it has not taken effect.
   * @throws {@link InconsistentStoreError} if the store's response is stale.
   */
  async findChange(changeId: string, notBefore: number): Promise<number | undefined> {
    const { entry, revision } = await this.store.get(changeIdKey(changeId));
    // A stale response may lack the id of a change that is in force; the change's author would then be told
    // that it failed.
    if (revision < Math.max(notBefore, this.committedStoreRevision))
      throw new InconsistentStoreError(`store revision ${revision} is older than one seen before`);
    return entry && Number(new TextDecoder().decode(entry.value));
  }

  /**
   * Commits a change, on condition that the head is unchanged since it was read and the change id is unused.
   *
   * @param change - the next change.
   * @param read - the head that the change is based on.
   * @returns Whether it was committed or met a conflict. Errors of the store are passed on, `unsure` included.
   */
  async commit(change: ConfigurationChange, { head, entry }: ReadHead): Promise<TransactionResult> {
    const next = { ...head, revision: change.revision, digest: change.digest };
    const idKey = changeIdKey(change.changeId);
    const revision = Number(change.revision);
    const value = toBinary(ConfigurationChangeSchema, change);
    const result = await this.store.transact({
      expected: [
        { key: HEAD_KEY, modifiedRevision: entry?.modifiedRevision ?? 0 },
        { key: idKey, modifiedRevision: 0 },
      ],
      writes: [
        { kind: 'put', key: changeKey(revision), value },
        { kind: 'put', key: idKey, value: textEncoder.encode(String(revision)) },
        { kind: 'put', key: HEAD_KEY, value: toBinary(ConfigurationHeadSchema, next) },
      ],
    });
    this.committedStoreRevision = Math.max(this.committedStoreRevision, result.revision);
    return result;
  }

  /**
   * Makes the head reference a written snapshot, and advances the head's oldest kept change.
   *
   * @param written - the chunks that were written.
   * @param read - the head as it was read; the write is conditioned on it.
   * @param state - the state in the chunks, if the head's revision has to be raised to it; without it the
   *   head's revision stays unchanged.
   * @returns Whether the head now references the snapshot; `false` if the head or the chunks have changed.
   */
  async publishSnapshot(
    written: WrittenSnapshot,
    { head, entry }: ReadHead,
    state?: ConfigurationState,
  ): Promise<boolean> {
    const next = {
      ...head,
      ...(state && { revision: BigInt(state.revision), digest: state.digest }),
      snapshotId: written.snapshotId,
      snapshotRevision: BigInt(written.revision),
      snapshotChunks: written.chunks.length,
      oldestChange: BigInt(this.oldestToKeep(written.revision, state !== undefined)),
    };
    const headValue = toBinary(ConfigurationHeadSchema, next);
    const result = await this.store.transact({
      expected: [
        { key: HEAD_KEY, modifiedRevision: entry?.modifiedRevision ?? 0 },
        ...written.chunks,
      ],
      writes: [{ kind: 'put', key: HEAD_KEY, value: headValue }],
    });
    return result.kind === 'committed';
  }

  /** Removes chunks that the head does not reference, and blocks of changes that are too old for the history. */
  async removeObsoleteKeys(): Promise<void> {
    await this.snapshots.removeUnreferenced(() => this.readHead());
    const { head, entry } = await this.readHead();
    const oldestKept = blockNumber(Number(head.oldestChange));
    const first = Math.max(0, oldestKept - OBSOLETE_BLOCKS_CHECKED);
    for (let block = first; block < oldestKept; block += 1) {
      const { entries } = await this.store.range(blockPrefix(block));
      const ids = entries.map(({ value }) => fromBinary(ConfigurationChangeSchema, value).changeId);
      const keys = [...entries.map(({ key }) => key), ...ids.map(changeIdKey)];
      await this.snapshots.remove(keys, entry?.modifiedRevision ?? 0);
    }
  }

  private oldestToKeep(snapshotRevision: number, restored: boolean): number {
    if (restored) return snapshotRevision + 1;
    const oldest = Math.max(1, snapshotRevision - this.historyChanges);
    return Math.max(1, Math.floor(oldest / CHANGES_PER_BLOCK) * CHANGES_PER_BLOCK);
  }

  private async stateAt(head: ConfigurationHead): Promise<ConfigurationState> {
    let state = await this.snapshots.read(head);
    const revision = Number(head.revision);
    if (state.revision >= revision) return state;
    for (const change of await this.changes(state.revision + 1, revision)) {
      const after = state.withChange(change);
      if (!after) throw new InconsistentStoreError(`change ${change.revision} does not fit`);
      state = after;
    }
    return state;
  }
}
