/**
 * Keeps the records of streams in the store, so that they outlive all daemons. Records are written in batches, since the
 * store takes fewer writes a second than streams begin.
 */
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import type { Log } from '../logging/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { CallScheduler } from '../news/MessageRepeater.js';
import type { FleetStore } from '../sync/FleetStore.js';
import type { Clock } from '../time/Clock.js';
import { groupByVersion } from './RecordSender.js';
import type { BegunStream } from './RecordSender.js';
import { bucketOf } from './streamBuckets.js';
import type { StreamRecordBatch } from './streamVersionTypes.js';

/** Options of a {@link StreamArchive}. */
export interface StreamArchiveOptions {
  store: Pick<FleetStore, 'appendStreamRecords' | 'readStreamRecords'>;
  log: Log;
  registry: MetricRegistry;
  clock: Clock;
  /** Buckets whose records this daemon writes. */
  writtenBuckets: () => ReadonlySet<number>;
  /** Returns the bucket under whose keys the records of a bucket are written; several may share one. */
  keyBucketOf: (bucket: number) => number;
  /** Buckets whose records it reads at its start. */
  readBuckets: () => readonly number[] | 'all';
  /** Returns the pause between two writes, in ms: a stream that began since the last one is lost with all daemons. */
  writeMilliseconds: () => number;
  /** Returns how long a record is of use, in ms. */
  lifeMilliseconds: () => number;
  /** Called for each record that was read. */
  onRecord: (stream: bigint, softwareVersion: string) => void;
  /** Schedules a call. */
  later: CallScheduler;
}

/** Delay of a write after a pause, in ms, in which records are collected. */
const FIRST_WRITE_MILLISECONDS = 20;

/** Pauses after failed reads, in ms; doubled with each one. */
const FIRST_PAUSE_MILLISECONDS = 100;
const LONGEST_PAUSE_MILLISECONDS = 1_000;

/** Most records that wait for the store while it does not answer. */
const MAXIMUM_WAITING = 100_000;

/** Most records in one write; as base64 they take about 11 bytes each, and an entry of the store is limited to 1 MB. */
const MAXIMUM_WRITTEN = 20_000;

/** Shortest time between two log lines about failures, in ms. */
const LOG_PAUSE_MILLISECONDS = 5_000;

type ArchivedStream = Pick<BegunStream, 'stream' | 'softwareVersion'>;

/** Owns the records that have not been written yet. */
export class StreamArchive {
  private readonly options: StreamArchiveOptions;

  private readonly records;

  private readonly calls;

  /** Versions of the streams that are to be written, by stream. */
  private waiting = new Map<bigint, string>();

  private isWriting = false;

  private isScheduled = false;

  private lastWriteAt = Number.NEGATIVE_INFINITY;

  private loggedAt = Number.NEGATIVE_INFINITY;

  private phase: 'new' | 'reading' | 'read' | 'stopped' = 'new';

  /**
   * @param options - the store, and which records this daemon writes and reads.
   */
  constructor(options: StreamArchiveOptions) {
    const { registry } = options;
    this.options = options;
    this.records = registry.counter({
      name: 'stream_archive_records',
      help: 'Records of streams that were written to the store, read from it, or dropped because it did not answer.',
      labels: ['action'] as const,
    });
    this.calls = registry.counter({
      name: 'stream_archive_calls',
      help: 'Reads and writes of records of streams in the store, by outcome.',
      labels: ['outcome'] as const,
    });
  }

  /** @returns Whether the records have been read that were in the store when this daemon started. */
  get isRead(): boolean {
    return this.phase === 'read';
  }

  /** Reads the records once; later calls do nothing. */
  start(): void {
    if (this.phase !== 'new') return;
    this.phase = 'reading';
    void this.read(this.now, FIRST_PAUSE_MILLISECONDS);
  }

  /** Writes nothing any more. */
  stop(): void {
    this.phase = 'stopped';
    this.waiting.clear();
  }

  /**
   * Adds a record, if this daemon writes those of its bucket.
   *
   * @param stream - key of a stream.
   * @param softwareVersion - version that began it.
   */
  add(stream: bigint, softwareVersion: string): void {
    if (this.isStopped || !this.options.writtenBuckets().has(bucketOf(stream))) return;
    if (this.waiting.size >= MAXIMUM_WAITING) {
      this.records.increment({ action: 'dropped' });
      return;
    }
    this.waiting.set(stream, softwareVersion);
    this.schedule(this.now - this.lastWriteAt < this.options.writeMilliseconds());
  }

  /** Writes the records soon, although the last write may have been a moment ago. */
  flushSoon(): void {
    if (this.waiting.size > 0)
      this.options.later(() => {
        void this.write();
      }, FIRST_WRITE_MILLISECONDS);
  }

  /**
   * Adds all records that may be of use: a second version has appeared, or the restored store may have lost them.
   *
   * @param records - the version that began each stream, by its key.
   */
  addAll(records: Iterable<readonly [bigint, string]>): void {
    for (const [stream, softwareVersion] of records) this.add(stream, softwareVersion);
  }

  private get isStopped(): boolean {
    return this.phase === 'stopped';
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private async read(startedAt: number, pause: number): Promise<void> {
    const { store, readBuckets, onRecord, later, log } = this.options;
    if (this.phase !== 'reading') return;
    try {
      const buckets = readBuckets();
      const reads = buckets === 'all' ? [undefined] : buckets;
      const results = await Promise.all(reads.map((bucket) => store.readStreamRecords(bucket)));
      if (this.isStopped) return;
      let records = 0;
      for (const { groups } of results.flatMap(({ batches }) => batches)) {
        for (const { softwareVersion, streams } of groups) {
          for (const stream of streams) onRecord(stream, softwareVersion);
          records += streams.length;
        }
      }
      this.calls.increment({ outcome: 'read' });
      this.records.add(records, { action: 'read' });
      this.phase = 'read';
      log.write(forwardingLogEvents.archiveRead, {
        records,
        skipped: results.reduce((sum, { skipped }) => sum + skipped, 0),
        milliseconds: Math.round(this.now - startedAt),
      });
    } catch (error) {
      this.reportFailure('read', error as Error);
      const next = Math.min(2 * pause, LONGEST_PAUSE_MILLISECONDS);
      later(() => {
        void this.read(startedAt, next);
      }, pause);
    }
  }

  private schedule(isSoonAfterLast: boolean): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    const { later, writeMilliseconds } = this.options;
    const milliseconds = isSoonAfterLast ? writeMilliseconds() : FIRST_WRITE_MILLISECONDS;
    later(() => {
      this.isScheduled = false;
      void this.write();
    }, milliseconds);
  }

  private async write(): Promise<void> {
    if (this.isWriting || this.waiting.size === 0) return;
    const { store, lifeMilliseconds } = this.options;
    const all = [...this.waiting];
    const records = new Map(all.slice(0, MAXIMUM_WRITTEN));
    this.waiting = new Map(all.slice(MAXIMUM_WRITTEN));
    this.isWriting = true;
    this.lastWriteAt = this.now;
    try {
      await store.appendStreamRecords(this.batchesOf(records), lifeMilliseconds());
      this.calls.increment({ outcome: 'written' });
      this.records.add(records.size, { action: 'written' });
    } catch (error) {
      this.reportFailure('write', error as Error);
      if (!this.isStopped) this.keep(records);
    }
    this.isWriting = false;
    if (this.waiting.size > 0) this.schedule(true);
  }

  /** Puts records back that could not be written; the older ones are dropped where there are too many. */
  private keep(records: ReadonlyMap<bigint, string>): void {
    const all = [...records, ...this.waiting];
    const excess = Math.max(0, all.length - MAXIMUM_WAITING);
    if (excess > 0) this.records.add(excess, { action: 'dropped' });
    this.waiting = new Map(all.slice(excess));
  }

  private batchesOf(records: ReadonlyMap<bigint, string>): StreamRecordBatch[] {
    const buckets = new Map<number, ArchivedStream[]>();
    for (const [stream, softwareVersion] of records) {
      const bucket = this.options.keyBucketOf(bucketOf(stream));
      const known = buckets.get(bucket);
      if (known) known.push({ stream, softwareVersion });
      else buckets.set(bucket, [{ stream, softwareVersion }]);
    }
    return [...buckets].map(([bucket, begun]) => ({ bucket, groups: groupByVersion(begun) }));
  }

  private reportFailure(during: 'read' | 'write', error: Error): void {
    this.calls.increment({ outcome: `${during}_failed` });
    if (this.now - this.loggedAt < LOG_PAUSE_MILLISECONDS) return;
    this.loggedAt = this.now;
    this.options.log.write(forwardingLogEvents.archiveFailed, { during, error: error.message });
  }
}
