/**
 * Runs a fleet of processes and takes its figures.
 */
import { randomUUID } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';

import { create } from '@bufbuild/protobuf';

import { RoutingPolicySchema } from '../../src/generated/baobabdock/v1/configuration_pb.js';
import { ResourceSchema, ResourceService } from '../../src/generated/baobabdock/v1/operators_pb.js';
import type { DaemonProcess } from '../../standIns/fleet/FleetProcesses.js';
import { FleetProcesses } from '../../standIns/fleet/FleetProcesses.js';
import { FIRMS, startTwoFirms, waitInForce } from '../../standIns/fleet/twoFirms.js';
import { MeasuredChats } from './MeasuredChats.js';
import { MetricsReading } from './MetricsReading.js';

/** Options of a run. */
export interface FleetRunOptions {
  readonly daemons: number;
  /** How long the idle fleet is watched. */
  readonly seconds: number;
  /** Chats of each kind under load. */
  readonly chats: number;
  /** Whether each chat locates before it is measured, as callers do that keep the answer. */
  readonly located?: boolean;
  /** Bound of the measured service in place of its own, so that gates do not refuse chats that come back. */
  readonly bound?: number;
  readonly binary?: string;
}

/** What a run measured. */
export interface FleetFigures {
  readonly daemons: number;
  readonly idleControlSentBytesPerSecond: number;
  readonly idleControlReceivedBytesPerSecond: number;
  readonly idleControlCallsPerSecond: number;
  readonly idleProcessorShare: number;
  readonly residentMegabytes: number;
  readonly platformCallsPerSecond: number;
  readonly inForceMilliseconds: number;
  readonly requests: number;
  readonly exactAnswers: number;
  readonly innerHopsPerRequest: number;
  readonly processorMicrosecondsPerRequest: number;
  readonly processorMicrosecondsPerToken: number;
}

const SETTLE_MILLISECONDS = 8_000;
const CHANGES = 5;
const SHORT_ANSWER_TOKENS = 1;
const LONG_ANSWER_TOKENS = 101;
const MICROSECONDS_PER_SECOND = 1_000_000;
const BYTES_PER_MEGABYTE = 1024 * 1024;
const MILLISECONDS_PER_SECOND = 1000;
const SETTINGS = { callers: { serveMetrics: true } };

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

function readAll(daemons: readonly DaemonProcess[]): Promise<MetricsReading[]> {
  return Promise.all(daemons.map(({ callerAddress }) => MetricsReading.of(callerAddress)));
}

/** Rates between two readings of the same daemons. */
class Interval {
  constructor(
    private readonly before: readonly MetricsReading[],
    private readonly after: readonly MetricsReading[],
  ) {}

  /**
   * @param value - of one reading.
   * @returns The mean over the daemons of its growth a second.
   */
  perSecond(value: (reading: MetricsReading) => number): number {
    return mean(
      this.after.map((reading, index) => {
        const earlier = this.before[index]!;
        const seconds = (reading.atMilliseconds - earlier.atMilliseconds) / MILLISECONDS_PER_SECOND;
        return (value(reading) - value(earlier)) / seconds;
      }),
    );
  }

  /**
   * @param value - of one reading.
   * @returns The sum over the daemons of its growth.
   */
  total(value: (reading: MetricsReading) => number): number {
    return this.after.reduce(
      (sum, reading, index) => sum + value(reading) - value(this.before[index]!),
      0,
    );
  }
}

function processorSeconds(reading: MetricsReading): number {
  return reading.gauge('processor_seconds');
}

function innerHops(reading: MetricsReading): number {
  return reading.innerHops();
}

async function watch(daemons: readonly DaemonProcess[], work: () => Promise<unknown>) {
  const before = await readAll(daemons);
  await work();
  return new Interval(before, await readAll(daemons));
}

/** Adds daemons, spread over the data centres of both firms, to those of the small fleet. */
async function startMore(fleet: FleetProcesses, wanted: number): Promise<void> {
  const places = FIRMS.flatMap(({ firm, region, dataCentres }) =>
    dataCentres.map((dataCentre) => ({ firm, region, dataCentre })),
  );
  for (let count = fleet.runningDaemons().length; count < wanted; count += places.length) {
    const batch = places.slice(0, wanted - count);
    await Promise.all(
      batch.map((place) => fleet.startDaemon({ ...place, id: `${place.dataCentre}-${count}` })),
    );
  }
}

async function changeOnce(
  fleet: FleetProcesses,
  change: { name?: string; bound: number },
): Promise<number> {
  const policy = { ...FIRMS[0]!.policy, ...change };
  const resource = create(ResourceSchema, {
    resource: { case: 'routingPolicy', value: create(RoutingPolicySchema, policy) },
  });
  const origin = { changeId: randomUUID(), reason: 'a measured change' };
  const startedAt = performance.now();
  const { revision } = await fleet
    .operator()
    .call(ResourceService, (client) => client.apply({ origin, resources: [resource] }));
  await waitInForce(fleet, revision);
  return performance.now() - startedAt;
}

/**
 * @param options - size and length of the run.
 * @returns The figures.
 */
export async function measureFleet(options: FleetRunOptions): Promise<FleetFigures> {
  const { chats } = options;
  const fleet = new FleetProcesses({ ...options, daemonSettings: SETTINGS });
  try {
    const firms = await startTwoFirms(fleet);
    await startMore(fleet, options.daemons);
    await wait(SETTLE_MILLISECONDS);
    const daemons = fleet.runningDaemons();
    const idle = await watch(daemons, () => wait(options.seconds * MILLISECONDS_PER_SECOND));
    const readings = await readAll(daemons);
    const changes: number[] = [];
    for (let index = 0; index < CHANGES; index += 1) {
      changes.push(await changeOnce(fleet, { name: 'measured', bound: 1.2 + index / 100 }));
    }
    if (options.bound) await changeOnce(fleet, { bound: options.bound });
    let exactAnswers = 0;
    const asked = new MeasuredChats({ fleet, firms, chats });
    // Code that has run a few times only is slow, and a cold chat may go elsewhere than it will later.
    await asked.ask(LONG_ANSWER_TOKENS);
    if (options.located) await asked.locate();
    const ask = (tokens: number) => async () => {
      exactAnswers += await asked.ask(tokens);
    };
    const short = await watch(daemons, ask(SHORT_ANSWER_TOKENS));
    const long = await watch(daemons, ask(LONG_ANSWER_TOKENS));
    const shortMicroseconds = (short.total(processorSeconds) * MICROSECONDS_PER_SECOND) / chats;
    const longMicroseconds = (long.total(processorSeconds) * MICROSECONDS_PER_SECOND) / chats;
    const furtherTokens = LONG_ANSWER_TOKENS - SHORT_ANSWER_TOKENS;
    return {
      daemons: daemons.length,
      idleControlSentBytesPerSecond: Math.round(idle.perSecond((one) => one.controlBytes('sent'))),
      idleControlReceivedBytesPerSecond: Math.round(
        idle.perSecond((one) => one.controlBytes('received')),
      ),
      idleControlCallsPerSecond: Number(idle.perSecond((one) => one.controlCalls()).toFixed(2)),
      idleProcessorShare: Number(idle.perSecond(processorSeconds).toFixed(4)),
      residentMegabytes: Math.round(
        median(readings.map((one) => one.gauge('resident_bytes'))) / BYTES_PER_MEGABYTE,
      ),
      platformCallsPerSecond: Number(
        readings.reduce((sum, one) => sum + one.gauge('platform_calls_per_second'), 0).toFixed(2),
      ),
      inForceMilliseconds: Math.round(median(changes)),
      requests: 2 * chats,
      exactAnswers,
      innerHopsPerRequest: Number(
        ((short.total(innerHops) + long.total(innerHops)) / (2 * chats)).toFixed(3),
      ),
      processorMicrosecondsPerRequest: Math.round(shortMicroseconds),
      processorMicrosecondsPerToken: Math.round(
        (longMicroseconds - shortMicroseconds) / furtherTokens,
      ),
    };
  } finally {
    await fleet.stop();
  }
}
