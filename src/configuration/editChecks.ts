/**
 * Checks of the edits of one change. The checks of the whole configuration are in validateConfiguration.ts.
 */
import type { Finding } from '../findings/Findings.js';
import { Findings } from '../findings/Findings.js';
import type { EntityEdit } from '../generated/baobabdock/v1/changes_pb.js';
import type { ChangeOutcome, RequestedChange } from '../operators/ConfigurationChanges.js';
import type { ConfigurationState } from './ConfigurationState.js';
import { entityField, entityKey, nameOfEdit } from './entities.js';

/** Maximum number of edits in one change: the change has to fit into one value of the store. */
export const MAXIMUM_EDITS = 1000;

/** Maximum length of a change id and of an author, in characters; a comment may be ten times as long. */
const MAXIMUM_TEXT_LENGTH = 200;

/**
 * Runs the checks that do not need the current state: names, lengths, and several edits of one entity.
 *
 * @param requested - the requested change.
 * @returns All findings.
 */
export function validateEdits({
  changeId,
  author,
  comment,
  edits,
}: RequestedChange): readonly Finding[] {
  const findings = new Findings();
  const filled = (field: string, value: string): void => {
    const right = value !== '' && value.length <= MAXIMUM_TEXT_LENGTH;
    if (!right) findings.add({ field }, `has to be 1 to ${MAXIMUM_TEXT_LENGTH} characters`);
  };
  filled('changeId', changeId);
  filled('author', author);
  if (comment.length > MAXIMUM_TEXT_LENGTH * 10) findings.add({ field: 'comment' }, 'is too long');
  if (edits.length === 0) findings.add({ field: 'edits' }, 'are missing');
  if (edits.length > MAXIMUM_EDITS)
    findings.add({ field: 'edits' }, `are more than ${MAXIMUM_EDITS}`);
  const seen = new Map<string, number>();
  edits.forEach((edit, index) => {
    const name = nameOfEdit(edit);
    const field = `edits[${index}]`;
    if (!name) {
      findings.add({ field }, 'names no entity of a known kind');
      return;
    }
    const key = entityKey(name);
    const other = seen.get(key);
    if (other !== undefined) findings.add({ field }, `is about the same entity as edits[${other}]`);
    seen.set(key, other ?? index);
  });
  return findings.list();
}

/**
 * Compares the revisions that an operator's edits are based on with the current ones.
 *
 * @param state - the newest state.
 * @param edits - the edits, with the revisions that the operator saw.
 * @returns The first conflict, with the entity's current value; `undefined` if there is none.
 */
export function findConflict(
  state: ConfigurationState,
  edits: readonly EntityEdit[],
): (ChangeOutcome & { kind: 'conflict' }) | undefined {
  for (const [index, edit] of edits.entries()) {
    const name = nameOfEdit(edit);
    const current = name && state.entity(name);
    const expected = edit.expectedRevision;
    const lost = expected !== undefined && expected !== (current?.changedRevision ?? 0n);
    if (lost) return { kind: 'conflict', revision: state.revision, edit: index, current };
  }
  return undefined;
}

/**
 * Replaces the field paths of findings by paths of the edits that caused them, if an edit concerns the entity.
 *
 * @param findings - findings with fields such as `services[tile-sales].model`.
 * @param edits - the edits of the change.
 * @returns The same findings, with fields such as `edits[2].model`.
 */
export function moveFindingsToEdits(
  findings: readonly Finding[],
  edits: readonly EntityEdit[],
): readonly Finding[] {
  const places = edits.flatMap((edit, index) => {
    const name = nameOfEdit(edit);
    return name ? [{ entity: `${entityField(name)}.`, edit: `edits[${index}].` }] : [];
  });
  return findings.map((finding) => {
    const { field = '' } = finding.place;
    const place = places.find(({ entity }) => field.startsWith(entity));
    if (!place) return finding;
    const moved = place.edit + field.slice(place.entity.length);
    return { ...finding, place: { ...finding.place, field: moved } };
  });
}
