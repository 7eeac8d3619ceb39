/**
 * Translates the fields of findings from the edits of a change to the fields of the operator's request.
 */
import type { Finding } from '../findings/Findings.js';

/** Matches a field of an edit, for example `edits[2].weight`: the index, and `.weight`. */
const EDIT_FIELD = /^edits\[(\d+)\](.*)$/u;

/**
 * @param findings - findings with fields such as `edits[2].weight`.
 * @param placed - for each edit, the field of the request that it was made from.
 * @returns The same findings with fields such as `resources[2].clientAccount.weight`.
 */
export function findingsOfRequest(
  findings: readonly Finding[],
  placed: readonly { readonly field: string }[],
): Finding[] {
  return findings.map((finding) => {
    const [, position, rest = ''] = EDIT_FIELD.exec(finding.place.field ?? '') ?? [];
    const origin = placed[Number(position)];
    if (!origin) return finding;
    return { ...finding, place: { ...finding.place, field: `${origin.field}${rest}` } };
  });
}
