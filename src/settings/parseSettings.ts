/**
 * Checks the text of a settings file for any list of features. It names no feature itself, so that a program
 * which uses a few loads no more than those.
 */
import type { AnyFeature } from '../features/Feature.js';
import type { Finding } from '../findings/Findings.js';
import { checkSettings } from './checkSettings.js';
import type { Settings, SettingsOf } from './settingsSchema.js';

/** What came of a settings file. */
export type SettingsResult<Loaded = Settings> =
  | { readonly kind: 'valid'; readonly settings: Loaded }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] };

/** Options of {@link loadSettings}. */
export interface LoadSettingsOptions {
  /** Where `fromEnvironment` looks. */
  environment?: Readonly<Record<string, string | undefined>>;
}

/** Options of {@link parseSettings}. */
export interface ParseSettingsOptions<
  Features extends readonly AnyFeature[],
> extends LoadSettingsOptions {
  features: Features;
  /** Name of the file, for findings and relative paths. */
  file: string;
}

/**
 * Checks the text of a file.
 *
 * @param text - the file's content.
 * @param options - the features whose settings it holds, and where outside values come from.
 * @returns Settings or findings; never throws.
 */
export function parseSettings<const Features extends readonly AnyFeature[]>(
  text: string,
  { features, file, environment = process.env }: ParseSettingsOptions<Features>,
): SettingsResult<SettingsOf<Features>> {
  const checked = checkSettings(text, { features, file, environment });
  const findings = [...checked.findings, ...checked.absent];
  if (findings.length > 0) return { kind: 'invalid', findings };
  return { kind: 'valid', settings: checked.sections as SettingsOf<Features> };
}
