/**
 * Runs a daemon of a site as a separate process.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { join } from 'node:path';

import type { RouterSettings } from '../../src/router/routerFeature.js';

/** Options of a {@link SiteProcess}. */
export interface SiteProcessOptions {
  settings: RouterSettings;
  /** Folder for the settings file. */
  folder: string;
  /** Arguments of the runtime: its options and the built program, see `buildDaemon`. */
  program: readonly string[];
  /** Number of descriptors that the process may open; that of this process by default. */
  maximumDescriptors?: number | undefined;
}

/** Answer to a short HTTP request. */
export interface SiteText {
  /** HTTP status; 0 if there was no answer. */
  readonly status: number;
  readonly text: string;
}

const OK = 200;

/** Processes that have not ended; a test or soak that fails must not leave them behind. */
const running = new Set<ChildProcess>();

process.once('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/**
 * @param address - IP address and port.
 * @param path - path with the query.
 * @returns The complete answer.
 */
export function fetchText(address: string, path: string): Promise<SiteText> {
  return new Promise((done) => {
    const question = get(`http://${address}${path}`, (answer) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.once('end', () =>
        done({ status: answer.statusCode ?? 0, text: Buffer.concat(chunks).toString() }),
      );
    });
    question.once('error', (error) => done({ status: 0, text: error.message }));
  });
}

/** Starts, signals and ends the process. */
export class SiteProcess {
  readonly settings: RouterSettings;

  /** Its standard output so far. */
  log = '';

  /** Its standard error so far. */
  complaints = '';

  private readonly file: string;

  private readonly program: readonly string[];

  private readonly maximumDescriptors: number | undefined;

  private child: ChildProcess | undefined;

  private exit: Promise<unknown[]> = Promise.resolve([]);

  /**
   * @param options - settings and program.
   */
  constructor({ settings, folder, program, maximumDescriptors }: SiteProcessOptions) {
    this.settings = settings;
    this.program = program;
    this.maximumDescriptors = maximumDescriptors;
    this.file = join(folder, `${settings.name}.yaml`);
    this.writeSettings({ router: settings });
  }

  /** @returns The process's id, or 0 before its start. */
  get id(): number {
    return this.child?.pid ?? 0;
  }

  /**
   * @returns Whether it reports that it is ready.
   * @throws If the process has ended by itself, since it will never be ready.
   */
  async isReady(): Promise<boolean> {
    const { exitCode = null } = this.child ?? {};
    if (exitCode !== null) throw new Error(`ended with ${exitCode}: ${this.complaints}`);
    const { status } = await fetchText(this.settings.addresses.readiness, '/v1/readyz');
    return status === OK;
  }

  /**
   * @param content - content of its settings file, written as JSON, which is valid YAML.
   */
  writeSettings(content: object): void {
    writeFileSync(this.file, JSON.stringify(content));
  }

  /** Starts the process, also after it has ended. */
  start(): void {
    const { callers } = this.settings.addresses;
    const [command, ...limit] = this.runtime;
    const child = spawn(command, [...limit, ...this.program, `--callers=${callers}`], {
      env: { ...process.env, BAOBABDOCK_BOOT: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.on('data', (chunk: Buffer) => {
      this.log += String(chunk);
    });
    child.stderr.on('data', (chunk: Buffer) => {
      this.complaints += String(chunk);
    });
    running.add(child);
    child.once('exit', () => running.delete(child));
    this.child = child;
    this.exit = once(child, 'close');
  }

  /** The runtime, with the limit of descriptors if there is one; the shell is replaced by the runtime. */
  private get runtime(): [string, ...string[]] {
    const { maximumDescriptors } = this;
    if (maximumDescriptors === undefined) return [process.execPath];
    return ['sh', '-c', `ulimit -n ${maximumDescriptors} && exec "$0" "$@"`, process.execPath];
  }

  /**
   * @param signal - the signal to send.
   */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** @returns Its exit code once it has ended; `null` if it was ended by a signal. */
  async ended(): Promise<unknown> {
    const [code] = await this.exit;
    return code;
  }

  /** Kills the process. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.ended();
  }
}
