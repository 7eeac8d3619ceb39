/**
 * The platform's list of live and leaving instances: one key for each runner below `instances/`.
 *
 * Assumption of the project, see docs/INTERFACES.md: the value is a `RunnerRecord` in JSON.
 */
import { create, fromJsonString, toJsonString } from '@bufbuild/protobuf';

import { RunnerListChangeSchema } from '../generated/baobabdock/v1/changes_pb.js';
import { RunnerRecordSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import type { RunnerRecord } from '../generated/baobabdock/v1/configuration_pb.js';
import type { PlatformStore, StoreEntry, StoreWrite, WatchEvent } from '../store/PlatformStore.js';
import { INSTANCES_PREFIX, instanceKey, runnerOfKey } from './configurationKeys.js';
import type { DocumentAnswer } from './configurationTypes.js';
import { runnerChangesAnswer, runnerListAnswer } from './RunnerListDocument.js';

const LENIENT = { ignoreUnknownFields: true } as const;

/**
 * @param record - a runner as the platform lists it.
 * @returns The write that lists it; for stand-ins and tests, as daemons never write the list.
 */
export function instanceWrite(record: RunnerRecord): StoreWrite {
  const value = new TextEncoder().encode(toJsonString(RunnerRecordSchema, record));
  return { kind: 'put', key: instanceKey(record.runnerId), value };
}

/** Called with an entry that is no runner's record. */
export type BadInstanceListener = (key: string, reason: string) => void;

/** Options of an {@link InstanceDirectory}. */
export interface InstanceDirectoryOptions {
  store: PlatformStore;
  onBadInstance?: BadInstanceListener;
}

/** Reads and watches the list. */
export class InstanceDirectory {
  private readonly store: PlatformStore;

  private readonly onBadInstance: BadInstanceListener;

  /**
   * @param options - the platform's store and who hears of unreadable entries.
   */
  constructor({ store, onBadInstance = () => {} }: InstanceDirectoryOptions) {
    this.store = store;
    this.onBadInstance = onBadInstance;
  }

  /** @returns The whole list with the store's revision of the read. */
  async read(): Promise<{ answer: DocumentAnswer; storeRevision: number }> {
    const { entries, revision } = await this.store.range(INSTANCES_PREFIX);
    const runners = entries.flatMap((entry) => this.record(entry) ?? []);
    const changedRevision = Math.max(0, ...entries.map((entry) => entry.modifiedRevision));
    const answer = runnerListAnswer(revision, runners, changedRevision);
    return { answer, storeRevision: revision };
  }

  /**
   * @param event - a put or a deletion that a watch reported.
   * @returns The change, or `undefined` when the entry is unreadable: the runner then stays as it was.
   */
  changeOf(event: Exclude<WatchEvent, { kind: 'compacted' }>): DocumentAnswer | undefined {
    if (event.kind === 'delete') {
      const { key, revision } = event;
      return this.answer(revision, runnerOfKey(key));
    }
    const record = this.record(event.entry);
    return record && this.answer(event.entry.modifiedRevision, record.runnerId, record);
  }

  private answer(revision: number, runnerId: string, record?: RunnerRecord): DocumentAnswer {
    const change = create(RunnerListChangeSchema, {
      revision: BigInt(revision),
      runnerId,
      ...(record && { record }),
    });
    return runnerChangesAnswer(revision, [change]);
  }

  /** One unreadable entry must not hide all other runners. */
  private record({ key, value }: StoreEntry): RunnerRecord | undefined {
    try {
      const json = new TextDecoder().decode(value);
      const record = fromJsonString(RunnerRecordSchema, json, LENIENT);
      if (record.runnerId === runnerOfKey(key)) return record;
      this.onBadInstance(key, `names another runner: ${record.runnerId}`);
    } catch (error) {
      this.onBadInstance(key, (error as Error).message);
    }
    return undefined;
  }
}
