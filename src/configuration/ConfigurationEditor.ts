/**
 * Makes operators' changes: checks them, commits them by compare-and-swap, and finds out what became of
 * those whose answer was lost.
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
import { changesAnswer, wholeAnswer } from './ConfigurationDocument.js';
import type { ConfigurationDocument } from './ConfigurationDocument.js';
import { InconsistentStoreError } from './configurationErrors.js';
import { configurationLogEvents } from './configurationFeature.js';
import type { ConfigurationRepository, ReadHead } from './ConfigurationRepository.js';
import type { ConfigurationState } from './ConfigurationState.js';
import type { DocumentAnswer } from './configurationTypes.js';
import { findConflict, findEditFindings, placeAtEdits } from './editChecks.js';
import { BoundedRetries } from './BoundedRetries.js';
import type { BoundedRetriesOptions } from './BoundedRetries.js';
import { readState } from './readState.js';
import { validateConfiguration } from './validateConfiguration.js';

/** Changes between two snapshots at the platform: what a cold daemon reads one by one, at most. */
export const CHANGES_PER_SNAPSHOT = 500;

/** Tries to name a snapshot in a head that other changes keep moving. */
const PUBLISH_ATTEMPTS = 5;

/** Options of a {@link ConfigurationEditor}. */
export interface ConfigurationEditorOptions {
  repository: ConfigurationRepository;
  /** What is in force here. */
  document: ConfigurationDocument;
  /** Called with what this daemon committed, so that it is in force here at once. */
  onCommitted: (answer: DocumentAnswer) => void;
  clock: Clock;
  log: Log;
  /** Gives a name never used before, for snapshots. */
  newId: () => string;
  changesPerSnapshot?: number;
  /** Tries of one change, their waits and the time they may take together. */
  retry: Omit<BoundedRetriesOptions, 'clock'>;
}

/** One try: a final outcome, or what to remember for the next try. */
type Attempt =
  | { readonly kind: 'done'; readonly outcome: ChangeOutcome }
  | { readonly kind: 'again'; readonly message: string };

/** What earlier tries of one change have left open. */
class Progress {
  /** Whether a write was sent whose fate is unknown. */
  unsure = false;

  private storeRevision = 0;

  /** Notes that a write's answer was lost. */
  lostAnswer(): void {
    this.unsure = true;
  }

  /**
   * @param storeRevision - the store's revision that an answer showed.
   * @returns Whether it is older than one that was shown before: old data.
   */
  isOld(storeRevision: number): boolean {
    const old = storeRevision < this.storeRevision;
    this.storeRevision = Math.max(this.storeRevision, storeRevision);
    return old;
  }
}

const again = (message: string): Attempt => ({ kind: 'again', message });
const done = (outcome: ChangeOutcome): Attempt => ({ kind: 'done', outcome });

/** Changes of the configuration, from any daemon. */
export class ConfigurationEditor extends ConfigurationChanges {
  private readonly repository: ConfigurationRepository;

  private readonly document: ConfigurationDocument;

  private readonly onCommitted: (answer: DocumentAnswer) => void;

  private readonly clock: Clock;

  private readonly log: Log;

  private readonly newId: () => string;

  private readonly retry: BoundedRetriesOptions;

  private readonly changesPerSnapshot: number;

  /** The snapshot that is being written, if any. */
  private housekeeping: Promise<void> | undefined;

  /**
   * @param options - the platform's side, this daemon's side and the retry budget.
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
    const findings = findEditFindings(requested);
    if (findings.length > 0) return { kind: 'invalid', findings };
    const budget = new BoundedRetries(this.retry);
    const progress = new Progress();
    for (;;) {
      const attempt = await this.attempt(requested, progress);
      if (attempt.kind === 'done') return attempt.outcome;
      if (await budget.next()) continue;
      const { message } = attempt;
      return { kind: progress.unsure ? 'unsure' : 'unavailable', message };
    }
  }

  override history(maximum: number): Promise<readonly ConfigurationChange[]> {
    return this.repository.history(this.document.revision(), maximum);
  }

  /**
   * Writes the configuration in force here back to a platform that has lost changes, at the same revision.
   * Only for a platform that was restored from an older copy: until then no change is accepted, because one
   * that followed on the older copy would undo what is in force.
   *
   * @returns Whether the platform now holds what is in force here.
   */
  async restore(): Promise<boolean> {
    const state = this.document.state();
    const read = await this.repository.readHead();
    if (Number(read.head.revision) >= state.revision) return false;
    const written = await this.repository.snapshots.write(state, this.newId());
    return this.repository.publishSnapshot(written, read, state);
  }

  /** @returns When no snapshot is being written any more. */
  async idle(): Promise<void> {
    await this.housekeeping;
  }

  /** Whatever the platform does leads to another try; only what is certain ends them. */
  private async attempt(requested: RequestedChange, progress: Progress): Promise<Attempt> {
    try {
      return await this.tryOnce(requested, progress);
    } catch (error) {
      if (error instanceof InconsistentStoreError) return again(error.message);
      if (!(error instanceof PlatformStoreError)) throw error;
      if (error.failure === 'too_large')
        return done({
          kind: 'invalid',
          findings: [{ place: { field: 'edits' }, message: 'are too large for one change' }],
        });
      if (error.failure === 'unsure') progress.lostAnswer();
      return again(`the platform: ${error.failure}: ${error.message}`);
    }
  }

  private async tryOnce(requested: RequestedChange, progress: Progress): Promise<Attempt> {
    const { changeId, edits, dryRun } = requested;
    const read = await this.repository.readHead();
    if (progress.isOld(read.storeRevision)) return again('the platform shows old data');
    if (Number(read.head.revision) < this.document.revision()) return this.behind(read);
    const state = await this.currentState(read);
    // A change that took effect makes its own repeat look like a conflict, or invalid: before saying so, and
    // after a lost answer, its id tells.
    const conflict = findConflict(state, edits);
    const after = state.withEdits(edits);
    const findings = conflict ? [] : placeAtEdits(validateConfiguration(after), edits);
    if (conflict || findings.length > 0 || progress.unsure || dryRun) {
      const revision = await this.repository.findChange(changeId, read.storeRevision);
      if (revision !== undefined) return this.repeated(revision);
    }
    if (conflict) return done(conflict);
    if (findings.length > 0) return done({ kind: 'invalid', findings });
    if (dryRun) return done({ kind: 'accepted', revision: state.revision, repeated: false });
    return this.commit(requested, { read, state, after }, progress);
  }

  private async commit(
    { changeId, author, comment, edits }: RequestedChange,
    {
      read,
      state,
      after,
    }: { read: ReadHead; state: ConfigurationState; after: ConfigurationState },
    progress: Progress,
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
    progress.isOld(result.revision);
    if (result.kind === 'conflict') {
      const revision = await this.repository.findChange(changeId, result.revision);
      return revision === undefined ? again('another change came first') : this.repeated(revision);
    }
    this.publish(state, change, after);
    this.keepHouse(read, after);
    return done({ kind: 'accepted', revision: after.revision, repeated: false });
  }

  /** The change is in force at the platform; this daemon follows at once, whoever wrote it. */
  private async repeated(revision: number): Promise<Attempt> {
    const [have, digest] = [this.document.revision(), this.document.digest()];
    if (have < revision) this.onCommitted((await this.repository.read(have, digest)).answer);
    return done({ kind: 'accepted', revision, repeated: true });
  }

  private publish(
    state: ConfigurationState,
    change: ConfigurationChange,
    after: ConfigurationState,
  ): void {
    const follows = this.document.revision() === state.revision;
    this.onCommitted(follows ? changesAnswer([change]) : wholeAnswer(after));
  }

  private async currentState(read: ReadHead): Promise<ConfigurationState> {
    const state = this.document.state();
    const answer = await this.repository.answerFor(read.head, state.revision, state.digest);
    return readState(state, answer);
  }

  private behind({ head }: ReadHead): Attempt {
    const [platform, inForce] = [Number(head.revision), this.document.revision()];
    this.log.write(configurationLogEvents.platformBehind, { platform, inForce });
    return again(`the platform holds revision ${platform} but ${inForce} is in force`);
  }

  /** Errors are logged only: the next change tries again. */
  private keepHouse(read: ReadHead, after: ConfigurationState): void {
    const unsaved = after.revision - Number(read.head.snapshotRevision);
    if (unsaved < this.changesPerSnapshot || this.housekeeping) return;
    this.housekeeping = this.writeSnapshot(after)
      .catch((error: Error) => {
        this.log.write(configurationLogEvents.snapshotFailed, { message: error.message });
      })
      .finally(() => {
        this.housekeeping = undefined;
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
      await this.repository.clean();
      this.log.write(configurationLogEvents.snapshotWritten, { revision, chunks });
      return;
    }
  }
}
