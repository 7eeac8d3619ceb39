/**
 * Checks the text of a settings file against the schemas of the features' sections and collects all mistakes.
 */
import type { AnyFeature } from '../features/Feature.js';
import { Findings } from '../findings/Findings.js';
import type { Finding } from '../findings/Findings.js';
import { resolveExternalValues } from './externalValues.js';
import { describeIssue, valueAt } from './describeIssue.js';
import { buildSettingsSchema } from './settingsSchema.js';
import type { SchemaNode } from './settingsSchema.js';
import { SettingsSource } from './SettingsSource.js';
import type { SettingPath } from './SettingsSource.js';
import { findUnknownKeys } from './unknownKeys.js';

/**
 * Issue code of zod that is skipped here: {@link findUnknownKeys} reports unknown keys with a suggestion, and also
 * those in sections whose schema is not strict.
 */
const UNKNOWN_KEYS_ISSUE = 'unrecognized_keys';

/** Options of {@link checkSettings}. */
export interface CheckSettingsOptions {
  features: readonly AnyFeature[];
  /** Name of the file, for findings and relative paths. */
  file: string;
  /** Environment variables that `fromEnvironment` refers to. */
  environment: Readonly<Record<string, string | undefined>>;
}

/** Result of {@link checkSettings}. */
export interface CheckedSettings {
  /** Checked sections by feature name; complete only if `findings` and `absent` are empty. */
  readonly sections: Readonly<Record<string, unknown>>;
  readonly findings: readonly Finding[];
  /** External values that are unavailable on this machine; the fields that use them are not checked. */
  readonly absent: readonly Finding[];
}

function sortByPosition(findings: Findings): Finding[] {
  return [...findings.list()].sort(
    ({ place: a }, { place: b }) =>
      (a.line ?? 0) - (b.line ?? 0) || (a.column ?? 0) - (b.column ?? 0),
  );
}

/** Checks the text of one settings file, once. */
class SettingsChecker {
  readonly findings = new Findings();

  readonly absent = new Findings();

  readonly sections: Record<string, unknown> = {};

  private readonly source: SettingsSource;

  private readonly schema: SchemaNode;

  private readonly options: CheckSettingsOptions;

  private readonly absentPaths: SettingPath[] = [];

  constructor(text: string, options: CheckSettingsOptions) {
    this.options = options;
    this.schema = buildSettingsSchema(options.features);
    this.source = new SettingsSource(options.file, text, this.findings);
  }

  run(): void {
    if (!this.source.isValidYaml) return;
    const content = this.readContent();
    if (typeof content !== 'object' || content === null || Array.isArray(content)) {
      this.findings.add(this.source.place([]), 'has to be a mapping with one section per feature');
      return;
    }
    for (const { path, suggestion } of findUnknownKeys(content, this.schema)) {
      const hint = suggestion === undefined ? '' : `; did you mean ${suggestion}?`;
      this.findings.add(this.source.place(path, 'key'), `is not a setting${hint}`);
    }
    for (const feature of this.options.features) {
      this.checkSection(feature, (content as Record<string, unknown>)[feature.name] ?? {});
    }
  }

  private readContent(): unknown {
    const { file, environment } = this.options;
    const report = (path: SettingPath, message: string) => {
      this.absentPaths.push(path);
      this.absent.add(this.source.place(path), message);
    };
    const { schema } = this;
    return resolveExternalValues(this.source.toData() ?? {}, { file, environment, schema, report });
  }

  private checkSection(
    { name, settings, checkSettings: check }: AnyFeature,
    section: unknown,
  ): void {
    const result = settings.safeParse(section);
    if (result.success) {
      this.sections[name] = result.data;
      check?.(result.data, (field, message) => {
        this.findings.add(this.source.place([name, ...field]), message);
      });
      return;
    }
    for (const issue of result.error.issues) {
      const issuePath = issue.path as SettingPath;
      const path = [name, ...issuePath];
      if (issue.code === UNKNOWN_KEYS_ISSUE || this.isAbsent(path)) continue;
      this.findings.add(this.source.place(path), describeIssue(issue, valueAt(section, issuePath)));
    }
  }

  private isAbsent(path: SettingPath): boolean {
    return this.absentPaths.some((absent) => absent.every((key, index) => key === path[index]));
  }
}

/**
 * Checks the text of a settings file.
 *
 * @param text - content of the file.
 * @param options - features, file and environment.
 * @returns Sections, findings and unavailable external values; never throws.
 */
export function checkSettings(text: string, options: CheckSettingsOptions): CheckedSettings {
  const findings = new Findings();
  try {
    const check = new SettingsChecker(text, options);
    check.run();
    const { sections, absent } = check;
    return { sections, findings: sortByPosition(check.findings), absent: sortByPosition(absent) };
  } catch (error) {
    // Malicious text can exhaust the parser's stack or its alias limit. That is reported as a mistake of the file.
    findings.add({ file: options.file }, `cannot be read: ${(error as Error).message}`);
    return { sections: {}, findings: findings.list(), absent: [] };
  }
}
