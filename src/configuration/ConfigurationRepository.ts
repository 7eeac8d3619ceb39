/**
 * The configuration at the platform: one head, one key for each change, chunks of a snapshot.
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
import { changesAnswer, wholeAnswer } from './ConfigurationDocument.js';
import { InconsistentStoreError } from './configurationErrors.js';
import {
  CHANGES_PER_BLOCK,
  HEAD_KEY,
  blockOf,
  blockPrefix,
  changeIdKey,
  changeKey,
} from './configurationKeys.js';
import type { ConfigurationState } from './ConfigurationState.js';
import type { DocumentAnswer } from './configurationTypes.js';
import { EMPTY_DIGEST } from './entities.js';
import { SnapshotStore } from './SnapshotStore.js';
import type { WrittenSnapshot } from './SnapshotStore.js';

/** The head as it was read. */
export interface ReadHead {
  readonly head: ConfigurationHead;
  /** The head's entry; `undefined` before the first change. */
  readonly entry: StoreEntry | undefined;
  /** The store's revision of the read. */
  readonly storeRevision: number;
}

/** Options of a {@link ConfigurationRepository}. */
export interface ConfigurationRepositoryOptions {
  store: PlatformStore;
  /** Changes that are kept for the history, at least. */
  historyChanges?: number;
}

/** Blocks before the kept history that a cleaning looks at: also those that a failed one left behind. */
const CLEANED_BLOCKS = 20;

const text = new TextEncoder();

/** Reads and writes the layout of configurationKeys.ts; repeats nothing by itself. */
export class ConfigurationRepository {
  readonly snapshots: SnapshotStore;

  private readonly store: PlatformStore;

  private readonly historyChanges: number;

  /** Highest store revision that any answer showed: a read below it is old data. */
  private seenStoreRevision = 0;

  /**
   * @param options - the platform's store and how much history is kept.
   */
  constructor({ store, historyChanges = 20_000 }: ConfigurationRepositoryOptions) {
    this.store = store;
    this.historyChanges = historyChanges;
    this.snapshots = new SnapshotStore({ store });
  }

  /** @returns The head; revision 0 before the first change. Throws what the store throws. */
  async readHead(): Promise<ReadHead> {
    const { entry, revision: storeRevision } = await this.store.get(HEAD_KEY);
    const head = entry
      ? fromBinary(ConfigurationHeadSchema, entry.value)
      : create(ConfigurationHeadSchema, { digest: EMPTY_DIGEST });
    return { head, entry, storeRevision };
  }

  /**
   * Reads what somebody lacks: nothing but the head when there is nothing new.
   *
   * @param haveRevision - the revision in force at the asker; 0 for the whole.
   * @param haveDigest - its digest; another one at the same revision brings the whole.
   * @returns What it lacks, and the store's revision from which a watch goes on.
   * @throws {@link InconsistentStoreError} when the parts do not fit together; a later read may succeed.
   */
  async read(
    haveRevision: number,
    haveDigest: string,
  ): Promise<{ answer: DocumentAnswer; storeRevision: number }> {
    const { head, storeRevision } = await this.readHead();
    return { answer: await this.answerFor(head, haveRevision, haveDigest), storeRevision };
  }

  /**
   * @param head - the newest head.
   * @param haveRevision - the revision that the asker has.
   * @param haveDigest - its digest.
   * @returns What it lacks.
   */
  async answerFor(
    head: ConfigurationHead,
    haveRevision: number,
    haveDigest: string,
  ): Promise<DocumentAnswer> {
    const revision = Number(head.revision);
    const current = haveRevision === revision && haveDigest === head.digest;
    if (current || haveRevision > revision || revision === 0)
      return { kind: 'same', revision, digest: head.digest };
    const near =
      haveRevision > 0 &&
      haveRevision < revision &&
      haveRevision + 1 >= Number(head.oldestChange) &&
      haveRevision >= Number(head.snapshotRevision);
    if (near) return changesAnswer(await this.changes(haveRevision + 1, revision));
    return wholeAnswer(await this.stateAt(head));
  }

  /**
   * @param from - first revision wanted.
   * @param to - last revision wanted.
   * @returns The changes that made these revisions.
   * @throws {@link InconsistentStoreError} when one is missing.
   */
  async changes(from: number, to: number): Promise<ConfigurationChange[]> {
    const found: ConfigurationChange[] = [];
    for (let block = blockOf(from); block <= blockOf(to); block += 1) {
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
   * @param before - changes from this revision downwards.
   * @param maximum - how many are wanted.
   * @returns The newest first; fewer when older ones are no longer kept.
   */
  async history(before: number, maximum: number): Promise<ConfigurationChange[]> {
    const found: ConfigurationChange[] = [];
    for (let block = blockOf(before); block >= 0 && found.length < maximum; block -= 1) {
      const { entries } = await this.store.range(blockPrefix(block));
      if (entries.length === 0 && block < blockOf(before)) break;
      const changes = entries.map(({ value }) => fromBinary(ConfigurationChangeSchema, value));
      found.push(...changes.filter(({ revision }) => Number(revision) <= before).reverse());
    }
    return found.slice(0, maximum);
  }

  /**
   * Looks for a change by its id.
   *
   * @param changeId - as its author gave it.
   * @param notBefore - store revision below which the answer is old data.
   * @returns The revision that the change made, or `undefined` when it has not taken effect.
   * @throws {@link InconsistentStoreError} when the platform answers with older data than that.
   */
  async findChange(changeId: string, notBefore: number): Promise<number | undefined> {
    const { entry, revision } = await this.store.get(changeIdKey(changeId));
    // Old data without the id would say "not applied" of a change that is in force: its author would be told
    // that it failed.
    if (revision < Math.max(notBefore, this.seenStoreRevision))
      throw new InconsistentStoreError(`store revision ${revision} is older than one seen before`);
    return entry && Number(new TextDecoder().decode(entry.value));
  }

  /**
   * Commits a change if the head is still the one that was read, and no change has this id.
   *
   * @param change - the next change.
   * @param read - the head that it follows on.
   * @returns Committed or conflict; throws what the store throws, `unsure` included.
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
        { kind: 'put', key: idKey, value: text.encode(String(revision)) },
        { kind: 'put', key: HEAD_KEY, value: toBinary(ConfigurationHeadSchema, next) },
      ],
    });
    this.seenStoreRevision = Math.max(this.seenStoreRevision, result.revision);
    return result;
  }

  /**
   * Names a written snapshot in the head and drops what is older than the history to keep.
   *
   * @param written - chunks that were written.
   * @param read - the head as it was before the chunks were written.
   * @param state - the state in the chunks, where the head is to be raised to it; else the head's
   *   revision stays as it is.
   * @returns Whether the head now names it; `false` when somebody else changed the head or the chunks.
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

  /** Removes chunks that no head names, and blocks of changes that fell out of the history. */
  async clean(): Promise<void> {
    await this.snapshots.removeUnreferenced(() => this.readHead());
    const { head, entry } = await this.readHead();
    const oldestKept = blockOf(Number(head.oldestChange));
    const first = Math.max(0, oldestKept - CLEANED_BLOCKS);
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
