/**
 * Builds the program as one binary, `dist/baobabdock`, that needs nothing beside it: the bundled code
 * is put into a copy of the Node.js that runs this script (a single executable application).
 */
import { execFileSync } from 'node:child_process';
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  rmSync,
  statSync,
  writeFileSync,
} from 'node:fs';
import { join } from 'node:path';

import { build } from 'esbuild';
import { inject } from 'postject';

const OUTPUT = 'dist';
const BUNDLE = join(OUTPUT, 'baobabdock.cjs');
const CONFIGURATION = join(OUTPUT, 'baobabdock.sea.json');
const BLOB = join(OUTPUT, 'baobabdock.blob');
const BINARY = join(OUTPUT, 'baobabdock');

/** Marks the place in the runtime's binary; the same for every Node.js that can hold an application. */
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

const RESOURCE_NAME = 'NODE_SEA_BLOB';

const BYTES_PER_MEGABYTE = 1_000_000;

/** Charts and other JSON files become part of the bundle. */
async function bundle(): Promise<void> {
  await build({
    entryPoints: ['src/baobabdock.ts'],
    outfile: BUNDLE,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // Some packages load their parts by computed names in their CommonJS form, which a bundle cannot hold.
    mainFields: ['module', 'main'],
    // Names in stack traces stay readable for whoever is on call.
    keepNames: true,
    legalComments: 'none',
    logLevel: 'warning',
  });
}

function makeBlob(): void {
  const configuration = {
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
    useCodeCache: true,
  };
  writeFileSync(CONFIGURATION, JSON.stringify(configuration));
  execFileSync(process.execPath, ['--experimental-sea-config', CONFIGURATION], {
    stdio: 'inherit',
  });
}

async function makeBinary(): Promise<void> {
  // A binary that runs cannot be written over, but it can be replaced.
  rmSync(BINARY, { force: true });
  copyFileSync(process.execPath, BINARY);
  chmodSync(BINARY, 0o755);
  await inject(BINARY, RESOURCE_NAME, readFileSync(BLOB), { sentinelFuse: SENTINEL_FUSE });
}

mkdirSync(OUTPUT, { recursive: true });
await bundle();
makeBlob();
await makeBinary();
const megabytes = (statSync(BINARY).size / BYTES_PER_MEGABYTE).toFixed(0);
console.log(`${BINARY}: ${megabytes} MB`);
