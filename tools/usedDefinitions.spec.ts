import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { ALL_FEATURES } from '../src/features/allFeatures.js';
import { ROUTER_FEATURES } from '../src/features/routerFeatures.js';
import { buildSettingsSchema } from '../src/settings/settingsSchema.js';

/** Where events and settings are defined rather than used, and tests. */
const NOT_A_USE = /(?:Feature|LogEvents|\.spec)\.ts$/u;

function programText(): string {
  return ['src', 'platform']
    .flatMap((folder) =>
      readdirSync(folder, { recursive: true, encoding: 'utf8' })
        .filter((name) => name.endsWith('.ts') && !NOT_A_USE.test(name))
        .filter((name) => !name.startsWith('generated'))
        .map((name) => readFileSync(join(folder, name), 'utf8')),
    )
    .join('\n');
}

function unused(names: readonly (readonly [shown: string, word: string])[]): string[] {
  const words = new Set(programText().match(/\w+/gu));
  return names.filter(([, word]) => !words.has(word)).map(([shown]) => shown);
}

describe('the definitions of the features', () => {
  it('hold no event that nothing writes', () => {
    // Symptom: an alert never fires. Sequence: somebody on call sets it up from the catalogue.
    // Cause: the code that wrote the event is gone, its definition is not.
    const events = [...ALL_FEATURES, ...ROUTER_FEATURES].flatMap(({ name, logEvents }) =>
      Object.entries(logEvents).map(([key, { number }]) => [`${name} ${number}`, key] as const),
    );
    expect(unused(events)).toEqual([]);
  });

  it('hold no setting that nothing reads', () => {
    // Symptom: an operator raises a limit and nothing changes. Sequence: a setting from the reference
    // is put into the file and accepted. Cause: the code no longer reads it.
    const { properties = {} } = buildSettingsSchema([...ALL_FEATURES, ...ROUTER_FEATURES]);
    const settings = Object.entries(properties).flatMap(([section, schema]) =>
      Object.keys(schema.properties ?? {}).map((key) => [`${section}.${key}`, key] as const),
    );
    expect(unused(settings)).toEqual([]);
  });
});
