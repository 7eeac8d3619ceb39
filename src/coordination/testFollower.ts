/**
 * One daemon of a large fleet in virtual time, for tests: its beliefs and its relay, and when it reads a store that is played.
 */
import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import { SilentLog } from '../logging/Log.js';
import { FleetSocket } from '../news/FleetSocket.js';
import type { StoreFact } from '../sync/FleetStore.js';
import { createTestKnowledge } from '../sync/testKnowledge.js';
import type { ManualClock } from '../time/ManualClock.js';
import { StoreRelay } from './StoreRelay.js';

/** As in `RouterDaemon`: changes are gathered for this share of the bound; what is told is good for 1.5 times that. */
const GATHER_SHARE = 0.4;
const FRESH_READS = 1.5;

/** Readers wait up to this much less, as a share. */
const JITTER_SHARE = 0.4;

/** Between calls to a store that does not answer, in ms. */
const PAUSE_MILLISECONDS = 500;

/** What the store answers at a moment. */
export interface TestStoreView {
  readonly isAway: boolean;
  readonly revision: number;
  readonly present: () => StoreFact[];
  /** `undefined` where the history does not reach back so far. */
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

/** One daemon of a {@link TestFleet}: its beliefs, and when it reads the store. */
export class TestDaemon {
  readonly name: string;

  readonly knowledge = createTestKnowledge().knowledge;

  readonly socket = new CapturingSocket();

  /** When it started, monotonic ms. */
  readonly startedAt: number;

  /** Until when it reaches neither the store nor others, monotonic ms. */
  cutUntil = Number.NEGATIVE_INFINITY;

  private readonly relay: StoreRelay;

  private readonly options: TestDaemonOptions;

  private nextReadAt = 0;

  /** What it reads although others read for it. */
  private mustRead: 'changes' | 'everything' | undefined = 'everything';

  constructor(options: TestDaemonOptions) {
    const { name, isReader, hasReaders, clock, later } = options;
    const gather = GATHER_SHARE * options.boundMilliseconds;
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
        this.mustRead = what;
      },
      fetchConfiguration: () => Promise.reject(new Error('no configuration is told')),
      freshMilliseconds: gather * FRESH_READS,
      configurationMilliseconds: gather,
      later,
    });
  }

  /**
   * Reads the store where it is time to.
   *
   * @param store - that answers unless the daemon is cut off.
   */
  follow(store: TestStoreView): void {
    const now = this.options.clock.monotonicMilliseconds();
    const isDue = this.mustRead !== undefined || (now >= this.nextReadAt && !this.relay.isFresh);
    if (!isDue) return;
    if (this.cutUntil > now || store.isAway) {
      this.knowledge.storeFailed();
      this.mustRead = undefined;
      this.nextReadAt = now + PAUSE_MILLISECONDS;
      return;
    }
    this.read(store, now);
    const { boundMilliseconds, isReader, random } = this.options;
    const jitter = isReader ? JITTER_SHARE * random() : 0;
    this.nextReadAt = now + GATHER_SHARE * boundMilliseconds * (1 - jitter);
  }

  private read({ revision, present, changesAfter }: TestStoreView, now: number): void {
    const { knowledge, relay } = this;
    knowledge.storeServed(now);
    const changes = this.mustRead === 'everything' ? undefined : changesAfter(knowledge.revision);
    if (changes) knowledge.applyChanges({ revision, facts: changes }, now);
    else knowledge.applyAll({ revision, facts: present() }, now);
    this.mustRead = undefined;
    relay.readDone();
  }
}
