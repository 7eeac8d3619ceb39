import { describe, it } from 'node:test';

import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';

import { DrainSchema, RunnerRecordSchema } from '../generated/baobabdock/v1/configuration_pb.js';
import { RunnerIndex } from './RunnerIndex.js';

function drainOf(id: string, incarnation: bigint) {
  return create(DrainSchema, { kind: 'runner', id, incarnation });
}

describe(RunnerIndex.name, () => {
  it('excludes a drained runner from new work until the drain is lifted or the runner restarts', () => {
    // Guards against a drained runner that gets work again, because its gate reports it live and the report overrides the
    // drain, and against one that gets none after the drain was lifted, because the drain was treated like leaving, which
    // is final.
    const record = create(RunnerRecordSchema, { runnerId: 'r', service: 's', incarnation: 5n });
    const book = new RunnerIndex();
    book.replaceList([record]);
    const states: (string | undefined)[] = [];
    const note = () => states.push(book.get('r')?.state);
    book.drain([drainOf('r', 5n)]);
    note();
    book.applyReport('r', 5n, 'live');
    note();
    book.applyReport('r', 5n, 'down');
    note();
    book.applyReport('r', 5n, 'live');
    book.drain([]);
    note();
    book.drain([drainOf('r', 5n)]);
    book.replaceList([{ ...record, incarnation: 6n }]);
    note();
    expect(states).toEqual(['ejected', 'ejected', 'down', 'live', 'live']);
    expect([book.drain([drainOf('r', 5n)]), book.drain([])]).toEqual([false, true]);
  });
});
