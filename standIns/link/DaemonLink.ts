/**
 * Controls the link of one daemon from the soak's thread.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

import { LINK_SIDES } from './linkTypes.js';
import type {
  LinkCommand,
  LinkData,
  LinkDirection,
  LinkLate,
  LinkOpened,
  LinkPace,
  LinkSide,
  Severance,
} from './linkTypes.js';

/** Threads don't inherit the loader of TypeScript sources. */
const START = `import('tsx/esm/api').then(({ register }) => {
  register();
  return import(${JSON.stringify(new URL('linkThread.ts', import.meta.url).href)});
});`;

const FULL_PACE: LinkPace = { bytesPerSecond: 0, delayMilliseconds: 0 };

/** Owns the thread. */
export class DaemonLink {
  /** IP number from which the store and runners see the daemon's connections come. */
  readonly ownHost: string;

  private readonly worker: Worker;

  private readonly waiting = new Map<number, (port: number) => void>();

  private nextId = 0;

  /**
   * @param index - of the daemon; each link has IP numbers of its own.
   * @param onLate - told where its thread was held up, in ms; by a hold as well.
   */
  constructor(index: number, onLate: (milliseconds: number) => void = () => undefined) {
    this.ownHost = `127.0.1.${index + 1}`;
    const workerData: LinkData = { ownHost: this.ownHost, fillerHost: `127.0.2.${index + 1}` };
    this.worker = new Worker(START, { eval: true, workerData });
    this.worker.on('message', (message: LinkOpened | LinkLate) => {
      if ('lateMilliseconds' in message) {
        onLate(message.lateMilliseconds);
        return;
      }
      this.waiting.get(message.id)?.(message.port);
      this.waiting.delete(message.id);
    });
  }

  /**
   * @param side - what the target is to the daemon.
   * @param target - IP number and port.
   * @returns Where the link takes connections for it.
   */
  async open(side: LinkSide, target: string): Promise<string> {
    this.nextId += 1;
    const id = this.nextId;
    const opened = new Promise<number>((done) => {
      this.waiting.set(id, done);
    });
    this.send({ kind: 'open', id, side, target });
    return `127.0.0.1:${await opened}`;
  }

  /**
   * @param address - that is refused from now on; open connections stay.
   */
  close(address: string): void {
    this.send({ kind: 'close', port: Number(address.split(':')[1]) });
  }

  /**
   * @param pace - of everything together.
   */
  setPace(pace: LinkPace = FULL_PACE): void {
    this.send({ kind: 'pace', pace });
  }

  /**
   * @param milliseconds - in which nothing passes and nothing is accepted.
   */
  hold(milliseconds: number): void {
    this.send({ kind: 'hold', milliseconds });
  }

  /**
   * @param sides - whose open connections are reset.
   */
  reset(sides: readonly LinkSide[]): void {
    for (const side of sides) this.send({ kind: 'reset', side });
  }

  /**
   * @param sides - whose open connections carry nothing any more.
   */
  silence(sides: readonly LinkSide[]): void {
    for (const side of sides) this.send({ kind: 'silence', side });
  }

  /**
   * @param sides - that are cut.
   * @param direction - in which nothing passes.
   */
  cut(sides: readonly LinkSide[], direction: LinkDirection): void {
    for (const side of sides) this.send({ kind: 'cut', side, direction });
  }

  /**
   * @param side - to which the path is lost.
   * @param how - what that does to connections.
   */
  sever(side: LinkSide, how: Severance): void {
    this.send({ kind: 'sever', side, how });
  }

  /**
   * @param side - to which the path is back.
   */
  rejoin(side: LinkSide): void {
    this.send({ kind: 'rejoin', side });
  }

  /** Ends all cuts. */
  mend(): void {
    for (const side of LINK_SIDES) {
      this.send({ kind: 'mend', side, direction: 'in' });
      this.send({ kind: 'mend', side, direction: 'out' });
    }
  }

  /** Ends the thread with its connections. */
  async stop(): Promise<void> {
    const ended = once(this.worker, 'exit');
    void this.worker.terminate();
    await ended;
  }

  private send(command: LinkCommand): void {
    this.worker.postMessage(command);
  }
}
