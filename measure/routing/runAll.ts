/**
 * Runs several runs, some at a time, each in a thread that shares no memory with the others.
 */
import { Worker } from 'node:worker_threads';

import type { RoutingResult } from './RoutingTally.js';
import type { RoutingRunOptions } from './routingRunOptions.js';

/** A run with its results. */
export interface FinishedRun {
  readonly options: RoutingRunOptions;
  readonly result: RoutingResult;
}

/** More would not leave the machine to others. */
const MAXIMUM_THREADS = 3;

/** A thread of Node.js 20 does not inherit the loader of TypeScript; it has to register its own. */
const BOOTSTRAP = `
  import('tsx/esm/api').then(({ register }) => {
    register();
    return import(${JSON.stringify(new URL('./routingWorker.ts', import.meta.url).href)});
  });
`;

function runIn(worker: Worker, options: RoutingRunOptions): Promise<RoutingResult> {
  return new Promise((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
    worker.postMessage(options);
  });
}

/**
 * @param runs - the runs, in the order of the output.
 * @param onFinished - called in that order, as soon as a run and all before it are finished.
 */
export async function runAll(
  runs: readonly RoutingRunOptions[],
  onFinished: (run: FinishedRun) => void,
): Promise<void> {
  const finished = new Map<number, FinishedRun>();
  let next = 0;
  let told = 0;
  const work = async (): Promise<void> => {
    const worker = new Worker(BOOTSTRAP, { eval: true });
    try {
      while (next < runs.length) {
        const index = next;
        next += 1;
        const options = runs[index]!;
        finished.set(index, { options, result: await runIn(worker, options) });
        for (let run = finished.get(told); run; run = finished.get(told)) {
          onFinished(run);
          told += 1;
        }
      }
    } finally {
      await worker.terminate();
    }
  };
  await Promise.all(Array.from({ length: Math.min(MAXIMUM_THREADS, runs.length) }, work));
}
