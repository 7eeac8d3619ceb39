/**
 * One daemon of a simulated fleet, for tests: its fleet state and its relay, and when it reads the simulated store.
 */
import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import { SilentLog } from '../logging/Log.js';
import { FleetSocket } from '../news/FleetSocket.js';
import type { StoreFact } from '../sync/FleetStore.js';
import { createTestKnowledge } from '../sync/testKnowledge.js';
import type { ManualClock } from '../time/ManualClock.js';
import { StoreRelay } from './StoreRelay.js';

/**
 * As in `RouterDaemon`: the interval between reads as a share of the bound, and how long broadcasts count as current,
 * as a multiple of that interval (1.5).
 */
const READ_INTERVAL_SHARE = 0.4;
const FRESH_READS = 1.5;

/** Store readers shorten the interval by up to this share, at random. */
const JITTER_SHARE = 0.4;

/** Interval between calls to an unavailable store, in ms. */
const PAUSE_MILLISECONDS = 500;

/** The state of the store at one moment. */
export interface TestStoreView {
  readonly isUnavailable: boolean;
  readonly revision: number;
  readonly currentFacts: () => StoreFact[];
  /** Changes after a revision; `undefined` if the history does not reach back that far. */
  readonly changesAfter: (revision: number) => StoreFact[] | undefined;
}

class CapturingSocket extends FleetSocket {
  readonly sent: Uint8Array[] = [];

  handler: (message: Uint8Array) => void = () => undefined;

  constructor() {
    super({ log: new SilentLog(), secret: () => 'secret' });
  }

  override handle(_kind: MessageKind, handler: (message: Uint8Array) => void): void {
    this.handler = handler;
  }

  override send(_kind: MessageKind, message: Uint8Array): void {
    this.sent.push(message);
  }
}

/** Options of a {@link TestDaemon}. */
export interface TestDaemonOptions {
  name: string;
  isReader: boolean;
  hasReaders: boolean;
  boundMilliseconds: number;
  clock: ManualClock;
  random: () => number;
  later: (call: () => void, milliseconds: number) => void;
}

/** One daemon of a {@link TestFleet}, with its fleet state and its reads of the store. */
export class TestDaemon {
  readonly name: string;

  readonly knowledge = createTestKnowledge().knowledge;

  readonly socket = new CapturingSocket();

  /** Start time of its incarnation, monotonic ms. */
  readonly startedAt: number;

  /** It reaches neither the store nor other daemons until then, monotonic ms. */
  disconnectedUntil = Number.NEGATIVE_INFINITY;

  /** Number of its reads of the store so far. */
  readonly reads = { changes: 0, everything: 0 };

  private readonly relay: StoreRelay;

  private readonly options: TestDaemonOptions;

  private nextReadAt = 0;

  /** What it has to read even though others read for it. */
  private requiredRead: 'changes' | 'everything' | undefined = 'everything';

  constructor(options: TestDaemonOptions) {
    const { name, isReader, hasReaders, clock, later } = options;
    const readInterval = READ_INTERVAL_SHARE * options.boundMilliseconds;
    this.options = options;
    this.name = name;
    this.startedAt = clock.monotonicMilliseconds();
    this.relay = new StoreRelay({
      daemon: name,
      socket: this.socket,
      knowledge: this.knowledge,
      store: { readConfiguration: () => Promise.resolve(undefined) },
      clock,
      log: new SilentLog(),
      isReader: () => isReader,
      hasReaders: () => hasReaders,
      others: () => [],
      readStore: (what) => {
        this.requiredRead = what;
      },
      fetchConfiguration: () => Promise.reject(new Error('no configuration is told')),
      freshMilliseconds: readInterval * FRESH_READS,
      configurationMilliseconds: readInterval,
      later,
    });
  }

  /**
   * Reads the store if a read is due.
   *
   * @param store - the store, which answers unless it is unavailable or the daemon is cut off.
   */
  readIfDue(store: TestStoreView): void {
    const now = this.options.clock.monotonicMilliseconds();
    if (!this.relay.isFresh && this.knowledge.isFullReadDue(now)) this.requiredRead = 'everything';
    const isDue =
      this.requiredRead !== undefined || (now >= this.nextReadAt && !this.relay.isFresh);
    if (!isDue) return;
    if (this.disconnectedUntil > now || store.isUnavailable) {
      this.knowledge.recordStoreFailure();
      this.requiredRead = undefined;
      this.nextReadAt = now + PAUSE_MILLISECONDS;
      return;
    }
    this.read(store, now);
    const { boundMilliseconds, isReader, random } = this.options;
    const jitter = isReader ? JITTER_SHARE * random() : 0;
    this.nextReadAt = now + READ_INTERVAL_SHARE * boundMilliseconds * (1 - jitter);
  }

  private read({ revision, currentFacts, changesAfter }: TestStoreView, now: number): void {
    const { knowledge, relay } = this;
    knowledge.recordStoreAnswer(now);
    const changes =
      this.requiredRead === 'everything' ? undefined : changesAfter(knowledge.revision);
    this.reads[changes ? 'changes' : 'everything'] += 1;
    if (changes) knowledge.applyChanges({ revision, facts: changes }, now);
    else knowledge.applyFullRead({ revision, facts: currentFacts() }, now);
    this.requiredRead = undefined;
    relay.handleStoreRead();
  }
}
