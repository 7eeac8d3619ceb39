/**
 * A model engine stand-in as a process of its own, for the demo and for tests with processes.
 *
 * @example
 * ```sh
 * node --import tsx standIns/runners/engineMain.ts --name litoral-engine-1 --model tile-sales --port 0
 * ```
 */
import { parseArgs } from 'node:util';

import { EngineStandIn } from './EngineStandIn.js';
import { readNumber, runUntilStopped } from './mainOptions.js';

const { values } = parseArgs({
  options: {
    name: { type: 'string', default: 'engine' },
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    model: { type: 'string', default: 'stand-in' },
    version: { type: 'string', multiple: true, default: ['1'] },
    adapter: { type: 'string', multiple: true, default: [] },
    'step-milliseconds': { type: 'string', default: '4' },
    'maximum-sequences': { type: 'string', default: '32' },
    'prefill-tokens-per-step': { type: 'string', default: '512' },
    'cache-tokens': { type: 'string', default: '1000000' },
    'cache-event-lag-milliseconds': { type: 'string', default: '200' },
    'cache-event-loss': { type: 'string', default: '0.01' },
    'report-lag-milliseconds': { type: 'string', default: '500' },
    'load-milliseconds': { type: 'string', default: '500' },
    'keep-milliseconds': { type: 'string', default: '10000' },
    'ignores-fencing': { type: 'boolean', default: false },
    seed: { type: 'string', default: '1' },
  },
});

type NumericOption = {
  [Name in keyof typeof values]: (typeof values)[Name] extends string ? Name : never;
}[keyof typeof values];

function number(name: NumericOption): number {
  return readNumber(values[name], name);
}

await runUntilStopped(
  new EngineStandIn({
    host: values.host,
    port: number('port'),
    model: values.model,
    versions: values.version,
    adapters: values.adapter,
    checksFencing: !values['ignores-fencing'],
    stepMilliseconds: number('step-milliseconds'),
    maximumSequences: number('maximum-sequences'),
    prefillTokensPerStep: number('prefill-tokens-per-step'),
    cacheTokens: number('cache-tokens'),
    cacheEventLagMilliseconds: number('cache-event-lag-milliseconds'),
    cacheEventLoss: number('cache-event-loss'),
    reportLagMilliseconds: number('report-lag-milliseconds'),
    loadMilliseconds: number('load-milliseconds'),
    keepMilliseconds: number('keep-milliseconds'),
    seed: number('seed'),
  }),
  values.name,
);
