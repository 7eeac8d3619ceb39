/**
 * Commits operators' changes of the configuration: validates them, writes them by compare-and-swap, and
 * determines whether a write whose response was lost has taken effect.
 */
import { create } from '@bufbuild/protobuf';

import { ConfigurationChangeSchema } from '../generated/baobabdock/v1/changes_pb.js';
import type {
  ConfigurationChange,
  ConfigurationEntity,
} from '../generated/baobabdock/v1/changes_pb.js';
import type { Log } from '../logging/Log.js';
import { ConfigurationChanges } from '../operators/ConfigurationChanges.js';
import type { ChangeOutcome, RequestedChange } from '../operators/ConfigurationChanges.js';
import type { EntityKind } from '../operators/resourceKinds.js';
import { PlatformStoreError } from '../store/PlatformStore.js';
import type { Clock } from '../time/Clock.js';
import { changesUpdate, wholeDocumentUpdate } from './ConfigurationDocument.js';
import type { ConfigurationDocument } from './ConfigurationDocument.js';
import { InconsistentStoreError } from './configurationErrors.js';
import { configurationLogEvents } from './configurationFeature.js';
import type { ConfigurationRepository, ReadHead } from './ConfigurationRepository.js';
import type { ConfigurationState } from './ConfigurationState.js';
import type { DocumentUpdate } from './configurationTypes.js';
import { findConflict, validateEdits, moveFindingsToEdits } from './editChecks.js';
import { BoundedRetries } from './BoundedRetries.js';
import type { BoundedRetriesOptions } from './BoundedRetries.js';
import { stateAfterUpdate } from './stateAfterUpdate.js';
import { validateConfiguration } from './validateConfiguration.js';

/** Changes between two snapshots in the store: the most that a starting daemon reads one by one. */
export const CHANGES_PER_SNAPSHOT = 500;

/** Attempts to reference a snapshot in the head, which other daemons may change in between. */
const PUBLISH_ATTEMPTS = 5;

/** Options of a {@link ConfigurationEditor}. */
export interface ConfigurationEditorOptions {
  repository: ConfigurationRepository;
  /** The configuration in force on this daemon. */
  document: ConfigurationDocument;
  /** Called with a change that this daemon has committed, to put it in force here at once. */
  onCommitted: (answer: DocumentUpdate) => void;
  clock: Clock;
  log: Log;
  /** Generates a snapshot id that was never used before. */
  newId: () => string;
  changesPerSnapshot?: number;
  /** Limits for the attempts of one change: their number, their waits and their total time. */
  retry: Omit<BoundedRetriesOptions, 'clock'>;
}

/** Result of one attempt: a final outcome, or the reason why another attempt is needed. */
type Attempt =
  | { readonly kind: 'done'; readonly outcome: ChangeOutcome }
  | { readonly kind: 'again'; readonly message: string };

/** State that the attempts of one change share. */
class ChangeProgress {
  /** Whether a write was sent of which it is unknown whether it took effect. */
  outcomeUnknown = false;

  private storeRevision = 0;

  /** Records that the response to a write was lost. */
  recordLostResponse(): void {
    this.outcomeUnknown = true;
  }

  /**
   * Records the store revision of a response.
   *
   * @param storeRevision - the store revision that a response reported.
   * @returns Whether it is lower than an earlier one, which means that the response is stale.
   */
  isStale(storeRevision: number): boolean {
    const old = storeRevision < this.storeRevision;
    this.storeRevision = Math.max(this.storeRevision, storeRevision);
    return old;
  }
}

const retryAttempt = (message: string): Attempt => ({ kind: 'again', message });
const finalAttempt = (outcome: ChangeOutcome): Attempt => ({ kind: 'done', outcome });

/** Validates and commits changes of the configuration; every daemon has one. */
export class ConfigurationEditor extends ConfigurationChanges {
  private readonly repository: ConfigurationRepository;

  private readonly document: ConfigurationDocument;

  private readonly onCommitted: (answer: DocumentUpdate) => void;

  private readonly clock: Clock;

  private readonly log: Log;

  private readonly newId: () => string;

  private readonly retry: BoundedRetriesOptions;

  private readonly changesPerSnapshot: number;

  /** The write of a snapshot that is in progress, if any. */
  private snapshotWrite: Promise<void> | undefined;

  /**
   * @param options - the repository in the store, this daemon's document and the limits of retries.
   */
  constructor({
    repository,
    document,
    onCommitted,
    clock,
    log,
    newId,
    retry,
    changesPerSnapshot = CHANGES_PER_SNAPSHOT,
  }: ConfigurationEditorOptions) {
    super();
    this.repository = repository;
    this.document = document;
    this.onCommitted = onCommitted;
    this.clock = clock;
    this.log = log;
    this.newId = newId;
    this.retry = { ...retry, clock };
    this.changesPerSnapshot = changesPerSnapshot;
  }

  override revision(): number {
    return this.document.revision();
  }

  override entities(kind: EntityKind): readonly ConfigurationEntity[] {
    return this.document.state().entitiesOf(kind);
  }

  override entity(kind: EntityKind, name: string): ConfigurationEntity | undefined {
    return this.document.state().entity({ kind, name });
  }

  override async change(requested: RequestedChange): Promise<ChangeOutcome> {
    const findings = validateEdits(requested);
    if (findings.length > 0) return { kind: 'invalid', findings };
    const budget = new BoundedRetries(this.retry);
    const progress = new ChangeProgress();
    for (;;) {
      const attempt = await this.attempt(requested, progress);
      if (attempt.kind === 'done') return attempt.outcome;
      if (await budget.waitForNextAttempt()) continue;
      const { message } = attempt;
      return { kind: progress.outcomeUnknown ? 'unsure' : 'unavailable', message };
    }
  }

  override history(maximum: number): Promise<readonly ConfigurationChange[]> {
    return this.repository.history(this.document.revision(), maximum);
  }

  /**
   * Writes the configuration in force on this daemon back to a store that has lost changes, at the same
   * revision. Only for a store that was restored from an older backup: until this is done, no change is
   * accepted, because a change based on the older content would undo what is in force.
   *
   * @returns Whether the write succeeded; `false` if the store is not behind or its head has changed.
   */
  async restore(): Promise<boolean> {
    const state = this.document.state();
    const read = await this.repository.readHead();
    if (Number(read.head.revision) >= state.revision) return false;
    const written = await this.repository.snapshots.write(state, this.newId());
    return this.repository.publishSnapshot(written, read, state);
  }

  /** Resolves when no write of a snapshot is in progress. */
  async snapshotFinished(): Promise<void> {
    await this.snapshotWrite;
  }

  /** Runs one attempt. Failures of the store lead to another attempt; only a definite outcome is final. */
  private async attempt(requested: RequestedChange, progress: ChangeProgress): Promise<Attempt> {
    try {
      return await this.tryOnce(requested, progress);
    } catch (error) {
      if (error instanceof InconsistentStoreError) return retryAttempt(error.message);
      if (!(error instanceof PlatformStoreError)) throw error;
      if (error.failure === 'too_large')
        return finalAttempt({
          kind: 'invalid',
          findings: [{ place: { field: 'edits' }, message: 'are too large for one change' }],
        });
      if (error.failure === 'unsure') progress.recordLostResponse();
      return retryAttempt(`the platform: ${error.failure}: ${error.message}`);
    }
  }

  private async tryOnce(requested: RequestedChange, progress: ChangeProgress): Promise<Attempt> {
    const { changeId, edits, dryRun } = requested;
    const read = await this.repository.readHead();
    if (progress.isStale(read.storeRevision)) return retryAttempt('the platform shows old data');
    if (Number(read.head.revision) < this.document.revision())
      return this.reportPlatformBehind(read);
    const state = await this.currentState(read);
    // A repeat of a change that has already taken effect looks like a conflict or like an invalid change. So
    // before either is reported, and after a lost response, the change id is looked up.
    const conflict = findConflict(state, edits);
    const after = state.withEdits(edits);
    const findings = conflict ? [] : moveFindingsToEdits(validateConfiguration(after), edits);
    if (conflict || findings.length > 0 || progress.outcomeUnknown || dryRun) {
      const revision = await this.repository.findChange(changeId, read.storeRevision);
      if (revision !== undefined) return this.acceptRepeated(revision);
    }
    if (conflict) return finalAttempt(conflict);
    if (findings.length > 0) return finalAttempt({ kind: 'invalid', findings });
    if (dryRun)
      return finalAttempt({ kind: 'accepted', revision: state.revision, repeated: false });
    return this.commit(requested, { read, state, after }, progress);
  }

  private async commit(
    { changeId, author, comment, edits }: RequestedChange,
    {
      read,
      state,
      after,
    }: { read: ReadHead; state: ConfigurationState; after: ConfigurationState },
    progress: ChangeProgress,
  ): Promise<Attempt> {
    const change = create(ConfigurationChangeSchema, {
      revision: BigInt(after.revision),
      changeId,
      author,
      comment,
      changedAtMilliseconds: BigInt(Math.floor(this.clock.wallMilliseconds())),
      edits: [...edits],
      digest: after.digest,
    });
    const result = await this.repository.commit(change, read);
    progress.isStale(result.revision);
    if (result.kind === 'conflict') {
      const revision = await this.repository.findChange(changeId, result.revision);
      return revision === undefined
        ? retryAttempt('another change came first')
        : this.acceptRepeated(revision);
    }
    this.putInForce(state, change, after);
    this.startSnapshotIfDue(read, after);
    return finalAttempt({ kind: 'accepted', revision: after.revision, repeated: false });
  }

  /** Accepts a change that is already committed, and puts it in force on this daemon at once. */
  private async acceptRepeated(revision: number): Promise<Attempt> {
    const [have, digest] = [this.document.revision(), this.document.digest()];
    if (have < revision) this.onCommitted((await this.repository.read(have, digest)).answer);
    return finalAttempt({ kind: 'accepted', revision, repeated: true });
  }

  private putInForce(
    state: ConfigurationState,
    change: ConfigurationChange,
    after: ConfigurationState,
  ): void {
    const follows = this.document.revision() === state.revision;
    this.onCommitted(follows ? changesUpdate([change]) : wholeDocumentUpdate(after));
  }

  private async currentState(read: ReadHead): Promise<ConfigurationState> {
    const state = this.document.state();
    const answer = await this.repository.updateFor(read.head, state.revision, state.digest);
    return stateAfterUpdate(state, answer);
  }

  private reportPlatformBehind({ head }: ReadHead): Attempt {
    const [platform, inForce] = [Number(head.revision), this.document.revision()];
    this.log.write(configurationLogEvents.platformBehind, { platform, inForce });
    return retryAttempt(`the platform holds revision ${platform} but ${inForce} is in force`);
  }

  /** Starts to write a snapshot if one is due. Errors are only logged, because the next change tries again. */
  private startSnapshotIfDue(read: ReadHead, after: ConfigurationState): void {
    const unsaved = after.revision - Number(read.head.snapshotRevision);
    if (unsaved < this.changesPerSnapshot || this.snapshotWrite) return;
    this.snapshotWrite = this.writeSnapshot(after)
      .catch((error: Error) => {
        this.log.write(configurationLogEvents.snapshotFailed, { message: error.message });
      })
      .finally(() => {
        this.snapshotWrite = undefined;
      });
  }

  private async writeSnapshot(state: ConfigurationState): Promise<void> {
    const { revision } = state;
    const written = await this.repository.snapshots.write(state, this.newId());
    const chunks = written.chunks.length;
    for (let attempt = 0; attempt < PUBLISH_ATTEMPTS; attempt += 1) {
      const read = await this.repository.readHead();
      if (Number(read.head.snapshotRevision) >= revision) return;
      if (!(await this.repository.publishSnapshot(written, read))) continue;
      await this.repository.removeObsoleteKeys();
      this.log.write(configurationLogEvents.snapshotWritten, { revision, chunks });
      return;
    }
  }
}
