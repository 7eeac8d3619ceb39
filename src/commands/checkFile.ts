/**
 * Checks any of the product's files, whatever kind it is of.
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

/** What a file is taken for, in the words that the command prints. */
export type FileKind =
  | 'settings of a daemon'
  | 'settings of a daemon that forwards directly'
  | 'resources'
  | 'session of decisions';

/** What came of a check. */
export interface CheckedFile {
  /** `undefined` where the file cannot be read. */
  readonly kind: FileKind | undefined;
  readonly findings: readonly Finding[];
  /** Values from outside that are not there on this machine. */
  readonly absent: readonly Finding[];
}

/** The section that only a daemon that forwards directly has. */
const ROUTER_SECTION = 'router';

/** A session is one JSON object a line; the first one names its feature. */
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
 * @param file - its path.
 * @returns What it was taken for and all that is wrong with it; never throws.
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
