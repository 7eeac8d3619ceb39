/**
 * One process of a small fleet on this machine, for the demo and for failure tests with real processes.
 */
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';

/** A line of a program's output that is JSON. */
export type OutputLine = Readonly<Record<string, unknown>>;

/** Options of a {@link ChildProgram}. */
export interface ChildProgramOptions {
  /** For messages. */
  name: string;
  command: string;
  arguments: readonly string[];
  environment?: Readonly<Record<string, string>>;
  /** How long {@link ChildProgram.waitFor} waits, in milliseconds, before it gives up with an error. */
  patienceMilliseconds?: number;
}

/** How a program ended. */
export interface ProgramEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const DEFAULT_PATIENCE_MILLISECONDS = 30_000;

/** Maximum number of buffered lines; the oldest are dropped first. */
const MAXIMUM_KEPT_LINES = 20_000;

function parseLine(text: string): OutputLine | undefined {
  try {
    return JSON.parse(text) as OutputLine;
  } catch {
    return undefined;
  }
}

/** Starts a program and reads its JSON lines. */
export class ChildProgram {
  readonly name: string;

  /** Resolved when the program has ended. */
  readonly ended: Promise<ProgramEnd>;

  private readonly child: ChildProcess;

  private readonly patience: number;

  private readonly lines: OutputLine[] = [];

  private readonly watchers = new Set<() => void>();

  private errorOutput = '';

  /**
   * @param options - what to start.
   */
  constructor(options: ChildProgramOptions) {
    const { name, command, environment = {} } = options;
    this.name = name;
    this.patience = options.patienceMilliseconds ?? DEFAULT_PATIENCE_MILLISECONDS;
    this.child = spawn(command, options.arguments, {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.ended = once(this.child, 'exit').then(([code, signal]) => ({ code, signal }));
    void this.ended.then(() => this.notify());
    createInterface({ input: this.child.stdout! }).on('line', (line) => this.take(line));
    this.child.stderr!.on('data', (data: Buffer) => {
      this.errorOutput = `${this.errorOutput}${data.toString()}`.slice(-10_000);
    });
  }

  /** @returns The process id. */
  get pid(): number {
    return this.child.pid!;
  }

  /** @returns Whether the process still runs. */
  get running(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /** @returns What the program wrote to standard error, its end. */
  get errors(): string {
    return this.errorOutput;
  }

  /** @returns The JSON lines so far. */
  output(): readonly OutputLine[] {
    return this.lines;
  }

  /**
   * Waits for a line of output; lines that are already there count.
   *
   * @param wanted - picks the line.
   * @returns The line.
   * @throws Error when the program ends first, or when patience runs out.
   */
  async waitFor(wanted: (line: OutputLine) => boolean): Promise<OutputLine> {
    let timer: NodeJS.Timeout | undefined;
    try {
      return await new Promise<OutputLine>((resolve, reject) => {
        const look = (): void => {
          const found = this.lines.find(wanted);
          if (found) resolve(found);
          else if (!this.running) {
            reject(new Error(`${this.name} ended before the line came: ${this.errorOutput}`));
          } else this.watchers.add(look);
        };
        timer = setTimeout(
          () => reject(new Error(`${this.name} did not write the line: ${this.errorOutput}`)),
          this.patience,
        );
        look();
      });
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Sends a signal to this process alone.
   *
   * @param signal - `SIGKILL`, `SIGSTOP` (freeze), `SIGCONT` (wake) or `SIGTERM` (planned stop).
   */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /**
   * Kills the process if it still runs.
   *
   * @returns How it ended.
   */
  async kill(): Promise<ProgramEnd> {
    if (this.running) this.signal('SIGKILL');
    return this.ended;
  }

  private take(text: string): void {
    const line = parseLine(text);
    if (!line) return;
    this.lines.push(line);
    if (this.lines.length > MAXIMUM_KEPT_LINES) this.lines.shift();
    this.notify();
  }

  private notify(): void {
    const watchers = [...this.watchers];
    this.watchers.clear();
    for (const watcher of watchers) watcher();
  }
}
