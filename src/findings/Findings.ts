/**
 * Collects findings, that is mistakes in input, with their place, so that one run reports all of them together.
 */

/** Location of a finding: a file with line and column, the path of a field, or both. */
export interface FindingPlace {
  file?: string;
  /** Line number, counted from 1. */
  line?: number;
  /** Column number, counted from 1. */
  column?: number;
  /** Path of the field, for example `clientAccounts[2].name`. */
  field?: string;
}

/** One mistake in input from a user or another program. */
export interface Finding {
  readonly place: FindingPlace;
  readonly message: string;
}

/** Collects findings in the order in which they are added. */
export class Findings {
  private readonly collected: Finding[] = [];

  /**
   * Adds a finding.
   *
   * @param place - location of the mistake.
   * @param message - what is wrong and what is expected.
   */
  add(place: FindingPlace, message: string): void {
    this.collected.push({ place, message });
  }

  /** @returns Whether there is any finding. */
  get hasAny(): boolean {
    return this.collected.length > 0;
  }

  /** @returns All findings, in the order in which they were added. */
  list(): readonly Finding[] {
    return this.collected;
  }
}

/**
 * Formats a finding as compilers do: `file:line:column: field: message`.
 *
 * @param finding - finding to format; missing parts of its place are left out.
 * @returns One line without a line end.
 */
export function formatFinding({ place, message }: Finding): string {
  const position = [place.file, place.line, place.column].filter((part) => part !== undefined);
  return [position.join(':'), place.field, message].filter(Boolean).join(': ');
}
