/**
 * What daemons remember of each other's retries.
 */
/** Daemons that remember what another one has told. */
const KEEPERS = 2;

/** What daemons of one fleet have told each other of their retries. */
export class ToldRetries {
  private readonly told = new Map<number, { retries: readonly number[]; keepers: string[] }>();

  private readonly lives = new Map<number, number>();

  private readonly daemons: number;

  /**
   * @param daemons - in the fleet.
   */
  constructor(daemons: number) {
    this.daemons = daemons;
  }

  /**
   * @param daemon - that tells the next ones.
   * @param retries - when it sent its latest ones.
   */
  tell(daemon: number, retries: readonly number[]): void {
    const others = Array.from({ length: KEEPERS }, (_, index) => daemon + index + 1);
    const keepers = others.map((other) => this.lifeOf(other % this.daemons));
    this.told.set(daemon, { retries: [...retries], keepers });
  }

  /**
   * @param daemon - that has ended, with what others told it.
   */
  ended(daemon: number): void {
    this.lives.set(daemon, (this.lives.get(daemon) ?? 0) + 1);
  }

  /**
   * @param daemon - that has started.
   * @returns What its life before has told, or `undefined` where nobody is left who heard it.
   */
  recall(daemon: number): readonly number[] | undefined {
    const told = this.told.get(daemon);
    const isKept = told?.keepers.some(
      (keeper) => this.lifeOf(Number(keeper.split('/')[0])) === keeper,
    );
    return isKept ? told?.retries : undefined;
  }

  private lifeOf(daemon: number): string {
    return `${daemon}/${this.lives.get(daemon) ?? 0}`;
  }
}
