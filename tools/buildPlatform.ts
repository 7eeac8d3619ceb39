/**
 * Builds the daemon for the platform: one bundle, `target/router.cjs`. What the daemon does not use is not in
 * it, since each start costs the time that loading takes.
 */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/router.cjs',
  bundle: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  keepNames: false,
  legalComments: 'none',
  logLevel: 'warning',
});
