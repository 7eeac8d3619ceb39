/**
 * An HTTP path on loopback by which the demo, or a person, switches the stand-in's faults.
 *
 * - `GET /state`: revision, lasting faults and call counts.
 * - `PUT /faults`: `{ outage?, slowMilliseconds?, oldDataRevision?, muteWatches? }`.
 * - `POST /faults/plan`: `{ operation, fault }` for the next call of that operation.
 * - `POST /watches/break`, `POST /late-effects/release`, `POST /compact`.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { text } from 'node:stream/consumers';

import { z } from 'zod';

import { listen } from '../../src/http/listen.js';
import type { PlatformStandIn } from './PlatformStandIn.js';

const lastingFaults = z.strictObject({
  outage: z.boolean().optional(),
  slowMilliseconds: z.number().int().min(0).optional(),
  oldDataRevision: z.number().int().min(1).nullable().optional(),
  muteWatches: z.boolean().optional(),
});

const plannedFault = z.strictObject({
  operation: z.enum([
    'get',
    'range',
    'transact',
    'grantLease',
    'renewLease',
    'revokeLease',
    'watch',
  ]),
  fault: z.enum(['refuse', 'lose_request', 'lose_answer', 'late_effect']),
});

/** Options of a {@link PlatformAdministration}. */
export interface PlatformAdministrationOptions {
  standIn: PlatformStandIn;
  host?: string;
  /** 0 takes any free port. */
  port?: number;
}

/** Serves the administration of one stand-in. */
export class PlatformAdministration {
  private readonly standIn: PlatformStandIn;

  private readonly host: string;

  private readonly port: number;

  private readonly server: Server;

  private readonly routes: Readonly<Record<string, (body: unknown) => void>> = {
    'GET /state': () => {},
    'PUT /faults': (body) => {
      const { oldDataRevision, ...change } = lastingFaults.parse(body);
      this.standIn.faults.set(change);
      if (oldDataRevision !== undefined)
        this.standIn.faults.set({ oldDataRevision: oldDataRevision ?? undefined });
    },
    'POST /faults/plan': (body) => {
      const { operation, fault } = plannedFault.parse(body);
      this.standIn.faults.plan(operation, fault);
    },
    'POST /watches/break': () => this.standIn.faults.breakWatches(),
    'POST /late-effects/release': () => this.standIn.faults.releaseLateEffects(),
    'POST /compact': () => this.standIn.state.compact(this.standIn.state.revision),
  };

  /**
   * @param options - the stand-in and where to listen.
   */
  constructor({ standIn, host = '127.0.0.1', port = 0 }: PlatformAdministrationOptions) {
    this.standIn = standIn;
    this.host = host;
    this.port = port;
    this.server = createServer((request, response) => {
      void this.answer(request, response);
    });
  }

  /**
   * Starts to listen.
   *
   * @returns The address, as `http://host:port`.
   */
  async start(): Promise<string> {
    const { port } = await listen(this.server, { host: this.host, port: this.port });
    return `http://${this.host}:${port}`;
  }

  /** Stops listening. */
  async stop(): Promise<void> {
    await new Promise((resolve) => {
      this.server.close(resolve);
      this.server.closeAllConnections();
    });
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const route = this.routes[`${request.method} ${request.url}`];
    if (!route) {
      response.writeHead(404).end();
      return;
    }
    try {
      const body = await text(request);
      route(body === '' ? undefined : JSON.parse(body));
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(`${JSON.stringify(this.read())}\n`);
    } catch (error) {
      response.writeHead(400, { 'content-type': 'text/plain' }).end(`${String(error)}\n`);
    }
  }

  private read() {
    const { state, faults, service } = this.standIn;
    return { revision: state.revision, faults: faults.lasting, counts: service.meter.read() };
  }
}
