/**
 * A set of named deadlines.
 */

/** Holds one deadline a name. It expects few of them: each query scans all. */
export class Deadlines {
  private readonly byName = new Map<string, number>();

  /**
   * Sets a deadline.
   *
   * @param name - what the deadline is for; replaces the deadline that was set under this name.
   * @param at - monotonic milliseconds.
   */
  set(name: string, at: number): void {
    this.byName.set(name, at);
  }

  /**
   * Moves a deadline to an earlier time; does nothing if it is due earlier already.
   *
   * @param name - what the deadline is for; a name without a deadline is ignored.
   * @param at - monotonic milliseconds.
   */
  bringForward(name: string, at: number): void {
    const known = this.byName.get(name);
    if (known !== undefined && at < known) this.byName.set(name, at);
  }

  /**
   * Delays all deadlines.
   *
   * @param milliseconds - the delay.
   */
  postpone(milliseconds: number): void {
    for (const [name, at] of this.byName) this.byName.set(name, at + milliseconds);
  }

  /**
   * Removes a deadline.
   *
   * @param name - what the deadline is for.
   */
  delete(name: string): void {
    this.byName.delete(name);
  }

  /**
   * Removes the deadlines that are due.
   *
   * @param now - monotonic milliseconds.
   * @returns The names of the removed deadlines.
   */
  takeDue(now: number): string[] {
    const due = [...this.byName].filter(([, at]) => at <= now).map(([name]) => name);
    for (const name of due) this.byName.delete(name);
    return due;
  }

  /** @returns The earliest deadline in monotonic milliseconds, or `undefined` if there is none. */
  earliest(): number | undefined {
    return this.byName.size === 0 ? undefined : Math.min(...this.byName.values());
  }
}
