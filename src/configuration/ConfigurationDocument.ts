/**
 * The configuration in force on this daemon, and its latest changes.
 */
import { fromBinary, fromJson, toBinary, toJson } from '@bufbuild/protobuf';
import type { JsonObject } from '@bufbuild/protobuf';

import {
  ConfigurationChangeSchema,
  ConfigurationSnapshotSchema,
} from '../generated/baobabdock/v1/changes_pb.js';
import type { ConfigurationChange } from '../generated/baobabdock/v1/changes_pb.js';
import { ChangeLog } from './ChangeLog.js';
import { ConfigurationState } from './ConfigurationState.js';
import type { DocumentUpdate } from './configurationTypes.js';
import { SyncedDocument } from './SyncedDocument.js';
import type { ApplyResult } from './SyncedDocument.js';

/** Tolerates unknown fields, which daemons of a newer version may send. */
const LENIENT = { ignoreUnknownFields: true } as const;

/**
 * Builds an update that contains the whole document.
 *
 * @param state - the state to send.
 * @returns The update.
 */
export function wholeDocumentUpdate(state: ConfigurationState): DocumentUpdate {
  const bytes = toBinary(ConfigurationSnapshotSchema, state.toSnapshot());
  const whole = Buffer.from(bytes).toString('base64');
  return { kind: 'whole', revision: state.revision, digest: state.digest, whole };
}

/**
 * Builds an update from changes.
 *
 * @param changes - consecutive changes, at least one.
 * @returns The update.
 * @throws {@link RangeError} if there is no change.
 */
export function changesUpdate(changes: readonly ConfigurationChange[]): DocumentUpdate {
  const last = changes.at(-1);
  if (!last) throw new RangeError('an update by changes needs at least one change, got none');
  return {
    kind: 'changes',
    revision: Number(last.revision),
    digest: last.digest,
    changes: changes.map((change) => toJson(ConfigurationChangeSchema, change) as JsonObject),
  };
}

/** The configuration in force; updated by changes, or by a whole document if it is too far behind. */
export class ConfigurationDocument extends SyncedDocument {
  readonly name = 'configuration';

  private readonly log = new ChangeLog();

  private current = ConfigurationState.EMPTY;

  private cachedWhole: DocumentUpdate | undefined;

  /** @returns The state in force. */
  state(): ConfigurationState {
    return this.current;
  }

  override revision(): number {
    return this.current.revision;
  }

  override digest(): string {
    return this.current.digest;
  }

  override apply(update: DocumentUpdate): ApplyResult {
    if (update.kind === 'same') return 'nothing';
    return update.kind === 'whole' ? this.takeWhole(update) : this.takeChanges(update.changes);
  }

  override updateSince(haveRevision: number): DocumentUpdate {
    const { revision, digest } = this.current;
    if (haveRevision >= revision) return { kind: 'same', revision, digest };
    const changes = haveRevision > 0 ? this.log.since(haveRevision) : undefined;
    if (changes) return { kind: 'changes', revision, digest, changes };
    this.cachedWhole ??= wholeDocumentUpdate(this.current);
    return this.cachedWhole;
  }

  private takeWhole({ whole, digest }: DocumentUpdate & { kind: 'whole' }): ApplyResult {
    const snapshot = fromBinary(ConfigurationSnapshotSchema, Buffer.from(whole, 'base64'));
    const state = ConfigurationState.fromSnapshot(snapshot);
    if (state.digest !== digest) return 'differs';
    // An older revision would put a withdrawn key or limit in force again, and operators would see their
    // accepted change undone. The same revision is applied only to replace content with another digest.
    if (state.revision < this.current.revision) return 'nothing';
    if (state.revision === this.current.revision && state.digest === this.current.digest)
      return 'nothing';
    this.log.restart(state.revision);
    this.putInForce(state);
    return 'applied';
  }

  private takeChanges(changes: readonly JsonObject[]): ApplyResult {
    const before = this.current.revision;
    for (const json of changes) {
      const change = fromJson(ConfigurationChangeSchema, json, LENIENT);
      const revision = Number(change.revision);
      if (revision <= this.current.revision) continue;
      if (revision > this.current.revision + 1) return 'gap';
      const after = this.current.withChange(change);
      if (!after) return 'differs';
      this.log.add(revision, json);
      this.putInForce(after);
    }
    return this.current.revision > before ? 'applied' : 'nothing';
  }

  private putInForce(state: ConfigurationState): void {
    this.current = state;
    this.cachedWhole = undefined;
  }
}
