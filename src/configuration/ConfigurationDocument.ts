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
import type { DocumentAnswer } from './configurationTypes.js';
import { SyncedDocument } from './SyncedDocument.js';
import type { TakeResult } from './SyncedDocument.js';

/** Tolerates unknown fields, which daemons of a newer version may send. */
const LENIENT = { ignoreUnknownFields: true } as const;

/**
 * Builds an update that contains the whole document.
 *
 * @param state - the state to send.
 * @returns The update.
 */
export function wholeAnswer(state: ConfigurationState): DocumentAnswer {
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
export function changesAnswer(changes: readonly ConfigurationChange[]): DocumentAnswer {
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

  private cachedWhole: DocumentAnswer | undefined;

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

  override take(update: DocumentAnswer): TakeResult {
    if (update.kind === 'same') return 'nothing';
    return update.kind === 'whole' ? this.takeWhole(update) : this.takeChanges(update.changes);
  }

  override answer(haveRevision: number): DocumentAnswer {
    const { revision, digest } = this.current;
    if (haveRevision >= revision) return { kind: 'same', revision, digest };
    const changes = haveRevision > 0 ? this.log.since(haveRevision) : undefined;
    if (changes) return { kind: 'changes', revision, digest, changes };
    this.cachedWhole ??= wholeAnswer(this.current);
    return this.cachedWhole;
  }

  private takeWhole({ whole, digest }: DocumentAnswer & { kind: 'whole' }): TakeResult {
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

  private takeChanges(changes: readonly JsonObject[]): TakeResult {
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
