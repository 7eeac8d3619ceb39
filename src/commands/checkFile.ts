/**
 * Validates a file of the product; the kind of file is detected from its content.
 */
import { match } from 'ts-pattern';
import { isMap, isScalar, parseDocument } from 'yaml';

import { ALL_FEATURES } from '../features/allFeatures.js';
import { ROUTER_FEATURES } from '../features/routerFeatures.js';
import type { Finding } from '../findings/Findings.js';
import { Findings } from '../findings/Findings.js';
import { RESOURCE_SECTIONS, ResourceFile } from '../operators/ResourceFile.js';
import { checkSettings } from '../settings/checkSettings.js';
import { readSettingsFile } from '../settings/loadSettings.js';
import { parseSession } from './session.js';

/** Kind of a file, as printed by the command. */
export type FileKind =
  | 'settings of a daemon'
  | 'settings of a daemon that forwards directly'
  | 'resources'
  | 'session of decisions';

/** Result of a check. */
export interface CheckedFile {
  /** `undefined` if the file cannot be read. */
  readonly kind: FileKind | undefined;
  readonly findings: readonly Finding[];
  /** External values that are missing on this machine, such as environment variables. */
  readonly absent: readonly Finding[];
}

/** A section that occurs only in the settings of a daemon that forwards directly. */
const ROUTER_SECTION = 'router';

/** Matches the header of a session, a JSON object that names its feature. */
const SESSION_START = /^\s*\{\s*"feature"/u;

function topLevelKeys(text: string): string[] {
  const { contents } = parseDocument(text);
  if (!isMap(contents)) return [];
  return contents.items.map(({ key }) => (isScalar(key) ? String(key.value) : ''));
}

function kindOf(text: string): FileKind {
  if (SESSION_START.test(text)) return 'session of decisions';
  const keys = topLevelKeys(text);
  if (keys.includes(ROUTER_SECTION)) return 'settings of a daemon that forwards directly';
  return keys.some((key) => RESOURCE_SECTIONS.includes(key)) ? 'resources' : 'settings of a daemon';
}

/**
 * @param file - path of the file.
 * @returns The kind of the file and all findings. Never throws.
 */
export function checkFile(file: string): CheckedFile {
  const findings = new Findings();
  const text = readSettingsFile(file, findings);
  if (text === undefined) return { kind: undefined, findings: findings.list(), absent: [] };
  const options = { file, environment: process.env };
  const kind = kindOf(text);
  const checked = match(kind)
    .with('settings of a daemon', () => checkSettings(text, { ...options, features: ALL_FEATURES }))
    .with('settings of a daemon that forwards directly', () =>
      checkSettings(text, { ...options, features: ROUTER_FEATURES }),
    )
    .with('resources', () => ({ findings: new ResourceFile(text, file).findings(), absent: [] }))
    .with('session of decisions', () => {
      parseSession(text, file, findings);
      return { findings: findings.list(), absent: [] };
    })
    .exhaustive();
  return { kind, findings: checked.findings, absent: checked.absent };
}
