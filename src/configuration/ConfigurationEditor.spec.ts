/**
 * Changes of the configuration while the platform's store fails: the outcome reported to the operator has to
 * match what took effect.
 */
import { describe, it } from 'node:test';

import { expect } from 'earl';
import fc from 'fast-check';

import { KeyValueState } from '../../standIns/platform/KeyValueState.js';
import { MemoryPlatformStore } from '../../standIns/platform/MemoryPlatformStore.js';
import { PlatformFaults } from '../../standIns/platform/PlatformFaults.js';
import type { PlatformFault, PlatformOperation } from '../../standIns/platform/PlatformFaults.js';
import { accountEdit, policyEdit } from '../../standIns/platform/sampleConfiguration.js';
import type { EntityEdit } from '../generated/baobabdock/v1/changes_pb.js';
import { SilentLog } from '../logging/Log.js';
import type { ChangeOutcome } from '../operators/ConfigurationChanges.js';
import type { PlatformStore } from '../store/PlatformStore.js';
import { ManualClock } from '../time/ManualClock.js';
import { ConfigurationDocument } from './ConfigurationDocument.js';
import { ConfigurationEditor } from './ConfigurationEditor.js';
import { CHANGE_IDS_PREFIX, CHUNKS_PREFIX } from './configurationKeys.js';
import { ConfigurationRepository } from './ConfigurationRepository.js';
import { seededRandom } from '../random/seededRandom.js';
import { CHUNK_BYTES } from './SnapshotStore.js';

interface EditorUnderTest {
  readonly editor: ConfigurationEditor;
  readonly document: ConfigurationDocument;
  readonly repository: ConfigurationRepository;
}

let ids = 0;

/** A daemon's editor with its document and repository; `whileWaiting` runs between two attempts of a change. */
function createEditor(
  store: PlatformStore,
  whileWaiting: () => void | Promise<void> = () => {},
): EditorUnderTest {
  const document = new ConfigurationDocument();
  const repository = new ConfigurationRepository({ store, historyChanges: 1000 });
  const editor = new ConfigurationEditor({
    repository,
    document,
    onCommitted: (answer) => {
      document.apply(answer);
    },
    clock: new ManualClock(),
    log: new SilentLog(),
    newId: () => {
      ids += 1;
      return `snapshot-${ids}`;
    },
    retry: { random: seededRandom(1), wait: async () => whileWaiting() },
    changesPerSnapshot: 12,
  });
  return { editor, document, repository };
}

const requestedChange = (changeId: string, ...edits: EntityEdit[]) => ({
  changeId,
  author: 'ana',
  comment: '',
  edits,
});

/** Ids of all changes that took effect in the store, read without faults. */
async function committedChangeIds(state: KeyValueState): Promise<string[]> {
  const { repository } = createEditor(new MemoryPlatformStore({ state }));
  const { head } = await repository.readHead();
  const revision = Number(head.revision);
  const changes = revision === 0 ? [] : await repository.changes(1, revision);
  return changes.map((change) => change.changeId);
}

describe('a change under faults', () => {
  // Guards against a wrong outcome: a change reported as failed although it is in force, so that the operator
  // makes it twice, or the reverse. In one or two steps the store refuses, loses the request, loses the response,
  // or applies a write late, between two attempts. It goes wrong if a lost response counts as a failure, an
  // attempt is repeated without the change id, or a stale read is trusted.
  const steps: readonly (readonly [PlatformOperation, PlatformFault])[] = [
    ['get', 'refuse'],
    ['get', 'lose_answer'],
    ['transact', 'refuse'],
    ['transact', 'lose_request'],
    ['transact', 'lose_answer'],
    ['transact', 'late_effect'],
  ];
  const single = steps.map((step) => [step]);
  const pairs = steps.flatMap((first) => steps.map((second) => [first, second]));
  for (const plan of [...single, ...pairs]) {
    const name = plan.map((step) => step.join(' ')).join(', then ');
    it(`is made once with ${name}`, async () => {
      const store = new MemoryPlatformStore();
      plan.forEach(([operation, fault]) => store.faults.plan(operation, fault));
      const { editor } = createEditor(store, () => store.faults.releaseLateEffects());
      const outcome = await editor.change(requestedChange('one', policyEdit('warm', 1.2, 0)));
      expect({ ...outcome, repeated: undefined }).toEqual({
        kind: 'accepted',
        revision: 1,
        repeated: undefined,
      });
      // After a write that took effect, no second write is sent, so a fault planned for it stays unused.
      const [first, second] = plan;
      const tookEffect =
        first?.[1] === 'late_effect' || (first?.[0] === 'transact' && first[1] === 'lose_answer');
      expect(store.faults.unused).toEqual(tookEffect && second?.[0] === 'transact' ? 1 : 0);
      store.faults.releaseLateEffects();
      expect(await committedChangeIds(store.state)).toEqual(['one']);
      expect(editor.revision()).toEqual(1);
      const again = await editor.change(requestedChange('one', policyEdit('warm', 1.2, 0)));
      expect(again).toEqual({ kind: 'accepted', revision: 1, repeated: true });
    });
  }

  it('says unavailable while the platform is down, and unsure once a write may have arrived', async () => {
    // Guards against reporting "not changed" for a change that comes into force a minute later. The write's
    // response is lost, then the store goes down and stays down. It goes wrong if the outcome depends on the
    // last failure alone.
    const store = new MemoryPlatformStore();
    store.faults.set({ outage: true });
    const { editor } = createEditor(store);
    const down = await editor.change(requestedChange('one', policyEdit('warm', 1.2)));
    expect(down.kind).toEqual('unavailable');
    store.faults.set({ outage: false });
    store.faults.plan('transact', 'late_effect');
    const { editor: other } = createEditor(store, () => store.faults.set({ outage: true }));
    const lost = await other.change(requestedChange('two', policyEdit('warm', 1.2)));
    expect(lost.kind).toEqual('unsure');
    store.faults.set({ outage: false });
    store.faults.releaseLateEffects();
    expect(await committedChangeIds(store.state)).toEqual(['two']);
    const repeated = await other.change(requestedChange('two', policyEdit('warm', 1.2)));
    expect(repeated).toEqual({ kind: 'accepted', revision: 1, repeated: true });
  });

  it('does not believe old data about a change whose answer was lost', async () => {
    // Guards against reporting a conflict with a value that the operator's own change has replaced. The response
    // to the write is lost, and the store then answers reads as of before the change. It goes wrong if the
    // change id is looked up without comparing the store revision of the response.
    const store = new MemoryPlatformStore();
    const { editor } = createEditor(store);
    await editor.change(requestedChange('zero', policyEdit('warm', 1.2, 0)));
    const old = store.state.revision;
    let tries = 0;
    const { editor: late } = createEditor(store, () => {
      tries += 1;
      store.faults.set({ oldDataRevision: tries < 3 ? old - 1 : undefined });
    });
    store.faults.plan('transact', 'lose_answer');
    const outcome = await late.change(requestedChange('one', policyEdit('warm', 1.3, 1)));
    expect(outcome).toEqual({ kind: 'accepted', revision: 2, repeated: true });
    expect(tries).toEqual(3);
  });

  it('does not believe an old answer about its id either', async () => {
    // Guards against the same wrong conflict. The response to the write is lost; the head is then read from an
    // up-to-date member of the store, but the change id from a lagging one. It goes wrong if only the store
    // revision of the first read is compared.
    class LaggingIds extends MemoryPlatformStore {
      private lags = true;

      override async get(key: string) {
        const old = key.startsWith(CHANGE_IDS_PREFIX) && this.lags;
        if (old) this.lags = false;
        this.faults.set({ oldDataRevision: old ? 2 : undefined });
        return super.get(key);
      }
    }
    const store = new LaggingIds();
    const { editor } = createEditor(store);
    await editor.change(requestedChange('zero', policyEdit('warm', 1.2, 0)));
    store.faults.plan('transact', 'lose_answer');
    const outcome = await editor.change(requestedChange('one', policyEdit('warm', 1.3, 1)));
    expect(outcome).toEqual({ kind: 'accepted', revision: 2, repeated: true });
  });

  it('accepts nothing while the platform holds less than is in force, until it is written back', async () => {
    // Guards against a withdrawn key that becomes valid again. The store is restored from an older backup, and an
    // operator makes an unrelated change. It goes wrong if that change, based on the older content, gets a
    // revision that daemons apply.
    const { editor, document } = createEditor(new MemoryPlatformStore());
    await editor.change(requestedChange('one', policyEdit('warm', 1.2)));
    await editor.change(requestedChange('two', policyEdit('warm', 1.3)));
    const restored = new MemoryPlatformStore();
    const before = createEditor(restored);
    before.document.apply(document.updateSince(0));
    const refused = await before.editor.change(requestedChange('three', policyEdit('cold', 1.2)));
    expect(refused.kind).toEqual('unavailable');
    expect(await before.editor.restore()).toEqual(true);
    const accepted = await before.editor.change(requestedChange('three', policyEdit('cold', 1.2)));
    expect(accepted).toEqual({ kind: 'accepted', revision: 3, repeated: false });
    const cold = await createEditor(restored).repository.read(0, '');
    expect([cold.answer.kind, cold.answer.revision]).toEqual(['whole', 3]);
  });
});

describe('operators who race', () => {
  it('has one winner and shows the other the newer value', async () => {
    const state = new KeyValueState();
    const [ana, boris] = [1, 2].map(() => createEditor(new MemoryPlatformStore({ state })));
    await ana!.editor.change(requestedChange('zero', policyEdit('warm', 1.2, 0)));
    const outcomes = await Promise.all([
      ana!.editor.change(requestedChange('one', policyEdit('warm', 1.3, 1))),
      boris!.editor.change(requestedChange('two', policyEdit('warm', 1.4, 1))),
    ]);
    const [winner, loser] = [...outcomes].sort((a, b) => (a.kind < b.kind ? -1 : 1));
    expect(winner).toEqual({ kind: 'accepted', revision: 2, repeated: false });
    expect([loser!.kind, (loser as ChangeOutcome & { kind: 'conflict' }).edit]).toEqual([
      'conflict',
      0,
    ]);
    const { current } = loser as ChangeOutcome & { kind: 'conflict' };
    expect(current?.changedRevision).toEqual(2n);
  });

  it('keeps every promise under any order of steps and any faults', async () => {
    // Guards against losing an accepted change, or applying a refused one. Property test over any interleaving of
    // up to three operators' calls with up to six faults. It fails if any step writes without a condition on
    // what it has read.
    const faults = fc.constantFrom<PlatformFault>(
      'refuse',
      'lose_request',
      'lose_answer',
      'late_effect',
    );
    const plans = fc.array(fc.tuple(fc.constantFrom('get', 'transact'), faults), { maxLength: 6 });
    const jobs = fc.array(fc.record({ name: fc.constantFrom('a', 'b'), checked: fc.boolean() }), {
      minLength: 2,
      maxLength: 3,
    });
    const property = fc.asyncProperty(
      fc.scheduler(),
      plans,
      jobs,
      async (scheduler, plan, work) => {
        const state = new KeyValueState();
        const sharedFaults = new PlatformFaults();
        plan.forEach(([operation, fault]) => sharedFaults.plan(operation, fault));
        const running = work.map(({ name, checked }, index) => {
          const step = (): Promise<void> => scheduler.schedule(Promise.resolve(), `step ${index}`);
          const store = new MemoryPlatformStore({ state, faults: sharedFaults, step });
          const { editor } = createEditor(store, () => sharedFaults.releaseLateEffects());
          const edit = policyEdit(name, 1.1 + index / 10, checked ? 0 : undefined);
          return editor.change(requestedChange(`change-${index}`, edit));
        });
        await scheduler.waitFor(Promise.all(running));
        const outcomes = await Promise.all(running);
        sharedFaults.releaseLateEffects();
        const made = await committedChangeIds(state);
        expect(new Set(made).size).toEqual(made.length);
        outcomes.forEach((outcome, index) => {
          const count = made.filter((changeId) => changeId === `change-${index}`).length;
          if (outcome.kind === 'accepted')
            expect(made[outcome.revision - 1]).toEqual(`change-${index}`);
          else if (outcome.kind !== 'unsure') expect(count).toEqual(0);
        });
        for (const wanted of ['a', 'b']) {
          const created = work.filter(
            ({ name, checked }, index) =>
              checked && name === wanted && made.includes(`change-${index}`),
          );
          expect(created.length <= 1).toEqual(true);
        }
        const { repository } = createEditor(new MemoryPlatformStore({ state }));
        const { answer } = await repository.read(0, '');
        expect(answer.revision).toEqual(made.length);
      },
    );
    await fc.assert(property, { numRuns: 300, seed: 20_261_202 });
  });
});

describe('a large configuration', () => {
  const account = (index: number): EntityEdit =>
    accountEdit({ name: `account-${index}`, services: [] });

  it('is kept in chunks below the value limit and read back whole', async () => {
    const store = new MemoryPlatformStore();
    const { editor, document } = createEditor(store);
    const accounts = 12_000;
    for (let start = 0; start < accounts; start += 1000) {
      const edits = Array.from({ length: 1000 }, (_, index) => account(start + index));
      await editor.change(requestedChange(`batch-${start}`, ...edits));
    }
    await editor.snapshotFinished();
    const { entries } = await store.range(CHUNKS_PREFIX);
    expect(entries.length > 1).toEqual(true);
    expect(entries.every(({ value }) => value.length <= CHUNK_BYTES)).toEqual(true);
    const cold = new ConfigurationDocument();
    const { answer } = await createEditor(store).repository.read(0, '');
    expect(cold.apply(answer)).toEqual('applied');
    expect([cold.revision(), cold.digest()]).toEqual([document.revision(), document.digest()]);
    expect((await createEditor(store).repository.readHead()).head.snapshotRevision).toEqual(12n);
  });

  it('never leaves a head that names chunks which are gone', async () => {
    // Guards against a configuration that no daemon can read after a restart of the fleet. A writer has written
    // its chunks, a cleanup lists and removes them, and the writer's head is then written. It goes wrong if the
    // removal, or the write of the head, is not conditioned on what the other one changes.
    const store = new MemoryPlatformStore();
    const { editor, repository } = createEditor(store);
    await editor.change(requestedChange('one', policyEdit('warm', 1.2)));
    const state = createEditor(store)
      .document.state()
      .withEdits([policyEdit('warm', 1.2)]);
    const read = await repository.readHead();
    const written = await repository.snapshots.write(state, 'slow-writer');
    await createEditor(store).repository.removeObsoleteKeys();
    expect(await repository.publishSnapshot(written, read)).toEqual(false);
    const second = await repository.snapshots.write(state, 'quick-writer');
    const cleaning = createEditor(store).repository.snapshots.removeUnreferenced(async () => {
      const seen = await repository.readHead();
      expect(await repository.publishSnapshot(second, seen)).toEqual(true);
      return seen;
    });
    expect(await cleaning).toEqual(0);
    expect((await createEditor(store).repository.read(0, '')).answer.revision).toEqual(1);
  });
});
