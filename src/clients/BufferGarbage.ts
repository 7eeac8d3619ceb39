/**
 * Collects garbage early where memory is scarce. The runtime lets some 32 MB of young buffers, and more of old ones, die
 * before it collects them by itself, as it does not know how small the instance is.
 */
import type { Clock } from '../time/Clock.js';

/** Options of {@link BufferGarbage}. */
export interface BufferGarbageOptions {
  /** Memory of the instance, in bytes. */
  memoryBytes: number;
  clock: Clock;
  /** Returns the memory that the process takes, in bytes. */
  residentBytes?: () => number;
  /** Collects garbage; does nothing if the runtime was not started with `--expose-gc`. */
  collect?: (kind: GarbageKind) => void;
}

/** `young`: buffers that have just arrived, in about a millisecond; `all`: bodies that were given up too. */
export type GarbageKind = 'young' | 'all';

/** Bytes of bodies between two looks at the memory. */
const LOOK_BYTES = 2_097_152;

/** Share of the memory beyond which garbage is collected. */
const SCARCE_SHARE = 0.45;

/** Least time between two collections of all garbage, in ms; each takes some tens. */
const LEAST_MILLISECONDS = 100;

const collectGarbage = globalThis.gc as
  ((options: { type: 'major' | 'minor' }) => void) | undefined;

function collectKind(kind: GarbageKind): void {
  collectGarbage?.({ type: kind === 'all' ? 'major' : 'minor' });
}

/** Watches the memory while bodies arrive. */
export class BufferGarbage {
  private readonly options: Required<BufferGarbageOptions>;

  private receivedBytes = 0;

  private collectedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param options - the memory of the instance.
   */
  constructor(options: BufferGarbageOptions) {
    const residentBytes = () => process.memoryUsage.rss();
    this.options = { residentBytes, collect: collectKind, ...options };
  }

  /**
   * @param bytes - number of bytes of a body that have arrived.
   */
  recordReceived(bytes: number): void {
    this.receivedBytes += bytes;
    if (this.receivedBytes < LOOK_BYTES) return;
    this.receivedBytes = 0;
    const { memoryBytes, clock, residentBytes, collect } = this.options;
    if (residentBytes() < SCARCE_SHARE * memoryBytes) return;
    const now = clock.monotonicMilliseconds();
    const isDue = now - this.collectedAt >= LEAST_MILLISECONDS;
    if (isDue) this.collectedAt = now;
    collect(isDue ? 'all' : 'young');
  }
}
