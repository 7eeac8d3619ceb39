/**
 * Checks that several kinds of entities share. Each failed check adds a finding with the field's path.
 */
import type { Findings } from '../findings/Findings.js';

const NAME = /^[a-z0-9][a-z0-9._-]{0,62}$/u;

/** Options of {@link FieldChecks}. */
export interface FieldChecksOptions {
  findings: Findings;
  /** The entity's field path, for example `services[tile-sales]`. */
  entity: string;
}

/** Checks the fields of one entity. */
export class FieldChecks {
  private readonly findings: Findings;

  private readonly entity: string;

  /**
   * @param options - the list that findings are added to, and the entity's path.
   */
  constructor({ findings, entity }: FieldChecksOptions) {
    this.findings = findings;
    this.entity = entity;
  }

  /**
   * Adds a finding if a condition does not hold.
   *
   * @param field - the field's path within the entity.
   * @param holds - whether the condition holds.
   * @param message - the problem, as the rest of a sentence that begins with the field.
   */
  requireThat(field: string, holds: boolean, message: string): void {
    if (!holds) this.findings.add({ field: `${this.entity}.${field}` }, message);
  }

  /** Requires a name that is valid in keys, paths and log lines. */
  name(field: string, value: string): void {
    const rule = 'has to be 1 to 63 of a-z, 0-9, ".", "_", "-", beginning with a letter or digit';
    this.requireThat(field, NAME.test(value), rule);
  }

  /** Requires a non-empty text. */
  notEmpty(field: string, value: string): void {
    this.requireThat(field, value !== '', 'is missing');
  }

  /** Requires one of the given values. */
  oneOf(field: string, value: string, words: readonly string[]): void {
    this.requireThat(field, words.includes(value), `has to be one of ${words.join(', ')}`);
  }

  /** Requires a number from `least` to `most`, both included; NaN is refused. */
  range(field: string, value: number, least: number, most: number): void {
    const holds = value >= least && value <= most;
    this.requireThat(field, holds, `has to be ${least} to ${most}, not ${value}`);
  }

  /** Requires that no value is listed twice. */
  distinct(field: string, values: readonly string[]): void {
    const twice = values.find((value, index) => values.indexOf(value) !== index);
    this.requireThat(field, twice === undefined, `lists ${twice} twice`);
  }
}
