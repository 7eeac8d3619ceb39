/**
 * Output of the demo: one line for each event and for each check.
 */

/** Prints the lines and counts the failed checks. */
export class Story {
  private failed = 0;

  /** @returns Number of failed checks. */
  get failures(): number {
    return this.failed;
  }

  /**
   * @param title - title of the next section.
   */
  chapter(title: string): void {
    process.stdout.write(`\n${title}\n`);
  }

  /**
   * @param line - description of an event.
   */
  tell(line: string): void {
    process.stdout.write(`  ${line}\n`);
  }

  /**
   * @param holds - whether the check succeeded.
   * @param line - the expectation and the result.
   */
  check(holds: boolean, line: string): void {
    if (!holds) this.failed += 1;
    process.stdout.write(`  ${holds ? 'ok    ' : 'FAILED'} ${line}\n`);
  }
}
