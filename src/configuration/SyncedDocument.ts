/**
 * Base class of the documents that every daemon keeps a copy of: the content in force, and the latest changes
 * to send to peers that lack them.
 */
import type { DocumentUpdate, DocumentName } from './configurationTypes.js';

/** Result of applying an update. */
export type ApplyResult =
  /** The document has a higher revision now, or its content at the same revision was corrected. */
  | 'applied'
  /** The update contained nothing new. */
  | 'nothing'
  /** The changes start after a later revision than the local one: the whole document is needed. */
  | 'gap'
  /** The content does not match its stated digest: another source is needed. */
  | 'differs';

/** A local copy of one document. Its revision never decreases. */
export abstract class SyncedDocument {
  /** Which document it is. */
  abstract readonly name: DocumentName;

  /** @returns The revision in force on this daemon; 0 before the first. */
  abstract revision(): number;

  /** @returns Digest of the content; empty if the document's content is not compared between daemons. */
  abstract digest(): string;

  /**
   * Applies an update. A lower revision is never applied.
   *
   * @param update - the update.
   * @returns The result. Unless it is `applied`, the document is unchanged, except that the first changes of
   *   an invalid series may have been applied.
   */
  abstract apply(update: DocumentUpdate): ApplyResult;

  /**
   * Builds the update for a recipient.
   *
   * @param haveRevision - the recipient's revision; 0 if it has none.
   * @returns The changes after that revision if they are still kept, the whole document otherwise.
   */
  abstract updateSince(haveRevision: number): DocumentUpdate;
}
