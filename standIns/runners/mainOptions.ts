/**
 * What the two runner programs have in common: their command line and their end.
 */
import type { RunnerServer } from './RunnerServer.js';

/**
 * @param text - the value of a numeric option.
 * @param name - the option, for the error.
 * @returns The number.
 * @throws Error when it is not a number that is at least zero.
 */
export function readNumber(text: string, name: string): number {
  const value = Number(text);
  if (text.trim() === '' || !Number.isFinite(value) || value < 0) {
    throw new Error(`--${name} takes a number that is at least zero, not "${text}"`);
  }
  return value;
}

/**
 * Listens, prints one line with the address when it does, and ends on SIGTERM and SIGINT.
 *
 * @param server - what to run.
 * @param name - of the runner, for the line.
 */
export async function runUntilStopped(server: RunnerServer, name: string): Promise<void> {
  await server.listen();
  process.stdout.write(`${JSON.stringify({ runner: name, address: server.address() })}\n`);
  const stop = (): void => {
    void server.close();
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
