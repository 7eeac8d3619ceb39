/**
 * Test helper: a port on which new connections hang, because its listen queue is full and no connection is accepted.
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
  const server = createServer((socket) => socket.on('error', () => {}));
  server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(new Int32Array(workerData), 0, 0);
  });
`;

/** Number of connections that fill a queue with a backlog of one, including one that may still be in transit. */
const QUEUED = 3;

/** Maximum number of event loop turns to wait for a connection over loopback to be accepted. */
const TURNS = 50;

/** The worker thread and the connections that fill its listen queue. */
export class HangingPort {
  readonly port: number;

  private readonly worker: Worker;

  private readonly gate: Int32Array;

  private readonly fillers: Socket[] = [];

  private constructor(port: number, worker: Worker, gate: Int32Array) {
    this.port = port;
    this.worker = worker;
    this.gate = gate;
  }

  /** @returns A port on which new connections hang. */
  static async open(): Promise<HangingPort> {
    const buffer = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
    const worker = new Worker(LISTENER, { eval: true, workerData: buffer });
    const [port] = (await once(worker, 'message')) as [number];
    const hanging = new HangingPort(port, worker, new Int32Array(buffer));
    await hanging.fill();
    return hanging;
  }

  /** Closes the connections and ends the thread. */
  async close(): Promise<void> {
    for (const socket of this.fillers) socket.destroy();
    Atomics.store(this.gate, 0, 1);
    Atomics.notify(this.gate, 0);
    await this.worker.terminate();
  }

  private async fill(): Promise<void> {
    for (let index = 0; index < QUEUED; index += 1) {
      const socket = connect({ host: '127.0.0.1', port: this.port });
      socket.on('error', () => undefined);
      this.fillers.push(socket);
      for (let turn = 0; turn < TURNS && socket.connecting; turn += 1) await nextTurn();
    }
  }
}
