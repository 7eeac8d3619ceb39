/**
 * Runs every command of the README's code blocks.
 */
import { exec } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { promisify } from 'node:util';

import { expect } from 'earl';

import { createProgram } from '../src/commands/createProgram.js';

/** Commands that the test does not run, and why. */
const LEFT_OUT: Readonly<Record<string, string>> = {
  'npm test': 'runs this test',
  'npm test -- tests/sitePath.spec.ts tests/siteProcesses.spec.ts': 'part of the tests anyway',
  'npm run measure': 'takes many minutes',
  'npm run measure -- control': 'takes many minutes',
  'npm run measure -- admission': 'takes many minutes',
  'npm run measure -- requests': 'takes many minutes',
  'npm run measure -- decision-cost': 'measures time on an idle machine',
  'npm run measure -- fleet': 'takes minutes, and two dozen processes',
  'npm run measure -- site': 'measures time on an idle machine',
};

/** A newcomer installs first; that has been done where this runs. */
const INSTALLATION = 'npm ci && ';

/** Others need what these write. */
const BUILDS = ['npm run build:platform', 'npm run build'];

const SHELL_BLOCK = /^```sh\n([\s\S]*?)^```$/gmu;

const TIMEOUT_MILLISECONDS = 150_000;

/** Some of them start daemons in the dozen. */
const AT_ONCE = 3;

function shownCommands(): string[] {
  const blocks = [...readFileSync('README.md', 'utf8').matchAll(SHELL_BLOCK)];
  const lines = blocks.flatMap(([, block = '']) => block.split('\n'));
  const commands = lines.map((line) => line.replace(/\s+#.*$/u, '').replace(INSTALLATION, ''));
  return commands.filter((command) => command.trim() !== '');
}

/** Fails with what the command has written. */
async function run(command: string): Promise<string> {
  // A program with this variable in its environment behaves as a part of the test run.
  const env = { ...process.env, NODE_TEST_CONTEXT: undefined };
  const { stdout } = await promisify(exec)(command, { env, timeout: TIMEOUT_MILLISECONDS });
  return stdout;
}

// Guards against commands of the README that fail because a program was moved.
describe('the README', () => {
  it('shows the commands that the test leaves out, and more', () => {
    const shown = new Set(shownCommands());
    expect(Object.keys(LEFT_OUT).filter((command) => !shown.has(command))).toEqual([]);
    expect(BUILDS.filter((command) => !shown.has(command))).toEqual([]);
    expect(shown.size > Object.keys(LEFT_OUT).length + BUILDS.length).toEqual(true);
  });

  for (const command of BUILDS) {
    it(`runs: ${command}`, async () => {
      await run(command);
    });
  }
});

describe('the README, once all is built', { concurrency: AT_ONCE }, () => {
  const commands = new Set(shownCommands().filter((command) => !BUILDS.includes(command)));
  for (const command of commands) {
    if (LEFT_OUT[command] !== undefined) continue;
    it(`runs: ${command}`, async () => {
      const output = await run(command);
      expect(output.trim() === '').toEqual(false);
    });
  }

  it('runs: dist/baobabdock with each command and --help', async () => {
    const definitions = createProgram(process).definitions();
    for (const { path } of definitions) {
      const words = path.split(' ').slice(1);
      const output = await run(['dist/baobabdock', ...words, '--help'].join(' '));
      expect(output).toEqual(expect.includes(path));
    }
  });
});
