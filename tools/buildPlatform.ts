/**
 * Builds the daemon for the platform: `daemon.cjs`, one bundle without what the daemon does not use;
 * `daemon.cache`, its compiled code; `router.cjs`, which starts it from both.
 */
import { execFileSync } from 'node:child_process';
import { rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';

import { build } from 'esbuild';
import type { BuildOptions, Plugin } from 'esbuild';

/** Output folder: the first argument, or the one that the deployment uses. */
const OUTPUT = process.argv[2] ?? 'target';

/** Options of the runtime; compiled code is valid only for those that it was created with, see deploy/system.toml. */
const RUNTIME_OPTIONS = [
  '--max-old-space-size=160',
  '--max-semi-space-size=1',
  '--v8-pool-size=0',
  '--expose-gc',
];

/** Loopback ports of the warm-up run; 0 means any free port. */
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

/** Modules that libraries load and the daemon never uses: 0.4 of 1.2 MB, which each process would keep in memory. */
const UNUSED: readonly {
  readonly importer: RegExp;
  readonly path: RegExp;
  readonly content: string;
}[] = [
  // Messages of the schema library in forty languages.
  { importer: /\/zod\//, path: /locales\/index\.js$/, content: 'export {};' },
  // Histograms in WebAssembly, with a compressor for their logs.
  {
    importer: /\/hdr-histogram-js\//,
    path: /^\.\/wasm$/,
    content: 'exports.webAssemblyAvailable = false;',
  },
];

const leaveOut: Plugin = {
  name: 'leave-out',
  setup({ onResolve, onLoad }) {
    for (const [index, { importer, path }] of UNUSED.entries()) {
      onResolve({ filter: path }, (found) =>
        importer.test(found.importer) ? { path: String(index), namespace: 'unused' } : undefined,
      );
    }
    onLoad({ filter: /.*/, namespace: 'unused' }, ({ path }) => ({
      contents: UNUSED[Number(path)]?.content ?? '',
      loader: 'js',
    }));
  },
};

/** The runtime's module wrapper, written into the file: adding it at each start would copy the whole text. */
const MODULE_WRAPPER = {
  banner: { js: '(function (exports, require, module, __filename, __dirname) {' },
  footer: { js: '})' },
};

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
  // The bundle runs as a script with kept compiled code, in which the runtime refuses import(): it becomes require().
  supported: { 'dynamic-import': false },
};

const cache = join(OUTPUT, 'daemon.cache');
rmSync(cache, { force: true });
await build({
  ...COMMON,
  ...MODULE_WRAPPER,
  plugins: [leaveOut],
  entryPoints: ['platform/runDaemon.ts'],
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
