import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';

import { expect } from 'earl';

import { ALL_FEATURES } from '../src/features/allFeatures.js';
import { ROUTER_FEATURES } from '../src/features/routerFeatures.js';
import { undescribedSettings } from '../src/settings/settingsReference.js';
import { generatePages } from './generatedPages.js';

describe('generated pages', () => {
  it('are what the code says', async () => {
    for (const { path, content } of await generatePages()) {
      const written = readFileSync(path, 'utf8').split('\n');
      const line = content.split('\n').findIndex((text, index) => text !== written[index]);
      const stale = line >= 0 || written.length !== content.split('\n').length;
      expect(stale && `${path}:${line + 1} is out of date; run npm run docs`).toEqual(false);
    }
  });

  it('describe every setting', () => {
    expect(undescribedSettings([...ALL_FEATURES, ...ROUTER_FEATURES])).toEqual([]);
  });
});
