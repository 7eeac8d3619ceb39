/**
 * Prints the cost of a configuration of a given size: bytes of the whole and of a change, time to check,
 * apply and read it. `node --import tsx standIns/platform/sizeConfiguration.ts [accounts]`
 */
import { performance } from 'node:perf_hooks';

import { create, toBinary, toJson } from '@bufbuild/protobuf';

import {
  ConfigurationDocument,
  changesUpdate,
  wholeDocumentUpdate,
} from '../../src/configuration/ConfigurationDocument.js';
import { ConfigurationState } from '../../src/configuration/ConfigurationState.js';
import { encodeUpdate } from '../../src/configuration/pullMessages.js';
import { validateConfiguration } from '../../src/configuration/validateConfiguration.js';
import { ConfigurationChangeSchema } from '../../src/generated/baobabdock/v1/changes_pb.js';
import { RunnerRecordSchema } from '../../src/generated/baobabdock/v1/configuration_pb.js';
import { accountEdit, runnerRecord, serviceEdit } from './sampleConfiguration.js';

const DEFAULT_ACCOUNTS = 6100;
const KEYS = 3;
const REPEATS = 50;

const accounts = Number(process.argv[2] ?? DEFAULT_ACCOUNTS);

function account(index: number) {
  const name = `client-account-${index}`;
  const keys = Array.from({ length: KEYS }, (_, key) => ({
    keyId: `${name}-key-${key}`,
    salt: new Uint8Array(16).fill(index),
    digest: new Uint8Array(32).fill(key),
  }));
  return accountEdit({
    name,
    keys,
    services: ['tile-sales'],
    maximumConcurrentRequests: 50,
    weight: 1,
  });
}

function millisecondsOf(work: () => void): number {
  const started = performance.now();
  for (let repeat = 0; repeat < REPEATS; repeat += 1) work();
  return Number(((performance.now() - started) / REPEATS).toFixed(2));
}

const service = serviceEdit({ name: 'tile-sales', kind: 'engine', model: 'tile' });
const edits = Array.from({ length: accounts }, (_, index) => account(index));
const state = ConfigurationState.EMPTY.withEdits([service, ...edits]);
const edit = accountEdit({ name: 'client-account-1', weight: 7, services: ['tile-sales'] });
const after = state.withEdits([edit]);
const change = create(ConfigurationChangeSchema, {
  revision: BigInt(after.revision),
  changeId: '3f0c1d5e-8c53-4a57-9d3e-0d2f6c1f7a11',
  author: 'operator',
  edits: [edit],
  digest: after.digest,
});
const whole = wholeDocumentUpdate(state);
const runner = runnerRecord({ runnerId: 'litoral-tile-sales-0123', accelerators: 8 });

process.stdout.write(
  `${JSON.stringify({
    accounts,
    wholeBytes: encodeUpdate('configuration', whole).content.length,
    changeBytes: toBinary(ConfigurationChangeSchema, change).length,
    pulledChangeBytes: encodeUpdate('configuration', changesUpdate([change])).content.length,
    runnerEntryBytes: JSON.stringify(toJson(RunnerRecordSchema, runner)).length,
    runnerRecordBytes: toBinary(RunnerRecordSchema, runner).length,
    checkMilliseconds: millisecondsOf(() => {
      validateConfiguration(after);
    }),
    applyMilliseconds: millisecondsOf(() => {
      state.withChange(change)?.configuration();
    }),
    takeWholeMilliseconds: millisecondsOf(() => {
      new ConfigurationDocument().apply(whole);
    }),
    answerWholeMilliseconds: millisecondsOf(() => {
      encodeUpdate('configuration', wholeDocumentUpdate(state));
    }),
  })}\n`,
);
