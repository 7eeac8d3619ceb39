/**
 * Builds the daemon for the platform: `daemon.cjs`, one bundle without what the daemon does not use;
 * `daemon.cache`, its compiled code; `router.cjs`, which starts it from both.
 */
import { execFileSync } from 'node:child_process';
import { rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import { build } from 'esbuild';
import type { BuildOptions } from 'esbuild';

/** The folder that is written to: the first argument, or where the deployment looks for it. */
const OUTPUT = process.argv[2] ?? 'target';

/** Compiled code is good only for the options with which the runtime was started; see deploy/system.toml. */
const RUNTIME_OPTIONS = ['--max-old-space-size=160', '--max-semi-space-size=1', '--v8-pool-size=0'];

/** Loopback ports that a warm-up listens on; 0 takes any. */
const WARM_UP_SETTINGS = `
router:
  name: "warm-up"
  region: "none"
  dataCentre: "none"
  addresses:
    callers: "127.0.0.1:0"
    readiness: "127.0.0.1:0"
    directory: "127.0.0.1:0"
    peers: "127.0.0.1:0"
    news: "127.0.0.1:0"
    metrics: "127.0.0.1:0"
  store: "127.0.0.1:1"
`;

const COMMON: BuildOptions = {
  bundle: true,
  minifySyntax: true,
  minifyWhitespace: true,
  charset: 'ascii',
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  legalComments: 'none',
  logLevel: 'warning',
};

const cache = join(OUTPUT, 'daemon.cache');
rmSync(cache, { force: true });
await build({
  ...COMMON,
  entryPoints: ['platform/main.ts'],
  outfile: join(OUTPUT, 'daemon.cjs'),
});
await build({
  ...COMMON,
  entryPoints: ['platform/start.ts'],
  outfile: join(OUTPUT, 'router.cjs'),
});
const settings = join(OUTPUT, 'warm-up.yaml');
writeFileSync(settings, WARM_UP_SETTINGS);
execFileSync(process.execPath, [...RUNTIME_OPTIONS, join(OUTPUT, 'router.cjs'), '--compile'], {
  env: { ...process.env, BAOBABDOCK_BOOT: settings },
  stdio: ['ignore', 'ignore', 'inherit'],
});
rmSync(settings);
