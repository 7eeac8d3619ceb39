/**
 * Fakes for the specs of the callers' interface: a fleet with fixed content and a scripted owner of requests.
 */
import { create } from '@bufbuild/protobuf';

import type { FleetRunner, PoolLoad } from '../fleet/FleetView.js';
import { FleetView } from '../fleet/FleetView.js';
import type {
  ClientAccount,
  Configuration,
  RoutingPolicy,
  Service,
} from '../generated/baobabdock/v1/configuration_pb.js';
import {
  ClientAccountSchema,
  ConfigurationSchema,
  RoutingPolicySchema,
  RunnerRecordSchema,
  ServiceSchema,
} from '../generated/baobabdock/v1/configuration_pb.js';
import type { Member } from '../generated/baobabdock/v1/peers_pb.js';
import { MemberSchema } from '../generated/baobabdock/v1/peers_pb.js';
import type { LogFields } from '../logging/Log.js';
import { Log } from '../logging/Log.js';
import type { LogEvent } from '../logging/logEvent.js';
import type { IssuedBinding } from '../requests/BindingIssuer.js';
import { BindingIssuer } from '../requests/BindingIssuer.js';
import { RequestPort } from '../requests/RequestPort.js';
import type { CallerEvent, CallerRequest } from '../requests/requestTypes.js';
import type { CreatedKey } from './accountKeys.js';
import { hashKey } from './accountKeys.js';

/** Creates a key that is the same in every run, so that specs always send the same bytes. */
function fixedKey(name: string): CreatedKey {
  const key = `${name}.${'k'.repeat(43)}`;
  const salt = Buffer.from(name);
  return { key, stored: { keyId: 'fixed', salt, digest: hashKey(salt, key) } };
}

/** Key of the account `litoral.showroom`. */
export const LITORAL_KEY = fixedKey('litoral.showroom');
/** Key of the account `punkt`. */
export const PUNKT_KEY = fixedKey('punkt');

function account(name: string, firm: string, key: CreatedKey, highestPriority: string) {
  return create(ClientAccountSchema, { name, firm, keys: [key.stored], highestPriority });
}

/** Configuration of the fake fleet. */
export const FAKE_CONFIGURATION: Configuration = create(ConfigurationSchema, {
  clientAccounts: [
    account('litoral.showroom', 'litoral', LITORAL_KEY, 'urgent'),
    account('punkt', 'punkt', PUNKT_KEY, 'background'),
  ],
  services: [
    create(ServiceSchema, {
      name: 'tile-assistant',
      firm: 'litoral',
      kind: 'engine',
      model: 'tiles-70b',
      wantedAdapters: ['tiles-returns'],
    }),
    create(ServiceSchema, {
      name: 'sample-warehouse',
      firm: 'litoral',
      kind: 'plain',
      pathPrefix: '/services/sample-warehouse',
    }),
    create(ServiceSchema, { name: 'language', firm: 'punkt', kind: 'engine', model: 'punkt-8b' }),
  ],
});

/** A fleet of three daemons in two data centres and four runners. */
export class FakeFleet extends FleetView {
  revision = 1;

  daemons: Member[] = [
    this.daemon('daemon-1', 'rosario-1'),
    this.daemon('daemon-2', 'rosario-1'),
    this.daemon('daemon-3', 'rosario-2'),
  ];

  gates: Record<string, string> = {};

  override self(): Member {
    return this.daemons[0]!;
  }

  override members(): readonly Member[] {
    return this.daemons;
  }

  override configurationRevision(): number {
    return this.revision;
  }

  override configuration(): Configuration {
    return FAKE_CONFIGURATION;
  }

  override clientAccount(name: string): ClientAccount | undefined {
    return FAKE_CONFIGURATION.clientAccounts.find((candidate) => candidate.name === name);
  }

  override service(name: string): Service | undefined {
    return FAKE_CONFIGURATION.services.find((candidate) => candidate.name === name);
  }

  override routingPolicy(): RoutingPolicy {
    return create(RoutingPolicySchema);
  }

  override runners(service: string): readonly FleetRunner[] {
    return ['runner-1', 'runner-2', 'runner-3', 'runner-4'].map((id) => ({
      id,
      record: create(RunnerRecordSchema, { runnerId: id, service, region: 'rosario' }),
      state: 'live',
    }));
  }

  override runner(): undefined {
    return undefined;
  }

  override gateOf(runnerId: string): Member | undefined {
    const index = Number(runnerId.slice(-1)) % this.daemons.length;
    return this.daemons[index];
  }

  override homeOf(): undefined {
    return undefined;
  }

  override poolLoad(): PoolLoad {
    return { runners: 4, mean: 0, lightest: [] };
  }

  private daemon(daemonId: string, dataCentre: string): Member {
    const callerAddress = `127.0.0.1:80${daemonId.slice(-1)}`;
    return create(MemberSchema, {
      daemonId,
      dataCentre,
      callerAddress,
      region: 'rosario',
      state: 'alive',
    });
  }
}

/** Generates the events with which the fake owner answers a request. */
export type RequestScript = (
  request: CallerRequest,
  signal: AbortSignal,
) => AsyncIterable<CallerEvent>;

/**
 * Creates an event with a part of an answer.
 *
 * @param text - the text of the chunk.
 * @param eventId - the id of the event.
 * @returns The event.
 */
export function chunkEvent(text: string, eventId: string): CallerEvent {
  return { kind: 'chunk', data: Buffer.from(text), eventId };
}

/**
 * Creates the first event of an answer, sent by `runner-1`.
 *
 * @param headers - the headers of the runner's answer.
 * @param status - the status of the runner's answer.
 * @returns The event.
 */
export function startedEvent(headers: readonly [string, string][] = [], status = 200): CallerEvent {
  return { kind: 'started', runnerId: 'runner-1', status, headers, cachedTokens: 7 };
}

/** Last event of a complete answer. */
export const COMPLETED_EVENT: CallerEvent = {
  kind: 'completed',
  promptTokens: 1,
  generatedTokens: 1,
  cachedTokens: 7,
};

/** Fake owner of requests that answers by a script and records the requests it receives. */
export class FakeRequests extends RequestPort {
  readonly receivedRequests: CallerRequest[] = [];

  readonly signals: AbortSignal[] = [];

  readonly resumed: { clientAccount: string; lastEventId: string }[] = [];

  script: RequestScript = async function* answerAtOnce() {
    yield startedEvent();
    yield chunkEvent('{"answer":1}', 'event-1');
    yield COMPLETED_EVENT;
  };

  override run(request: CallerRequest, signal: AbortSignal): AsyncIterable<CallerEvent> {
    this.receivedRequests.push(request);
    this.signals.push(signal);
    return this.script(request, signal);
  }

  override async *resume(clientAccount: string, lastEventId: string): AsyncIterable<CallerEvent> {
    this.resumed.push({ clientAccount, lastEventId });
    yield startedEvent();
    yield chunkEvent('{"rest":1}', 'event-2');
    yield COMPLETED_EVENT;
  }

  override async cancel(clientAccount: string, requestId: string): Promise<boolean> {
    return clientAccount === 'litoral.showroom' && requestId === 'known';
  }

  override inProgress(): number {
    return 0;
  }
}

/** Issues the same binding for every request of an account. */
export class FakeBindings extends BindingIssuer {
  override issue(clientAccount: string): IssuedBinding {
    return {
      token: `token-of-${clientAccount}`,
      address: '127.0.0.1:801',
      expiresInMilliseconds: 60_000,
    };
  }
}

/** Log that keeps its lines in memory. */
export class MemoryLog extends Log {
  readonly lines: { event: LogEvent; fields: LogFields }[] = [];

  override write(event: LogEvent, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  /**
   * Finds the lines of one log event.
   *
   * @param event - the log event.
   * @returns The fields of each of its lines.
   */
  fieldsOf(event: LogEvent): LogFields[] {
    return this.lines.filter((line) => line.event === event).map(({ fields }) => fields);
  }
}
