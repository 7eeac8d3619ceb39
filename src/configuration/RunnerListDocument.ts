/**
 * This daemon's copy of the platform's list of live and leaving runners.
 *
 * Its revision is the store revision of the latest change in the list. The store revision at the time of a
 * read cannot be used: it increases with every write to the store, so each check by a watcher would make the
 * whole fleet pull the whole list again.
 */
import { create, equals, fromBinary, fromJson, toBinary, toJson } from '@bufbuild/protobuf';
import type { JsonObject } from '@bufbuild/protobuf';

import {
  RunnerListChangeSchema,
  RunnerListSnapshotSchema,
} from '../generated/baobabdock/v1/changes_pb.js';
import type { RunnerListChange } from '../generated/baobabdock/v1/changes_pb.js';
import {
  RunnerListSchema,
  RunnerRecordSchema,
} from '../generated/baobabdock/v1/configuration_pb.js';
import type { RunnerList, RunnerRecord } from '../generated/baobabdock/v1/configuration_pb.js';
import { ChangeLog } from './ChangeLog.js';
import type { DocumentUpdate } from './configurationTypes.js';
import { SyncedDocument } from './SyncedDocument.js';
import type { ApplyResult } from './SyncedDocument.js';

const LENIENT = { ignoreUnknownFields: true } as const;

/** Maximum number of runners whose `leaving` state is remembered, also after they are removed from the list. */
const MAXIMUM_REMEMBERED_LEAVING = 10_000;

/**
 * Builds an update of the list from changes.
 *
 * @param revision - the store revision after the changes.
 * @param changes - the changes, in order.
 * @returns The update.
 */
export function runnerChangesUpdate(
  revision: number,
  changes: readonly RunnerListChange[],
): DocumentUpdate {
  const json = changes.map((change) => toJson(RunnerListChangeSchema, change) as JsonObject);
  return { kind: 'changes', revision, digest: '', changes: json };
}

/**
 * Builds an update that contains the whole list.
 *
 * @param revision - the store revision at which the list was read, or the revision in force at a peer.
 * @param runners - the runners' records.
 * @param changedRevision - the store revision of the newest entry, if known.
 * @returns The update.
 */
export function wholeRunnerListUpdate(
  revision: number,
  runners: readonly RunnerRecord[],
  changedRevision = revision,
): DocumentUpdate {
  const snapshot = create(RunnerListSnapshotSchema, {
    revision: BigInt(changedRevision),
    runners: [...runners],
  });
  const whole = Buffer.from(toBinary(RunnerListSnapshotSchema, snapshot)).toString('base64');
  return { kind: 'whole', revision, digest: '', whole };
}

/** The list of runners in force. A runner that was `leaving` stays so for the rest of its incarnation. */
export class RunnerListDocument extends SyncedDocument {
  readonly name = 'runners';

  private readonly log = new ChangeLog();

  private readonly runners = new Map<string, RunnerRecord>();

  /** The records as the platform listed them, without the override that keeps `leaving`. */
  private readonly listed = new Map<string, RunnerRecord>();

  /** The newest incarnation that was `leaving`, by runner id; the least recently updated runner first. */
  private readonly leaving = new Map<string, bigint>();

  private currentRevision = 0;

  private currentList: RunnerList | undefined;

  /** @returns The list in force; always the same object for one revision. */
  list(): RunnerList {
    this.currentList ??= create(RunnerListSchema, { runners: [...this.runners.values()] });
    return this.currentList;
  }

  override revision(): number {
    return this.currentRevision;
  }

  /** Empty, since content is not compared: daemons temporarily differ in the leaving runners they remember. */
  override digest(): string {
    return '';
  }

  override apply(update: DocumentUpdate): ApplyResult {
    if (update.revision < this.currentRevision || update.kind === 'same') return 'nothing';
    if (update.kind === 'whole') return this.takeWhole(update);
    this.takeChanges(update.changes);
    return this.putInForce(update.revision);
  }

  override updateSince(haveRevision: number): DocumentUpdate {
    const revision = this.currentRevision;
    if (haveRevision >= revision) return { kind: 'same', revision, digest: '' };
    const changes = haveRevision > 0 ? this.log.since(haveRevision) : undefined;
    if (changes) return { kind: 'changes', revision, digest: '', changes };
    return wholeRunnerListUpdate(revision, [...this.runners.values()]);
  }

  private takeWhole({ whole, revision }: DocumentUpdate & { kind: 'whole' }): ApplyResult {
    const snapshot = fromBinary(RunnerListSnapshotSchema, Buffer.from(whole, 'base64'));
    const changedRevision = Number(snapshot.revision);
    const same = this.hasSameRecords(snapshot.runners);
    if (same && changedRevision <= this.currentRevision) return 'nothing';
    const listed = new Set(snapshot.runners.map((record) => record.runnerId));
    [...this.runners.keys()]
      .filter((runnerId) => !listed.has(runnerId))
      .forEach((runnerId) => this.removeRunner(runnerId));
    snapshot.runners.forEach((record) => this.storeRecord(record));
    // No remaining entry has the revision at which another one was removed. If only removals have happened,
    // the revision of the read is used, because it is above that of the removal.
    const removedOnly = this.currentRevision > 0 && changedRevision <= this.currentRevision;
    const reached = removedOnly ? revision : changedRevision;
    this.log.restart(reached);
    return this.putInForce(reached);
  }

  private hasSameRecords(runners: readonly RunnerRecord[]): boolean {
    if (runners.length !== this.listed.size) return false;
    return runners.every((record) => {
      const known = this.listed.get(record.runnerId);
      return known !== undefined && equals(RunnerRecordSchema, known, record);
    });
  }

  private putInForce(revision: number): ApplyResult {
    this.currentRevision = revision;
    this.currentList = undefined;
    return 'applied';
  }

  private removeRunner(runnerId: string): void {
    this.runners.delete(runnerId);
    this.listed.delete(runnerId);
  }

  private takeChanges(changes: readonly JsonObject[]): void {
    for (const json of changes) {
      const change = fromJson(RunnerListChangeSchema, json, LENIENT);
      const revision = Number(change.revision);
      // Changes at the current revision are applied too: several keys can change at one store revision, and a
      // watch reports them one after the other.
      if (revision < this.currentRevision) continue;
      if (change.record) this.storeRecord(change.record);
      else this.removeRunner(change.runnerId);
      this.log.add(revision, json);
    }
  }

  /**
   * Stores a runner's record, but keeps `leaving` within one incarnation. The list lags and flaps: a leaving
   * runner can be listed as live again for some seconds. It would then get new work that is cut off when it
   * stops, and callers would see broken streams during planned stops.
   */
  private storeRecord(record: RunnerRecord): void {
    const { runnerId, incarnation } = record;
    const before = this.runners.get(runnerId);
    this.listed.set(runnerId, record);
    if (before && before.incarnation > incarnation) return;
    if (record.state === 'leaving') this.rememberLeaving(runnerId, incarnation);
    const leavingIncarnation = this.leaving.get(runnerId);
    const staysLeaving =
      leavingIncarnation !== undefined &&
      leavingIncarnation >= incarnation &&
      record.state !== 'leaving';
    this.runners.set(runnerId, staysLeaving ? { ...record, state: 'leaving' } : record);
  }

  private rememberLeaving(runnerId: string, incarnation: bigint): void {
    const known = this.leaving.get(runnerId) ?? incarnation;
    this.leaving.delete(runnerId);
    this.leaving.set(runnerId, known > incarnation ? known : incarnation);
    if (this.leaving.size <= MAXIMUM_REMEMBERED_LEAVING) return;
    const [oldest] = this.leaving.keys();
    if (oldest !== undefined) this.leaving.delete(oldest);
  }
}
