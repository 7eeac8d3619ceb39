import { beforeEach, describe, it } from 'node:test';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { RunnerConnections } from '../forwarding/RunnerConnections.js';
import type { RunnerEntry } from '../runners/Runner.js';
import { WarmPlaces } from '../runners/WarmPlaces.js';
import { syncLogEvents } from '../sync/syncFeature.js';
import { KnowledgeChangeHandler } from './KnowledgeChangeHandler.js';

function runnerOf(index: number): RunnerEntry {
  const id = `runner-${index}`;
  const place = { host: '10.0.0.1', port: 8_000 + index, dataCentre: 'north' };
  return { id, life: id, service: 'chat', state: 'ready', ...place };
}

describe(KnowledgeChangeHandler.name, () => {
  let log: MemoryLog;
  let reactions: KnowledgeChangeHandler;

  beforeEach(() => {
    log = new MemoryLog();
    reactions = new KnowledgeChangeHandler({
      dataCentres: ['north'],
      connections: new RunnerConnections(),
      warmPlaces: new WarmPlaces(),
      log,
      revision: () => 7,
      applyLeavingRunners: () => undefined,
      applyQuarantine: () => undefined,
      applyVersionHistory: () => undefined,
      applyLimits: () => undefined,
      onStoreRestored: () => undefined,
      onUpdate: () => undefined,
    });
  });

  it('logs each changed runner up to a limit, and only counts the rest', () => {
    // Guards against a start that writes a line for each of thousands of runners, so that the line limit of the log leaves
    // out all other lines.
    for (let index = 0; index < 3_000; index += 1) {
      reactions.runnerChanged(runnerOf(index), index % 3 === 0 ? 'draining' : 'ready');
    }
    reactions.updated();
    expect(log.fieldsOf(syncLogEvents.runnerChanged).length).toEqual(40);
    const more = log.fieldsOf(syncLogEvents.moreRunnersChanged);
    expect(more).toEqual([{ ready: 1_974, draining: 986, revision: 7 }]);
    reactions.runnerChanged(runnerOf(1), 'gone');
    reactions.updated();
    expect(log.fieldsOf(syncLogEvents.runnerChanged).length).toEqual(41);
    expect(log.fieldsOf(syncLogEvents.moreRunnersChanged).length).toEqual(1);
  });

  it('logs evacuations, and reports those of unknown data centres', () => {
    reactions.evacuationChanged('north', 'begun');
    reactions.evacuationChanged('nroth', 'begun');
    const begun = { state: 'begun', revision: 7 };
    expect(log.fieldsOf(syncLogEvents.evacuationChanged)).toEqual([
      { dataCentre: 'north', ...begun },
    ]);
    expect(log.fieldsOf(syncLogEvents.evacuationUnknown)).toEqual([
      { dataCentre: 'nroth', ...begun },
    ]);
  });
});
