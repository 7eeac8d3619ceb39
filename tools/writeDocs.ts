/**
 * Writes the generated pages; with `--check` only says which of them are out of date.
 */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';

import { generatePages } from './generatedPages.js';
import type { GeneratedPage } from './generatedPages.js';

function isUpToDate({ path, content }: GeneratedPage): boolean {
  return existsSync(path) && readFileSync(path, 'utf8') === content;
}

const stale = (await generatePages()).filter((page) => !isUpToDate(page));
const check = process.argv.includes('--check');
for (const { path, content } of stale) {
  if (check) console.error(`${path} is out of date; run npm run docs`);
  else writeFileSync(path, content);
}
if (check && stale.length > 0) process.exitCode = 1;
else console.log(check ? 'generated pages are up to date' : `${stale.length} pages written`);
