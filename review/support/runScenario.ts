/**
 * Runs one case: writes its record, ends within its time, and turns its verdict into an exit code.
 */
import { writeFileSync } from 'node:fs';

/** `broken`: the rule was broken; `held`; `not_run`: the case did not come to what it has to show. */
export type Verdict = 'broken' | 'held' | 'not_run';

const EXIT_CODES: Readonly<Record<Verdict, number>> = { held: 0, broken: 1, not_run: 2 };

const LONGEST_MILLISECONDS = 110_000;

const { TROUBLE } = process.env;

/** Whether the case runs with its disruption. */
export const hasTrouble = TROUBLE !== '0';

/**
 * @param folder - folder of the case, in which `record.txt` is written.
 * @param scenario - runs the case; is given what writes a line of the record.
 */
export async function runScenario(
  folder: string,
  scenario: (record: (line: string) => void) => Promise<Verdict>,
): Promise<void> {
  const startedAt = performance.now();
  const lines: string[] = [];
  const record = (line: string) => {
    lines.push(`${Math.round(performance.now() - startedAt)} ${line}`);
  };
  const finish = (verdict: Verdict) => {
    record(`verdict: ${verdict}${hasTrouble ? '' : ' without trouble'}`);
    writeFileSync(`${folder}/record.txt`, `${lines.join('\n')}\n`);
    process.stdout.write(`${lines.slice(-8).join('\n')}\n`);
    process.exit(EXIT_CODES[verdict]);
  };
  setTimeout(() => {
    record('the time of the case is over');
    finish('not_run');
  }, LONGEST_MILLISECONDS);
  try {
    finish(await scenario(record));
  } catch (error) {
    record(`the case failed: ${(error as Error).stack}`);
    finish('not_run');
  }
}
