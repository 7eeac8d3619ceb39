import { beforeEach, describe, it } from 'node:test';
import { setImmediate as settle } from 'node:timers/promises';

import { expect } from 'earl';

import { MemoryLog } from '../callers/testFakes.js';
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { StreamRecordsRead } from '../sync/FleetStore.js';
import { ManualClock } from '../time/ManualClock.js';
import { StreamArchive } from './StreamArchive.js';
import type { StreamArchiveOptions } from './StreamArchive.js';
import type { StreamRecordBatch } from './streamVersionTypes.js';

const LIFE_MILLISECONDS = 25_000;

const MAXIMUM_WAITING = 100_000;

/** A call of the store that waits for its answer. */
interface PendingCall<T> {
  readonly of: T;
  answer(read?: StreamRecordsRead): void;
  fail(): void;
}

const NOTHING: StreamRecordsRead = { batches: [], skipped: 0 };

function batchOf(bucket: number, ...streams: readonly bigint[]): StreamRecordBatch {
  return { bucket, groups: [{ softwareVersion: 'v1', streams }] };
}

describe(StreamArchive.name, () => {
  let clock: ManualClock;
  let log: MemoryLog;
  let due: { at: number; call: () => void }[];
  let reads: PendingCall<number | undefined>[];
  let writes: PendingCall<readonly StreamRecordBatch[]>[];
  let known: [bigint, string][];

  beforeEach(() => {
    clock = new ManualClock();
    log = new MemoryLog();
    due = [];
    reads = [];
    writes = [];
    known = [];
  });

  function hold<T>(calls: PendingCall<T>[], of: T): Promise<StreamRecordsRead> {
    return new Promise((done, fail) => {
      const refuse = () => fail(new Error('the store does not answer'));
      calls.push({ of, answer: (read = NOTHING) => done(read), fail: refuse });
    });
  }

  function create(options: Partial<StreamArchiveOptions> = {}): StreamArchive {
    return new StreamArchive({
      store: {
        appendStreamRecords: async (batches) => {
          await hold(writes, batches);
        },
        readStreamRecords: (bucket) => hold(reads, bucket),
      },
      log,
      registry: new MetricRegistry({ clock }),
      clock,
      keyBucketOf: (bucket) => bucket,
      writtenBuckets: () => new Set(Array.from({ length: 16 }, (_, bucket) => bucket)),
      readBuckets: () => 'all',
      writeMilliseconds: () => 500,
      lifeMilliseconds: () => LIFE_MILLISECONDS,
      onRecord: (stream, softwareVersion) => known.push([stream, softwareVersion]),
      later: (call, milliseconds) =>
        due.push({ at: clock.monotonicMilliseconds() + milliseconds, call }),
      ...options,
    });
  }

  /** Runs what is due within the given time, ms, with the effects of promises in between. */
  async function advance(milliseconds: number): Promise<void> {
    const end = clock.monotonicMilliseconds() + milliseconds;
    await settle();
    for (;;) {
      const next = due.filter(({ at }) => at <= end).sort((one, other) => one.at - other.at)[0];
      if (!next) break;
      due.splice(due.indexOf(next), 1);
      clock.advance(next.at - clock.monotonicMilliseconds());
      next.call();
      await settle();
    }
    clock.advance(end - clock.monotonicMilliseconds());
  }

  function written(): readonly (readonly StreamRecordBatch[])[] {
    return writes.map(({ of }) => of);
  }

  describe('that reads', () => {
    it('passes on all records once, and says how many entries it skipped', async () => {
      const archive = create();
      archive.start();
      archive.start();
      expect([archive.isRead, reads.map(({ of }) => of)]).toEqual([false, [undefined]]);
      reads[0]?.answer({ batches: [batchOf(1, 1n, 17n), batchOf(2, 2n)], skipped: 3 });
      await advance(60_000);
      expect(known.map(([stream]) => stream)).toEqual([1n, 17n, 2n]);
      expect([archive.isRead, reads.length]).toEqual([true, 1]);
      const [line] = log.fieldsOf(forwardingLogEvents.archiveRead);
      expect(line).toEqual({ records: 3, skipped: 3, milliseconds: 0 });
    });

    it('tries again with longer pauses until all buckets have been read', async () => {
      // Guards against a daemon that takes the streams of a bucket for unknown because the store did not answer.
      const archive = create({ readBuckets: () => [3, 4] });
      archive.start();
      reads[0]?.answer();
      for (const pause of [100, 200, 400, 800, 1_000, 1_000]) {
        reads.at(-1)?.fail();
        await advance(pause - 1);
        const before = reads.length;
        await advance(1);
        expect([archive.isRead, reads.length - before]).toEqual([false, 2]);
        reads.at(-2)?.answer();
      }
      reads.at(-1)?.answer({ batches: [batchOf(4, 4n)], skipped: 0 });
      await advance(0);
      expect([archive.isRead, known.length]).toEqual([true, 1]);
      expect(log.fieldsOf(forwardingLogEvents.archiveFailed).length).toEqual(1);
    });

    it('stays stopped if the answer comes after its end', async () => {
      // Guards against a daemon that ends and writes again, since the answer of its read came late.
      const archive = create();
      archive.start();
      archive.stop();
      reads[0]?.answer();
      await advance(0);
      archive.add(1n, 'v1');
      await advance(1_000);
      expect(writes.length).toEqual(0);
    });
  });

  describe('that writes', () => {
    it('writes nothing without news', async () => {
      const archive = create();
      archive.flushSoon();
      await advance(60_000);
      expect(writes.length).toEqual(0);
      archive.add(1n, 'v1');
      await advance(20);
      writes[0]?.answer();
      await advance(60_000);
      expect(writes.length).toEqual(1);
    });

    it('collects records by bucket and version, without those of buckets that others write', async () => {
      const archive = create({ writtenBuckets: () => new Set([1, 2]) });
      for (const [stream, version] of [
        [1n, 'v1'],
        [17n, 'v2'],
        [2n, 'v1'],
        [3n, 'v1'],
        [33n, 'v1'],
      ] as const)
        archive.add(stream, version);
      await advance(20);
      const first = {
        bucket: 1,
        groups: [
          { softwareVersion: 'v1', streams: [1n, 33n] },
          { softwareVersion: 'v2', streams: [17n] },
        ],
      };
      expect(written()).toEqual([[first, batchOf(2, 2n)]]);
    });

    it('has one call in flight, and half a second between two', async () => {
      // Guards against more writes than the store takes, above all while it is slow.
      const archive = create();
      archive.add(1n, 'v1');
      await advance(20);
      archive.add(2n, 'v1');
      archive.flushSoon();
      await advance(5_000);
      expect(writes.length).toEqual(1);
      writes[0]?.answer();
      await advance(499);
      expect(writes.length).toEqual(1);
      await advance(1);
      expect(written()[1]).toEqual([batchOf(2, 2n)]);
    });

    it('writes the records of a failed write again, with those that came meanwhile', async () => {
      // Guards against streams that are lost with all daemons because one write failed.
      const archive = create();
      archive.add(1n, 'v1');
      await advance(20);
      archive.add(17n, 'v1');
      writes[0]?.fail();
      await advance(500);
      expect(written()[1]).toEqual([batchOf(1, 1n, 17n)]);
      expect(log.fieldsOf(forwardingLogEvents.archiveFailed).length).toEqual(1);
    });

    it('keeps no more records than its limit while each write fails', async () => {
      // Guards against memory that grows for as long as the store does not answer.
      const archive = create();
      archive.add(0n, 'v1');
      await advance(20);
      for (const round of [1n, 2n]) {
        const first = round * 1_000_000n;
        for (let index = 0; index < MAXIMUM_WAITING; index += 1)
          archive.add(first + BigInt(index), 'v1');
        writes.at(-1)?.fail();
        await advance(500);
      }
      const groups =
        written()
          .at(-1)
          ?.flatMap((batch) => batch.groups) ?? [];
      const count = groups.reduce((sum, { streams }) => sum + streams.length, 0);
      expect(count).toBeLessThanOrEqual(MAXIMUM_WAITING);
    });

    it('writes records again after a restore of the store', async () => {
      // Guards against records that only the lost part of the store held.
      const archive = create({ writtenBuckets: () => new Set([1]) });
      archive.add(1n, 'v1');
      await advance(20);
      writes[0]?.answer();
      await advance(1_000);
      archive.addAll([
        [1n, 'v1'],
        [2n, 'v1'],
      ]);
      await advance(20);
      expect(written()[1]).toEqual([batchOf(1, 1n)]);
    });

    it('keeps nothing to write once it has stopped', async () => {
      const archive = create();
      archive.add(1n, 'v1');
      await advance(20);
      archive.add(2n, 'v1');
      archive.stop();
      writes[0]?.fail();
      archive.add(3n, 'v1');
      await advance(60_000);
      expect(writes.length).toEqual(1);
    });
  });
});
