/**
 * One daemon of the soak: its process, its link, and the times of its lives.
 */
import type { SiteProcess } from '../standIns/site/SiteProcess.js';
import type { FaultHistory } from './FaultHistory.js';
import type { DaemonLink } from '../standIns/link/DaemonLink.js';

/** One process, with monotonic ms; those to come are infinite. */
export interface DaemonLife {
  readonly startedAt: number;
  readyAt: number;
  endedAt: number;
  /** Whether the soak has told it to end. */
  isEnding: boolean;
}

const POLL_MILLISECONDS = 25;

/** Options of a {@link SoakDaemon}. */
export interface SoakDaemonOptions {
  index: number;
  process: SiteProcess;
  link: DaemonLink;
  /** Where the link takes callers. */
  callersAddress: string;
  history: FaultHistory;
}

/** Starts and ends the process, one thing after the other. */
export class SoakDaemon {
  readonly index: number;

  readonly process: SiteProcess;

  readonly link: DaemonLink;

  readonly callersAddress: string;

  readonly lives: DaemonLife[] = [];

  /** What went wrong with the process itself. */
  readonly complaints: string[] = [];

  private readonly history: FaultHistory;

  private restarting: Promise<void> | undefined;

  /**
   * @param options - the parts.
   */
  constructor({ index, process, link, callersAddress, history }: SoakDaemonOptions) {
    this.index = index;
    this.process = process;
    this.link = link;
    this.callersAddress = callersAddress;
    this.history = history;
  }

  /** @returns Its present or last life. */
  get life(): DaemonLife | undefined {
    return this.lives.at(-1);
  }

  /** @returns Whether callers may use it. */
  get isUp(): boolean {
    return Number.isFinite(this.life?.readyAt) && !Number.isFinite(this.life?.endedAt);
  }

  /**
   * @param from - monotonic ms.
   * @param to - monotonic ms.
   * @returns Whether one process was ready all the while.
   */
  wasUp(from: number, to: number): boolean {
    return this.lives.some(({ readyAt, endedAt }) => readyAt <= from && endedAt >= to);
  }

  /** Starts the process, and waits until it is ready or has ended. */
  async start(): Promise<void> {
    const life = {
      startedAt: performance.now(),
      readyAt: Number.POSITIVE_INFINITY,
      endedAt: Number.POSITIVE_INFINITY,
      isEnding: false,
    };
    this.lives.push(life);
    this.process.start();
    void this.process.ended().then((code) => this.noteEnd(life, code));
    while (!Number.isFinite(life.endedAt) && !Number.isFinite(life.readyAt)) {
      if (await this.isReady()) life.readyAt = performance.now();
      await new Promise((done) => {
        setTimeout(done, POLL_MILLISECONDS);
      });
    }
  }

  /**
   * Ends the process and starts it again with the same settings; does nothing while that is being done already.
   *
   * @param signal - that ends it.
   * @param downMilliseconds - until the next start.
   */
  async restart(signal: 'SIGTERM' | 'SIGKILL', downMilliseconds: number): Promise<void> {
    this.restarting ??= this.endAndStart(signal, downMilliseconds).finally(() => {
      this.restarting = undefined;
    });
    await this.restarting;
  }

  /** Ends the process for good. */
  async stop(): Promise<void> {
    if (this.life) this.life.isEnding = true;
    await this.process.kill();
    await this.link.stop();
  }

  private async endAndStart(signal: 'SIGTERM' | 'SIGKILL', wait: number): Promise<void> {
    const { index, life } = this;
    if (!life) return;
    const kind = signal === 'SIGTERM' && this.isUp ? 'stop' : 'kill';
    const text = `daemon-${index} gets ${signal}, starts again ${wait} ms after its end`;
    const over = this.history.begin({ kind, daemon: index, text });
    life.isEnding = true;
    this.process.signal(signal);
    await this.process.ended();
    await new Promise((done) => {
      setTimeout(done, wait);
    });
    await this.start();
    over();
  }

  private async isReady(): Promise<boolean> {
    // A process that has ended is told of by its life; the question must not fail for that.
    return this.process.isReady().catch(() => false);
  }

  private noteEnd(life: DaemonLife, code: unknown): void {
    Object.assign(life, { endedAt: performance.now() });
    if (life.isEnding && (code === 0 || code === null)) return;
    this.complaints.push(
      `daemon-${this.index} ended by itself with ${code}: ${this.process.complaints}`,
    );
  }
}
