/**
 * Records the requests that the runners have run.
 */
import { promptPartsOf } from '../standIns/site/promptParts.js';
import type { ReceivedRequest } from '../standIns/site/siteRunnerTypes.js';

/** A request that a runner has started to run. */
export interface SoakRun {
  readonly id: string;
  readonly runner: string;
  /** When it started, monotonic ms. */
  readonly at: number;
  /** IP address of the link that the request arrived through. */
  readonly from: string;
  readonly target: string;
  readonly body: string;
  readonly account: string | undefined;
  /** Ids of the parts of the prompt. */
  readonly parts: readonly string[];
}

/** Keeps all runs. */
export class RunRecords {
  readonly all: SoakRun[] = [];

  private readonly byId = new Map<string, SoakRun[]>();

  /**
   * @param request - the request.
   * @param runner - id of the runner that runs it.
   * @param from - IP address that it arrived from.
   */
  add({ id = '', target, body, headers }: ReceivedRequest, runner: string, from: string): void {
    const account = headers.tenant as string | undefined;
    const parts = promptPartsOf(headers);
    const run = { id, runner, at: performance.now(), from, target, body, account, parts };
    this.all.push(run);
    this.byId.set(id, [...this.of(id), run]);
  }

  /**
   * @param id - id of a request.
   * @returns The runs of the request.
   */
  of(id: string): readonly SoakRun[] {
    return this.byId.get(id) ?? [];
  }
}
