/**
 * Test helper: a port on which new connections hang, because its listen queue is full and no connection is accepted.
 */
import { HangingPorts } from '../../standIns/link/HangingPorts.js';

/** One port on which new connections hang. */
export class HangingPort {
  readonly port: number;

  private readonly ports: HangingPorts;

  private constructor(ports: HangingPorts) {
    this.ports = ports;
    this.port = ports.ports[0] as number;
  }

  /** @returns A port on which new connections hang. */
  static async open(): Promise<HangingPort> {
    return new HangingPort(await HangingPorts.open([0]));
  }

  /** Closes the connections and ends the thread. */
  close(): Promise<void> {
    return this.ports.close();
  }
}
