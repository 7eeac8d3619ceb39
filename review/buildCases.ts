/**
 * Builds the cases: one script each, with the stand-ins that it starts, among them the project's own.
 */
import { existsSync, readdirSync, rmSync } from 'node:fs';

import { build } from 'esbuild';

const OUTPUT = 'target/review';

const scenarios = readdirSync('review')
  .map((name) => `review/${name}/scenario.ts`)
  .filter((path) => existsSync(path));

rmSync(OUTPUT, { recursive: true, force: true });
await build({
  entryPoints: scenarios,
  outbase: 'review',
  outdir: OUTPUT,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  packages: 'external',
  logLevel: 'warning',
});
