/**
 * Ports on which new connections hang, because their listen queues are full and no connection is accepted.
 */
import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { Worker } from 'node:worker_threads';

/**
 * Worker that listens with the smallest queue and blocks its thread. Once the queue is full, the operating system drops
 * the SYN packet of each new connection.
 */
const LISTENER = `
  const { createServer } = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  const listen = (port) => new Promise((done, fail) => {
    const server = createServer((socket) => socket.on('error', () => {}));
    server.once('error', fail);
    server.listen({ port, host: '127.0.0.1', backlog: 1 }, () => done(server.address().port));
  });
  Promise.all(workerData.ports.map(listen)).then((ports) => {
    parentPort.postMessage(ports);
    Atomics.wait(new Int32Array(workerData.buffer), 0, 0);
  });
`;

/** Number of connections that fill a queue with a backlog of one, including one that may still be in transit. */
const QUEUED = 3;

/** Maximum number of event loop turns to wait for a connection over loopback to be accepted. */
const TURNS = 50;

/** The worker thread and the connections that fill its listen queues. */
export class HangingPorts {
  readonly ports: readonly number[];

  private readonly worker: Worker;

  private readonly gate: Int32Array;

  private readonly fillers: Socket[] = [];

  private constructor(ports: readonly number[], worker: Worker, gate: Int32Array) {
    this.ports = ports;
    this.worker = worker;
    this.gate = gate;
  }

  /**
   * @param ports - ports to occupy; 0 for one that the operating system picks.
   * @returns The ports, on which new connections hang.
   */
  static async open(ports: readonly number[]): Promise<HangingPorts> {
    const buffer = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const worker = new Worker(LISTENER, { eval: true, workerData: { ports, buffer } });
    const [bound] = (await once(worker, 'message')) as [number[]];
    const hanging = new HangingPorts(bound, worker, new Int32Array(buffer));
    await Promise.all(bound.map((port) => hanging.fill(port)));
    return hanging;
  }

  /** Closes the connections and ends the thread. */
  async close(): Promise<void> {
    for (const socket of this.fillers) socket.destroy();
    Atomics.store(this.gate, 0, 1);
    Atomics.notify(this.gate, 0);
    await this.worker.terminate();
  }

  private async fill(port: number): Promise<void> {
    for (let index = 0; index < QUEUED; index += 1) {
      const socket = connect({ host: '127.0.0.1', port });
      socket.on('error', () => undefined);
      this.fillers.push(socket);
      for (let turn = 0; turn < TURNS && socket.connecting; turn += 1) await nextTurn();
    }
  }
}
