/**
 * One daemon of the soak: its process, its link, and when its processes ran.
 */
import { setTimeout as wait } from 'node:timers/promises';

import type { SiteProcess } from '../standIns/site/SiteProcess.js';
import type { FaultHistory } from './FaultHistory.js';
import type { DaemonLink } from '../standIns/link/DaemonLink.js';

/** One process; times are monotonic ms, infinite if they are in the future. */
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
  /** Address at which the link accepts callers. */
  callersAddress: string;
  history: FaultHistory;
}

/** Starts and ends the process, one operation at a time. */
export class SoakDaemon {
  readonly index: number;

  readonly process: SiteProcess;

  readonly link: DaemonLink;

  readonly callersAddress: string;

  readonly lives: DaemonLife[] = [];

  /** Failures of the process itself. */
  readonly complaints: string[] = [];

  private readonly history: FaultHistory;

  private restarting: Promise<void> | undefined;

  /**
   * @param options - process and link.
   */
  constructor({ index, process, link, callersAddress, history }: SoakDaemonOptions) {
    this.index = index;
    this.process = process;
    this.link = link;
    this.callersAddress = callersAddress;
    this.history = history;
  }

  /** @returns The current process, or the last one. */
  get life(): DaemonLife | undefined {
    return this.lives.at(-1);
  }

  /** @returns Whether the daemon is ready for callers. */
  get isUp(): boolean {
    return Number.isFinite(this.life?.readyAt) && !Number.isFinite(this.life?.endedAt);
  }

  /**
   * @param from - start of the period, monotonic ms.
   * @param to - end of the period, monotonic ms.
   * @returns Whether a single process was ready throughout the period.
   */
  wasUp(from: number, to: number): boolean {
    return this.lives.some(({ readyAt, endedAt }) => readyAt <= from && endedAt >= to);
  }

  /** Starts the process and waits until it is ready or has ended. */
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
      await wait(POLL_MILLISECONDS);
    }
  }

  /**
   * Ends the process and starts it again with the same settings; does nothing if a restart is in progress.
   *
   * @param signal - signal that ends it.
   * @param downMilliseconds - time until it is started again.
   * @param silentMilliseconds - time for which it is suspended before, as in a loss of power.
   */
  async restart(
    signal: 'SIGTERM' | 'SIGKILL',
    downMilliseconds: number,
    silentMilliseconds = 0,
  ): Promise<void> {
    const ended = () => this.endAndStart(signal, downMilliseconds, silentMilliseconds);
    this.restarting ??= ended().finally(() => {
      this.restarting = undefined;
    });
    await this.restarting;
  }

  /** Ends the process; it is not started again. */
  async stop(): Promise<void> {
    if (this.life) this.life.isEnding = true;
    await this.process.kill();
    await this.link.stop();
  }

  private async endAndStart(
    signal: 'SIGTERM' | 'SIGKILL',
    downMilliseconds: number,
    silentMilliseconds: number,
  ): Promise<void> {
    const { index, life } = this;
    if (!life) return;
    const kind = signal === 'SIGTERM' && this.isUp ? 'stop' : 'kill';
    const silence = silentMilliseconds > 0 ? ` after ${silentMilliseconds} ms of silence` : '';
    const text = `daemon-${index} gets ${signal}${silence}, starts again ${downMilliseconds} ms after its end`;
    const over = this.history.begin({ kind, daemon: index, text });
    life.isEnding = true;
    if (silentMilliseconds > 0) {
      this.process.signal('SIGSTOP');
      await wait(silentMilliseconds);
    }
    this.process.signal(signal);
    await this.process.ended();
    await wait(downMilliseconds);
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
