/**
 * Reads the platform's list of live and leaving instances: one key per runner under `instances/`.
 *
 * The project assumes that each value is a `RunnerRecord` in JSON; see docs/INTERFACES.md.
 */
import { create, fromJsonString, toJsonString } from '@bufbuild/protobuf';

import { RunnerListChangeSchema } from '../generated/baobabdock/v1/changes_pb.js';
import { RunnerRecordSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import type { RunnerRecord } from '../generated/baobabdock/v1/configuration_pb.js';
import type { PlatformStore, StoreEntry, StoreWrite, WatchEvent } from '../store/PlatformStore.js';
import { INSTANCES_PREFIX, instanceKey, runnerIdOfKey } from './configurationKeys.js';
import type { DocumentUpdate } from './configurationTypes.js';
import { runnerChangesUpdate, wholeRunnerListUpdate } from './RunnerListDocument.js';

const LENIENT = { ignoreUnknownFields: true } as const;

/**
 * Builds the store write that lists a runner. Only stand-ins and tests use it: daemons never write the list.
 *
 * @param record - the runner's record as the platform lists it.
 * @returns The write.
 */
export function instanceWrite(record: RunnerRecord): StoreWrite {
  const value = new TextEncoder().encode(toJsonString(RunnerRecordSchema, record));
  return { kind: 'put', key: instanceKey(record.runnerId), value };
}

/** Called with the key of an entry that is not a valid runner record, and the reason. */
export type InvalidInstanceListener = (key: string, reason: string) => void;

/** Options of an {@link InstanceDirectory}. */
export interface InstanceDirectoryOptions {
  store: PlatformStore;
  onBadInstance?: InvalidInstanceListener;
}

/** Reads the list of runners from the store and converts watch events to updates of it. */
export class InstanceDirectory {
  private readonly store: PlatformStore;

  private readonly onBadInstance: InvalidInstanceListener;

  /**
   * @param options - the platform's store and a listener for invalid entries.
   */
  constructor({ store, onBadInstance = () => {} }: InstanceDirectoryOptions) {
    this.store = store;
    this.onBadInstance = onBadInstance;
  }

  /** @returns The whole list, and the store revision at which it was read. */
  async read(): Promise<{ answer: DocumentUpdate; storeRevision: number }> {
    const { entries, revision } = await this.store.range(INSTANCES_PREFIX);
    const runners = entries.flatMap((entry) => this.parseRecord(entry) ?? []);
    const changedRevision = Math.max(0, ...entries.map((entry) => entry.modifiedRevision));
    const answer = wholeRunnerListUpdate(revision, runners, changedRevision);
    return { answer, storeRevision: revision };
  }

  /**
   * Converts a watch event to an update of the list.
   *
   * @param event - a put or a deletion that a watch reported.
   * @returns The update, or `undefined` if the entry is invalid: the runner's previous record then stays.
   */
  toUpdate(event: Exclude<WatchEvent, { kind: 'compacted' }>): DocumentUpdate | undefined {
    if (event.kind === 'delete') {
      const { key, revision } = event;
      return this.runnerUpdate(revision, runnerIdOfKey(key));
    }
    const record = this.parseRecord(event.entry);
    return record && this.runnerUpdate(event.entry.modifiedRevision, record.runnerId, record);
  }

  private runnerUpdate(revision: number, runnerId: string, record?: RunnerRecord): DocumentUpdate {
    const change = create(RunnerListChangeSchema, {
      revision: BigInt(revision),
      runnerId,
      ...(record && { record }),
    });
    return runnerChangesUpdate(revision, [change]);
  }

  /** Reports an invalid entry and skips it, so that one bad entry does not hide all other runners. */
  private parseRecord({ key, value }: StoreEntry): RunnerRecord | undefined {
    try {
      const json = new TextDecoder().decode(value);
      const record = fromJsonString(RunnerRecordSchema, json, LENIENT);
      if (record.runnerId === runnerIdOfKey(key)) return record;
      this.onBadInstance(key, `the record is of another runner: ${record.runnerId}`);
    } catch (error) {
      this.onBadInstance(key, (error as Error).message);
    }
    return undefined;
  }
}
