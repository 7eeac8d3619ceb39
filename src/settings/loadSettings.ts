/**
 * Loads a settings file. The result is either valid settings or all mistakes of the file together.
 */
import { readFileSync, statSync } from 'node:fs';

import { ALL_FEATURES } from '../features/allFeatures.js';
import { Findings } from '../findings/Findings.js';
import { parseSettings } from './parseSettings.js';
import type { LoadSettingsOptions, SettingsResult } from './parseSettings.js';

/**
 * Maximum size in bytes. A settings file has a few kilobytes; anything larger is the wrong file and is not read into
 * memory.
 */
const MAXIMUM_FILE_BYTES = 1_048_576;

/**
 * Reads the text of a settings file.
 *
 * @param file - path of the file.
 * @param findings - collects the reason if the file cannot be read.
 * @returns The text, or `undefined` if the file cannot be read or is too large.
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
 * Reads and checks a settings file.
 *
 * @param file - path of the file.
 * @param options - source of the external values.
 * @returns Settings or findings; never throws.
 */
export function loadSettings(file: string, options: LoadSettingsOptions = {}): SettingsResult {
  const findings = new Findings();
  const text = readSettingsFile(file, findings);
  if (text === undefined) return { kind: 'invalid', findings: findings.list() };
  return parseSettings(text, { ...options, features: ALL_FEATURES, file });
}
