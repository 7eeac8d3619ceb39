/**
 * What the runners ran.
 */
import { promptPartsOf } from '../standIns/site/promptParts.js';
import type { ReceivedRequest } from '../standIns/site/siteRunnerTypes.js';

/** A request that a runner began to run. */
export interface SoakRun {
  readonly id: string;
  readonly runner: string;
  /** Monotonic ms. */
  readonly at: number;
  /** IP number of the link that it came through. */
  readonly from: string;
  readonly target: string;
  readonly body: string;
  readonly account: string | undefined;
  /** Ids of the parts of its prompt. */
  readonly parts: readonly string[];
}

/** Keeps all runs. */
export class RunBook {
  readonly all: SoakRun[] = [];

  private readonly byId = new Map<string, SoakRun[]>();

  /**
   * @param request - that began to run.
   * @param runner - id of the runner.
   * @param from - IP number that it came from.
   */
  note({ id = '', target, body, headers }: ReceivedRequest, runner: string, from: string): void {
    const account = headers.tenant as string | undefined;
    const parts = promptPartsOf(headers);
    const run = { id, runner, at: performance.now(), from, target, body, account, parts };
    this.all.push(run);
    this.byId.set(id, [...this.of(id), run]);
  }

  /**
   * @param id - of a request.
   * @returns Its runs.
   */
  of(id: string): readonly SoakRun[] {
    return this.byId.get(id) ?? [];
  }
}
