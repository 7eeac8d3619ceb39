/**
 * Changes under faults: what an operator is told is what happened.
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

interface Desk {
  readonly editor: ConfigurationEditor;
  readonly document: ConfigurationDocument;
  readonly repository: ConfigurationRepository;
}

let ids = 0;

/** An operator's daemon; `whileWaiting` runs between two tries of a change. */
function desk(store: PlatformStore, whileWaiting: () => void | Promise<void> = () => {}): Desk {
  const document = new ConfigurationDocument();
  const repository = new ConfigurationRepository({ store, historyChanges: 1000 });
  const editor = new ConfigurationEditor({
    repository,
    document,
    onCommitted: (answer) => {
      document.take(answer);
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

const asked = (changeId: string, ...edits: EntityEdit[]) => ({
  changeId,
  author: 'ana',
  comment: '',
  edits,
});

/** Everything that took effect at the platform, read without faults. */
async function effects(state: KeyValueState): Promise<string[]> {
  const { repository } = desk(new MemoryPlatformStore({ state }));
  const { head } = await repository.readHead();
  const revision = Number(head.revision);
  const changes = revision === 0 ? [] : await repository.changes(1, revision);
  return changes.map((change) => change.changeId);
}

describe('a change under faults', () => {
  // Symptom: an operator is told that a change failed and makes it again, or that it is in force when it is not.
  // Sequence: at one step, or at two, the platform is down, loses the request, loses the answer, or lets a
  // write take effect late, between two tries of its author.
  // Cause: taking a lost answer for a failure, repeating without the id, or believing a read that is too old.
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
      const { editor } = desk(store, () => store.faults.releaseLateEffects());
      const outcome = await editor.change(asked('one', policyEdit('warm', 1.2, 0)));
      expect({ ...outcome, repeated: undefined }).toEqual({
        kind: 'accepted',
        revision: 1,
        repeated: undefined,
      });
      // After a write that took effect no second one is sent, so it cannot meet a fault either.
      const [first, second] = plan;
      const tookEffect =
        first?.[1] === 'late_effect' || (first?.[0] === 'transact' && first[1] === 'lose_answer');
      expect(store.faults.unused).toEqual(tookEffect && second?.[0] === 'transact' ? 1 : 0);
      store.faults.releaseLateEffects();
      expect(await effects(store.state)).toEqual(['one']);
      expect(editor.revision()).toEqual(1);
      const again = await editor.change(asked('one', policyEdit('warm', 1.2, 0)));
      expect(again).toEqual({ kind: 'accepted', revision: 1, repeated: true });
    });
  }

  it('says unavailable while the platform is down, and unsure once a write may have arrived', async () => {
    // Symptom: "not changed" for a change that comes into force a minute later.
    // Sequence: the write's answer is lost, then the platform goes down and stays down.
    // Cause: the last failure alone deciding what the operator is told.
    const store = new MemoryPlatformStore();
    store.faults.set({ outage: true });
    const { editor } = desk(store);
    const down = await editor.change(asked('one', policyEdit('warm', 1.2)));
    expect(down.kind).toEqual('unavailable');
    store.faults.set({ outage: false });
    store.faults.plan('transact', 'late_effect');
    const { editor: other } = desk(store, () => store.faults.set({ outage: true }));
    const lost = await other.change(asked('two', policyEdit('warm', 1.2)));
    expect(lost.kind).toEqual('unsure');
    store.faults.set({ outage: false });
    store.faults.releaseLateEffects();
    expect(await effects(store.state)).toEqual(['two']);
    const repeated = await other.change(asked('two', policyEdit('warm', 1.2)));
    expect(repeated).toEqual({ kind: 'accepted', revision: 1, repeated: true });
  });

  it('does not believe old data about a change whose answer was lost', async () => {
    // Symptom: an operator is told of a conflict with a value that her own change has replaced.
    // Sequence: her answer is lost; the platform then answers reads as of before the change.
    // Cause: reading the id without looking at the age of the answer.
    const store = new MemoryPlatformStore();
    const { editor } = desk(store);
    await editor.change(asked('zero', policyEdit('warm', 1.2, 0)));
    const old = store.state.revision;
    let tries = 0;
    const { editor: late } = desk(store, () => {
      tries += 1;
      store.faults.set({ oldDataRevision: tries < 3 ? old - 1 : undefined });
    });
    store.faults.plan('transact', 'lose_answer');
    const outcome = await late.change(asked('one', policyEdit('warm', 1.3, 1)));
    expect(outcome).toEqual({ kind: 'accepted', revision: 2, repeated: true });
    expect(tries).toEqual(3);
  });

  it('does not believe an old answer about its id either', async () => {
    // Symptom: as above.
    // Sequence: her answer is lost; the head is read fresh, the id of her change from a member that lags.
    // Cause: comparing the age of the first read only.
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
    const { editor } = desk(store);
    await editor.change(asked('zero', policyEdit('warm', 1.2, 0)));
    store.faults.plan('transact', 'lose_answer');
    const outcome = await editor.change(asked('one', policyEdit('warm', 1.3, 1)));
    expect(outcome).toEqual({ kind: 'accepted', revision: 2, repeated: true });
  });

  it('accepts nothing while the platform holds less than is in force, until it is written back', async () => {
    // Symptom: yesterday's withdrawn key works again.
    // Sequence: the platform is restored from an older copy; an operator makes an unrelated change.
    // Cause: a change that follows on the older copy gets a revision that daemons apply.
    const { editor, document } = desk(new MemoryPlatformStore());
    await editor.change(asked('one', policyEdit('warm', 1.2)));
    await editor.change(asked('two', policyEdit('warm', 1.3)));
    const restored = new MemoryPlatformStore();
    const before = desk(restored);
    before.document.take(document.answer(0));
    const refused = await before.editor.change(asked('three', policyEdit('cold', 1.2)));
    expect(refused.kind).toEqual('unavailable');
    expect(await before.editor.restore()).toEqual(true);
    const accepted = await before.editor.change(asked('three', policyEdit('cold', 1.2)));
    expect(accepted).toEqual({ kind: 'accepted', revision: 3, repeated: false });
    const cold = await desk(restored).repository.read(0, '');
    expect([cold.answer.kind, cold.answer.revision]).toEqual(['whole', 3]);
  });
});

describe('operators who race', () => {
  it('has one winner and shows the other the newer value', async () => {
    const state = new KeyValueState();
    const [ana, boris] = [1, 2].map(() => desk(new MemoryPlatformStore({ state })));
    await ana!.editor.change(asked('zero', policyEdit('warm', 1.2, 0)));
    const outcomes = await Promise.all([
      ana!.editor.change(asked('one', policyEdit('warm', 1.3, 1))),
      boris!.editor.change(asked('two', policyEdit('warm', 1.4, 1))),
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
    // Symptom: an acknowledged change is gone, or a refused one is in force.
    // Sequence: any interleaving of up to three operators' calls with up to six faults.
    // Cause: any step that reads and writes without a condition on what was read.
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
        const common = new PlatformFaults();
        plan.forEach(([operation, fault]) => common.plan(operation, fault));
        const running = work.map(({ name, checked }, index) => {
          const step = (): Promise<void> => scheduler.schedule(Promise.resolve(), `step ${index}`);
          const store = new MemoryPlatformStore({ state, faults: common, step });
          const { editor } = desk(store, () => common.releaseLateEffects());
          const edit = policyEdit(name, 1.1 + index / 10, checked ? 0 : undefined);
          return editor.change(asked(`change-${index}`, edit));
        });
        await scheduler.waitFor(Promise.all(running));
        const outcomes = await Promise.all(running);
        common.releaseLateEffects();
        const made = await effects(state);
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
        const { repository } = desk(new MemoryPlatformStore({ state }));
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
    const { editor, document } = desk(store);
    const accounts = 12_000;
    for (let start = 0; start < accounts; start += 1000) {
      const edits = Array.from({ length: 1000 }, (_, index) => account(start + index));
      await editor.change(asked(`batch-${start}`, ...edits));
    }
    await editor.idle();
    const { entries } = await store.range(CHUNKS_PREFIX);
    expect(entries.length > 1).toEqual(true);
    expect(entries.every(({ value }) => value.length <= CHUNK_BYTES)).toEqual(true);
    const cold = new ConfigurationDocument();
    const { answer } = await desk(store).repository.read(0, '');
    expect(cold.take(answer)).toEqual('applied');
    expect([cold.revision(), cold.digest()]).toEqual([document.revision(), document.digest()]);
    expect((await desk(store).repository.readHead()).head.snapshotRevision).toEqual(12n);
  });

  it('never leaves a head that names chunks which are gone', async () => {
    // Symptom: after a restart of the fleet no daemon can read its configuration.
    // Sequence: a writer has written its chunks; a cleaner lists and removes them; the writer's head lands.
    // Cause: a removal, or a head, that is not conditioned on what the other one changes.
    const store = new MemoryPlatformStore();
    const { editor, repository } = desk(store);
    await editor.change(asked('one', policyEdit('warm', 1.2)));
    const state = desk(store)
      .document.state()
      .withEdits([policyEdit('warm', 1.2)]);
    const read = await repository.readHead();
    const written = await repository.snapshots.write(state, 'slow-writer');
    await desk(store).repository.clean();
    expect(await repository.publishSnapshot(written, read)).toEqual(false);
    const second = await repository.snapshots.write(state, 'quick-writer');
    const cleaning = desk(store).repository.snapshots.removeUnreferenced(async () => {
      const seen = await repository.readHead();
      expect(await repository.publishSnapshot(second, seen)).toEqual(true);
      return seen;
    });
    expect(await cleaning).toEqual(0);
    expect((await desk(store).repository.read(0, '')).answer.revision).toEqual(1);
  });
});
