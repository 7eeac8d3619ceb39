/**
 * Small fakes of the dependencies of requests, and helpers that read the events of an answer, for
 * the specs.
 */
import { create } from '@bufbuild/protobuf';

import { FleetView } from '../fleet/FleetView.js';
import type { FleetRunner, PoolLoad } from '../fleet/FleetView.js';
import type { Configuration, RoutingPolicy } from '../generated/baobabdock/v1/configuration_pb.js';
import {
  ConfigurationSchema,
  RoutingPolicySchema,
} from '../generated/baobabdock/v1/configuration_pb.js';
import type { Member, WarmRunner } from '../generated/baobabdock/v1/peers_pb.js';
import { MemberSchema } from '../generated/baobabdock/v1/peers_pb.js';
import { HomePort } from '../homes/HomePort.js';
import type { RunnerChoice, RunnerChoiceInput } from './RunnerChooser.js';
import { RunnerChooser } from './RunnerChooser.js';
import type { CallerEvent, CallerRequest } from './requestTypes.js';

/** Homes that know no warm runner and answer at once, unless they are frozen. */
export class FakeHomes extends HomePort {
  private isFrozen = false;

  /** Makes the homes unresponsive from now on. */
  freeze(): void {
    this.isFrozen = true;
  }

  override findWarmRunners(): Promise<readonly WarmRunner[]> {
    return this.isFrozen ? new Promise(() => {}) : Promise.resolve([]);
  }

  override reportChanges(): void {}
}

/** Chooses runner-1, runner-2 and so on, never a runner that was tried. */
export class FakeChooser extends RunnerChooser {
  readonly questions: RunnerChoiceInput[] = [];

  override choose(question: RunnerChoiceInput): RunnerChoice {
    this.questions.push(question);
    const runnerId = `runner-${question.tried.length + 1}`;
    const explanation = { runnerId };
    return {
      kind: 'chosen',
      runnerId,
      cachedTokens: 0,
      bound: 1.25,
      lastChoice: false,
      explanation,
    };
  }
}

/** A fleet of daemons; every gate is held by the first daemon that is alive. */
export class FakeFleet extends FleetView {
  private readonly daemonId: string;

  private readonly daemons: readonly Member[];

  constructor(daemonId: string, daemons: readonly Member[]) {
    super();
    this.daemonId = daemonId;
    this.daemons = daemons;
  }

  override self(): Member {
    return this.daemons.find(({ daemonId }) => daemonId === this.daemonId)!;
  }

  override members(): readonly Member[] {
    return this.daemons;
  }

  override configurationRevision(): number {
    return 1;
  }

  override configuration(): Configuration {
    return create(ConfigurationSchema);
  }

  override clientAccount(): undefined {
    return undefined;
  }

  override service(): undefined {
    return undefined;
  }

  override routingPolicy(): RoutingPolicy {
    return create(RoutingPolicySchema, { bound: 1.25, warmChoices: 8, coldChoices: 4 });
  }

  override runners(): readonly FleetRunner[] {
    return [];
  }

  override runner(): undefined {
    return undefined;
  }

  override gateOf(): Member | undefined {
    return this.daemons.find(({ state }) => state === 'alive');
  }

  override homeOf(): Member | undefined {
    return this.gateOf();
  }

  override poolLoad(): PoolLoad {
    return { runners: 0, mean: 0, lightest: [] };
  }
}

/**
 * @param daemonId - the daemon's id.
 * @returns The record of a daemon that is alive.
 */
export function memberOf(daemonId: string): Member {
  return create(MemberSchema, {
    daemonId,
    state: 'alive',
    peerAddress: `${daemonId}:7000`,
    callerAddress: `${daemonId}:8080`,
  });
}

/**
 * @param changes - fields that differ from those of a streamed idempotent chat.
 * @returns A request whose body is the name by which its runs are counted.
 */
export function requestOf(changes: Partial<CallerRequest> = {}): CallerRequest {
  return {
    requestId: 'request-1',
    clientAccount: 'litoral.showroom',
    service: 'tile-sales',
    chat: 'chat-1',
    priority: 'standard',
    deadlineMilliseconds: 20_000,
    idempotent: true,
    promptTokens: 10,
    maximumTokens: 10,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: [],
    body: Buffer.from('request'),
    streaming: true,
    ...changes,
  };
}

/**
 * @param events - the events of a request.
 * @returns All events, in order.
 */
export async function collect(events: AsyncIterable<CallerEvent>): Promise<CallerEvent[]> {
  const collected: CallerEvent[] = [];
  for await (const event of events) collected.push(event);
  return collected;
}

/**
 * @param events - the events of a request.
 * @returns The text of the answer.
 */
export function textOf(events: readonly CallerEvent[]): string {
  const chunks = events.flatMap((event) => (event.kind === 'chunk' ? [event.data] : []));
  return Buffer.concat(chunks).toString();
}

/**
 * @param events - the events of a request.
 * @returns One entry for each final event: `completed`, or the code of the failure.
 */
export function endsOf(events: readonly CallerEvent[]): string[] {
  return events.flatMap((event) => {
    if (event.kind === 'completed') return ['completed'];
    return event.kind === 'failed' ? [event.code] : [];
  });
}
