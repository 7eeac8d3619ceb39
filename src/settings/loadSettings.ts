/**
 * Reads a settings file: either the settings, or everything that is wrong with it at once.
 */
import { readFileSync, statSync } from 'node:fs';

import { ALL_FEATURES } from '../features/allFeatures.js';
import { Findings } from '../findings/Findings.js';
import { parseSettings } from './parseSettings.js';
import type { LoadSettingsOptions, SettingsResult } from './parseSettings.js';

/** A settings file is a few kilobytes. */
const MAXIMUM_FILE_BYTES = 1_048_576;

/**
 * @param file - its path.
 * @param findings - gets the reason where it cannot be read.
 * @returns Its text, or `undefined`.
 */
export function readSettingsFile(file: string, findings: Findings): string | undefined {
  try {
    if (statSync(file).size <= MAXIMUM_FILE_BYTES) return readFileSync(file, 'utf8');
    findings.add({ file }, `is larger than ${MAXIMUM_FILE_BYTES} bytes`);
  } catch (error) {
    findings.add({ file }, `cannot be read: ${(error as Error).message}`);
  }
  return undefined;
}

/**
 * Reads and checks a file.
 *
 * @param file - its path.
 * @param options - where outside values come from.
 * @returns Settings or findings; never throws.
 */
export function loadSettings(file: string, options: LoadSettingsOptions = {}): SettingsResult {
  const findings = new Findings();
  const text = readSettingsFile(file, findings);
  if (text === undefined) return { kind: 'invalid', findings: findings.list() };
  return parseSettings(text, { ...options, features: ALL_FEATURES, file });
}
