/**
 * Builds the daemon in the same way as a deployment.
 */
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';

const RUN = /^run = "node (.*) target\/router\.cjs --callers=\{\{listen\.front\}\}"$/mu;

/**
 * @param folder - output folder.
 * @returns Arguments of the runtime: the options of the deployment, and the program.
 */
export function buildDaemon(folder: string): string[] {
  execFileSync(process.execPath, ['--import', 'tsx', 'tools/buildPlatform.ts', folder]);
  const [, options] = RUN.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
  if (options === undefined) throw new Error('deploy/system.toml does not say how to run it');
  return [...options.split(' '), join(folder, 'router.cjs')];
}
