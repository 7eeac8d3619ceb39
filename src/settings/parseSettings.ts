/**
 * Parses the text of a settings file for a given list of features. This module imports no feature itself, so that a
 * program that uses only a few features loads only those.
 */
import type { AnyFeature } from '../features/Feature.js';
import type { Finding } from '../findings/Findings.js';
import { checkSettings } from './checkSettings.js';
import type { Settings, SettingsOf } from './settingsSchema.js';

/** Result of parsing a settings file: valid settings, or all findings. */
export type SettingsResult<Loaded = Settings> =
  | { readonly kind: 'valid'; readonly settings: Loaded }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] };

/** Options of {@link loadSettings}. */
export interface LoadSettingsOptions {
  /** Environment variables that `fromEnvironment` refers to; by default those of the process. */
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
 * Parses and checks the text of a settings file. An unavailable external value counts as a finding.
 *
 * @param text - content of the file.
 * @param options - features whose settings the file holds, and source of the external values.
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
