/**
 * An operators' server on loopback with a configuration in memory, for tests.
 */
import type { InjectedFault } from './MemoryConfigurationChanges.js';
import { SilentLog } from '../logging/Log.js';
import { SystemClock } from '../time/SystemClock.js';
import { FixedFleetView } from './FixedFleetView.js';
import type { GateStatusReading } from './GateStatusSource.js';
import { GateStatusSource } from './GateStatusSource.js';
import { MemoryConfigurationChanges } from './MemoryConfigurationChanges.js';
import { OperatorServer } from './OperatorServer.js';
import { operatorsSettings } from './operatorsFeature.js';
import { createOperatorToken } from './OperatorTokens.js';

/** Small enough that a test can exceed it with a short request. */
const SMALL_BODY_BYTES = 65_536;

class EmptyGateStatus extends GateStatusSource {
  override gateReadings(): readonly GateStatusReading[] {
    return [];
  }
}

/** A running server with the configuration and the view of the fleet behind it. */
export interface TestOperatorServer {
  readonly changes: MemoryConfigurationChanges;
  readonly fleet: FixedFleetView;
  readonly endpoint: string;
  /** Token of operator "ana" with role `write`. */
  readonly writeToken: string;
  /** Token of operator "boris" with role `read`. */
  readonly readToken: string;
  /** Injects faults into the next changes, one for each change. */
  injectFaults(...faults: InjectedFault[]): void;
  close(): Promise<void>;
}

/** @returns A server with an empty configuration that listens on a free port. */
export async function startTestOperatorServer(): Promise<TestOperatorServer> {
  const changes = new MemoryConfigurationChanges();
  const fleet = new FixedFleetView();
  fleet.inForce = () => changes.configuration();
  const writer = createOperatorToken();
  const reader = createOperatorToken();
  const server = new OperatorServer({
    settings: operatorsSettings.parse({
      maximumBodyBytes: SMALL_BODY_BYTES,
      tokens: [
        { name: 'ana', role: 'write', sha256: writer.sha256 },
        { name: 'boris', role: 'read', sha256: reader.sha256 },
      ],
    }),
    fleet,
    gates: new EmptyGateStatus(),
    metricsPage: () => 'baobabdock_answers_total 1\n',
    changes,
    clock: new SystemClock(),
    log: new SilentLog(),
  });
  const endpoint = `http://127.0.0.1:${await server.listen()}`;
  return {
    changes,
    fleet,
    endpoint,
    writeToken: writer.token,
    readToken: reader.token,
    injectFaults: (...faults) => changes.faults.push(...faults),
    close: () => server.close(),
  };
}
