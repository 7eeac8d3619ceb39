/**
 * Virtual time and sockets of a simulated network, for tests.
 */
import { setImmediate as nextTurn } from 'node:timers/promises';

import type { MessageKind } from '../generated/baobabdock/v1/news_pb.js';
import { SilentLog } from '../logging/Log.js';
import { FleetSocket } from '../news/FleetSocket.js';
import type { MessageHandler } from '../news/FleetSocket.js';
import type { DaemonEntry } from '../sync/FleetStore.js';
import { ManualClock } from '../time/ManualClock.js';

/** Calls at virtual times. */
export class Timeline {
  readonly clock = new ManualClock();

  private readonly calls = new Map<number, (() => void)[]>();

  /** @returns Virtual time, monotonic ms. */
  get now(): number {
    return this.clock.monotonicMilliseconds();
  }

  /** Calls back after a delay, in ms. */
  readonly later = (call: () => void, milliseconds: number): void => {
    const at = Math.ceil(this.now + Math.max(0, milliseconds));
    const calls = this.calls.get(at) ?? [];
    calls.push(call);
    this.calls.set(at, calls);
  };

  /** Resolves after a delay, in ms. */
  readonly sleep = (milliseconds: number): Promise<void> =>
    new Promise((done) => {
      this.later(done, milliseconds);
    });

  /** Advances by a millisecond. */
  async step(): Promise<void> {
    this.clock.advance(1);
    for (let calls = this.take(); calls.length > 0; calls = this.take()) {
      for (const call of calls) call();
      await nextTurn();
    }
  }

  private take(): (() => void)[] {
    const calls = this.calls.get(this.now) ?? [];
    this.calls.delete(this.now);
    return calls;
  }
}

/** Hands datagrams to a simulated network. */
export class VirtualSocket extends FleetSocket {
  readonly received = new Map<MessageKind, MessageHandler>();

  constructor(
    private readonly sendTo: (kind: MessageKind, message: Uint8Array, hosts: string[]) => void,
  ) {
    super({ log: new SilentLog(), secret: () => 'secret' });
  }

  override handle(kind: MessageKind, handler: MessageHandler): void {
    this.received.set(kind, handler);
  }

  override listen(): Promise<void> {
    return Promise.resolve();
  }

  override send(
    kind: MessageKind,
    message: Uint8Array,
    recipients: readonly { host: string }[],
  ): void {
    const hosts = recipients.map(({ host }) => host);
    this.sendTo(kind, message, hosts);
  }
}

/** The answer to a call of a daemon that has lost power. */
export const NEVER = Promise.race<void>([]);

/**
 * @param address - host and port.
 * @returns The host.
 */
export function hostOf(address: string): string {
  return address.split(':')[0] ?? '';
}

/**
 * @param entries - entries of daemons.
 * @returns The addresses at which they receive datagrams.
 */
export function hostsOf(entries: readonly DaemonEntry[]): { host: string; port: number }[] {
  return entries.map(({ peerAddress }) => ({ host: hostOf(peerAddress), port: 1 }));
}
