/**
 * One daemon as a process of its own, started with the command of the deploy file and a settings file with the fields of
 * the template.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as wait } from 'node:timers/promises';

const RUN = /^run = "node (.*) --callers=\{\{listen\.front\}\}"$/mu;

const OK = 200;

/** Addresses of one daemon. */
export interface DaemonAddresses {
  readonly callers: string;
  readonly readiness: string;
  readonly directory: string;
  readonly peers: string;
  readonly news: string;
  readonly metrics: string;
}

/** Options of a {@link Daemon}. */
export interface DaemonOptions {
  name: string;
  /** Folder for the settings file and the log. */
  folder: string;
  addresses: DaemonAddresses;
  seeds: readonly string[];
  store: string;
  zone?: string;
}

/** Ports below those that the operating system gives to outgoing connections. */
const FIRST_PORT = 18_000;
const PORTS = 12_000;

const usedPorts = new Set<number>();

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  const opened = await new Promise<boolean>((done) => {
    server.once('error', () => done(false));
    server.listen(port, '127.0.0.1', () => done(true));
  });
  if (!opened) return false;
  server.close();
  await once(server, 'close');
  return true;
}

/** @returns A loopback address whose port is free. */
export async function freeAddress(): Promise<string> {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    if (!usedPorts.has(port) && (await isFree(port))) {
      usedPorts.add(port);
      return `127.0.0.1:${port}`;
    }
  }
}

/** @returns Addresses for one daemon. */
export async function freeAddresses(): Promise<DaemonAddresses> {
  const roles = ['callers', 'readiness', 'directory', 'peers', 'news', 'metrics'];
  const entries = await Promise.all(roles.map(async (role) => [role, await freeAddress()]));
  return Object.fromEntries(entries) as DaemonAddresses;
}

function commandOf(): string[] {
  const [, words] = RUN.exec(readFileSync('deploy/system.toml', 'utf8')) ?? [];
  if (words === undefined) throw new Error('deploy/system.toml names no command');
  return words.split(' ');
}

/** @returns Settings as the template of the deploy file gives them on a small deployment. */
function settingsOf({ name, addresses, seeds, store, zone = 'zone-a' }: DaemonOptions): object {
  return {
    router: {
      name,
      region: 'region',
      dataCentre: zone,
      dataCentreRegions: { 'zone-a': 'region', 'zone-b': 'region' },
      addresses,
      seeds,
      store,
      changeBoundsMilliseconds: [2_000, 2_000],
      linkMegabits: 1_000,
      stopSeconds: 8,
      clients: { memoryMegabytes: 350, descriptors: 4_100 },
      retryBudget: { ratio: 0.2, allowance: 52, windowSeconds: 10 },
    },
  };
}

/** Processes that have not ended; a scenario that ends early must not leave them behind. */
const running = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** Starts, signals and ends the process. */
export class Daemon {
  readonly name: string;

  readonly addresses: DaemonAddresses;

  /** Standard output so far. */
  log = '';

  /** How the process has ended by itself, each time. */
  readonly ends: string[] = [];

  private readonly file: string;

  private child: ChildProcess | undefined;

  /** @param options - name, addresses and folder. */
  constructor(options: DaemonOptions) {
    this.name = options.name;
    this.addresses = options.addresses;
    this.file = join(options.folder, `${options.name}.yaml`);
    writeFileSync(this.file, JSON.stringify(settingsOf(options)));
  }

  /** Starts the process. */
  start(): void {
    const { PATH = '', HOME = '' } = process.env;
    const command = [...commandOf(), `--callers=${this.addresses.callers}`];
    const child = spawn(process.execPath, command, {
      env: { PATH, HOME, BAOBABDOCK_BOOT: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.on('data', (chunk: Buffer) => {
      this.log += String(chunk);
    });
    child.stderr.on('data', (chunk: Buffer) => {
      this.log += String(chunk);
    });
    running.add(child);
    child.once('exit', (exitCode, signalCode) => {
      running.delete(child);
      const reason = /FATAL ERROR: .*/u.exec(this.log)?.[0] ?? '';
      this.ends.push(`status ${exitCode}, signal ${signalCode} ${reason}`);
    });
    this.child = child;
  }

  /** @returns Process id. */
  get id(): number {
    return this.child?.pid ?? 0;
  }

  /** @returns Whether the process runs. */
  get isRunning(): boolean {
    const { child } = this;
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  /** Waits until the platform's check finds the daemon ready. */
  async untilReady(): Promise<void> {
    const endsAt = Date.now() + 15_000;
    while (!(await this.isReady())) {
      if (Date.now() > endsAt) throw new Error(`${this.name} does not become ready: ${this.log}`);
      await wait(50);
    }
  }

  /** @param signal - sent to the process. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Ends the process at once. */
  async kill(): Promise<void> {
    const { child } = this;
    if (!child || !this.isRunning) return;
    const ended = once(child, 'exit');
    child.kill('SIGKILL');
    await ended;
  }

  private isReady(): Promise<boolean> {
    return new Promise((done) => {
      const question = get(`http://${this.addresses.readiness}/v1/readyz`, (answer) => {
        answer.resume();
        answer.once('end', () => done(answer.statusCode === OK));
      });
      question.once('error', () => done(false));
    });
  }
}
