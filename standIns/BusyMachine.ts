/**
 * Stand-in for other work on the machine: processes that each want a whole core.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';

/** Starts the processes, and ends them. */
export class BusyMachine {
  private readonly processes: ChildProcess[] = [];

  constructor() {
    process.once('exit', () => this.end());
  }

  /**
   * @param count - number of processes.
   */
  start(count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.processes.push(spawn(process.execPath, ['-e', 'for (;;) {}'], { stdio: 'ignore' }));
    }
  }

  /** Ends all of them. */
  end(): void {
    for (const one of this.processes.splice(0)) one.kill('SIGKILL');
  }
}
