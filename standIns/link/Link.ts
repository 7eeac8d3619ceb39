/**
 * A loopback proxy that carries all connections of one daemon and injects faults into them on command.
 */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';

import { match } from 'ts-pattern';

import { listen } from '../../src/http/listen.js';
import { freePort } from '../site/freePort.js';
import { Flow, LinkQueue } from './Flow.js';
import { HangingPorts } from './HangingPorts.js';
import type {
  LinkCommand,
  LinkData,
  LinkDirection,
  LinkOpened,
  LinkSide,
  Severance,
} from './linkTypes.js';

/** Connections that the system accepts for a listener whose owner does not; more than come at once here. */
const BACKLOG = 16;

/** The system accepts one more than the backlog; one more waits. */
const FILLERS = BACKLOG + 2;

interface Pipe {
  readonly side: LinkSide;
  readonly ends: readonly [Socket, Socket];
  readonly flows: readonly [Flow, Flow];
}

interface Listener {
  readonly side: LinkSide;
  readonly target: string;
  readonly port: number;
  /** Missing while the path is lost. */
  server: Server | undefined;
}

/** Directions in which a path that hangs carries nothing. */
const DIRECTIONS: readonly LinkDirection[] = ['in', 'out'];

function parse(address: string): { host: string; port: number } {
  const [host = '', port = ''] = address.split(':');
  return { host, port: Number(port) };
}

/** Owns the listeners and connections; runs in a thread of its own, which a hold stops. */
export class Link {
  private readonly data: LinkData;

  private readonly tell: (opened: LinkOpened) => void;

  private readonly queues: Record<LinkDirection, LinkQueue> = {
    in: new LinkQueue(),
    out: new LinkQueue(),
  };

  private readonly cuts = new Set<string>();

  private readonly pipes = new Set<Pipe>();

  private readonly listeners = new Map<number, Listener>();

  /** Ports on which new connections hang, by the side whose path is lost. */
  private readonly hanging = new Map<LinkSide, HangingPorts>();

  /** Sides whose path is lost. */
  private readonly severed = new Set<LinkSide>();

  /** Severing and rejoining take time; each waits for the one before it. */
  private changing: Promise<void> = Promise.resolve();

  /**
   * @param data - IP numbers.
   * @param tell - hears of listeners.
   */
  constructor(data: LinkData, tell: (opened: LinkOpened) => void) {
    this.data = data;
    this.tell = tell;
  }

  /**
   * @param command - what to do.
   */
  take(command: LinkCommand): void {
    match(command)
      .with({ kind: 'open' }, (open) => {
        void this.open(open);
      })
      .with({ kind: 'close' }, ({ port }) => {
        this.listeners.get(port)?.server?.close();
        this.listeners.delete(port);
      })
      .with({ kind: 'pace' }, ({ pace }) => {
        for (const queue of Object.values(this.queues)) queue.pace = pace;
      })
      .with({ kind: 'reset' }, ({ side }) => this.each(side, (pipe) => this.reset(pipe)))
      .with({ kind: 'silence' }, ({ side }) => this.each(side, (pipe) => Link.silence(pipe)))
      .with({ kind: 'cut' }, ({ side, direction }) => {
        this.cuts.add(`${side} ${direction}`);
      })
      .with({ kind: 'mend' }, ({ side, direction }) => this.mend(side, direction))
      .with({ kind: 'sever' }, ({ side, how }) => {
        this.changing = this.changing.then(() => this.sever(side, how));
      })
      .with({ kind: 'rejoin' }, ({ side }) => {
        this.changing = this.changing.then(() => this.rejoin(side));
      })
      .with({ kind: 'hold' }, ({ milliseconds }) => this.hold(milliseconds))
      .exhaustive();
  }

  private async open({ id, side, target }: LinkCommand & { kind: 'open' }): Promise<void> {
    // Not one that the system assigns: an outgoing connection could take it while the path is lost.
    const { server, port } = await this.listen(side, target, await freePort());
    const isLost = this.severed.has(side);
    if (isLost) server.close();
    this.listeners.set(port, { side, target, port, server: isLost ? undefined : server });
    this.tell({ id, port });
  }

  private async listen(side: LinkSide, target: string, wanted: number) {
    const server = createServer({ allowHalfOpen: true, noDelay: true }, (near) =>
      this.accept(near, side, target),
    );
    const { port } = await listen(server, { host: '127.0.0.1', port: wanted, backlog: BACKLOG });
    return { server, port };
  }

  private listenersOf(side: LinkSide): Listener[] {
    return [...this.listeners.values()].filter((listener) => listener.side === side);
  }

  private async sever(side: LinkSide, how: Severance): Promise<void> {
    if (this.severed.has(side)) return;
    this.severed.add(side);
    const listeners = this.listenersOf(side);
    for (const listener of listeners) {
      listener.server?.close();
      listener.server = undefined;
    }
    if (how === 'reset') this.each(side, (pipe) => this.reset(pipe));
    if (how !== 'hang') return;
    for (const direction of DIRECTIONS) this.cuts.add(`${side} ${direction}`);
    this.hanging.set(side, await HangingPorts.open(listeners.map(({ port }) => port)));
  }

  private async rejoin(side: LinkSide): Promise<void> {
    if (!this.severed.delete(side)) return;
    await this.hanging.get(side)?.close();
    this.hanging.delete(side);
    // A listener that was opened since the path came back has a server already.
    const without = this.listenersOf(side).filter(({ server }) => server === undefined);
    await Promise.all(
      without.map(async (listener) => {
        const { server } = await this.listen(side, listener.target, listener.port);
        Object.assign(listener, { server });
      }),
    );
    for (const direction of DIRECTIONS) this.mend(side, direction);
  }

  /** Closes all listeners and connections. */
  async close(): Promise<void> {
    await this.changing;
    for (const hanging of this.hanging.values()) await hanging.close();
    for (const { server } of this.listeners.values()) server?.close();
    for (const { ends } of this.pipes) for (const end of ends) end.destroy();
  }

  private accept(near: Socket, side: LinkSide, target: string): void {
    if (near.remoteAddress === this.data.fillerHost) {
      near.destroy();
      return;
    }
    const { ownHost: localAddress } = this.data;
    const far = connect({ ...parse(target), localAddress, allowHalfOpen: true, noDelay: true });
    const [there, back]: [LinkDirection, LinkDirection] =
      side === 'callers' ? ['in', 'out'] : ['out', 'in'];
    const pipe: Pipe = {
      side,
      ends: [near, far],
      flows: [
        this.flow(near, far, { side, direction: there, onReset: () => this.reset(pipe) }),
        this.flow(far, near, { side, direction: back, onReset: () => this.reset(pipe) }),
      ],
    };
    this.pipes.add(pipe);
    for (const end of pipe.ends) {
      end.once('error', () => this.reset(pipe));
      end.once('close', () => this.forget(pipe));
    }
  }

  private flow(
    source: Socket,
    sink: Socket,
    { side, direction, onReset }: { side: LinkSide; direction: LinkDirection; onReset: () => void },
  ): Flow {
    const isHeld = () => this.cuts.has(`${side} ${direction}`);
    return new Flow({ source, sink, queue: this.queues[direction], isHeld, onReset });
  }

  /** An end that breaks off breaks the other one, unless the connection is to be silent. */
  private reset({ ends, flows }: Pipe): void {
    if (flows[0].isSilenced) return;
    for (const flow of flows) flow.stop();
    // The runtime never closes a socket that is reset while its end is still being sent.
    for (const end of ends) {
      if (end.writableEnded) end.destroy();
      else end.resetAndDestroy();
    }
  }

  private forget(pipe: Pipe): void {
    if (pipe.ends.some((end) => !end.destroyed)) return;
    this.pipes.delete(pipe);
  }

  private static silence({ flows }: Pipe): void {
    for (const flow of flows) {
      flow.isSilenced = true;
      flow.stop();
    }
  }

  private mend(side: LinkSide, direction: LinkDirection): void {
    this.cuts.delete(`${side} ${direction}`);
    this.each(side, ({ flows }) => flows.forEach((flow) => flow.pump()));
  }

  private each(side: LinkSide, act: (pipe: Pipe) => void): void {
    for (const pipe of [...this.pipes]) if (pipe.side === side) act(pipe);
  }

  /**
   * The system accepts connections for a program that does not, up to a queue's length, so the queues are filled
   * first. What comes then is accepted at the system's next try, a second later, or not at all.
   */
  private hold(milliseconds: number): void {
    for (const { port, server } of this.listeners.values()) if (server) this.fill(port);
    // Connections are begun at the end of this turn; the thread stops right after that.
    process.nextTick(() => {
      const nobodyWakes = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
      Atomics.wait(nobodyWakes, 0, 0, milliseconds);
    });
  }

  private fill(port: number): void {
    for (let count = 0; count < FILLERS; count += 1) {
      const filler = connect({ host: '127.0.0.1', port, localAddress: this.data.fillerHost });
      filler.once('error', () => filler.destroy());
      filler.once('end', () => filler.destroy());
      filler.resume();
    }
  }
}
