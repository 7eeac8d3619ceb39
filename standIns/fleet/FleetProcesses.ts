/**
 * A small fleet as separate processes on loopback: the platform's stand-in, runners, daemons of both firms.
 */
import { createHash, randomBytes } from 'node:crypto';
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { stringify } from 'yaml';

import { create } from '@bufbuild/protobuf';
import { instanceWrite } from '../../src/configuration/InstanceDirectory.js';
import type { RunnerRecord } from '../../src/generated/baobabdock/v1/configuration_pb.js';
import { RunnerRecordSchema } from '../../src/generated/baobabdock/v1/configuration_pb.js';
import { OperatorClient } from '../../src/operators/OperatorClient.js';
import { EtcdPlatformStore } from '../../src/store/EtcdPlatformStore.js';
import { platformFeature } from '../../src/store/platformFeature.js';
import type { OutputLine } from './ChildProgram.js';
import { ChildProgram } from './ChildProgram.js';

/** Options of {@link FleetProcesses}. */
export interface FleetProcessesOptions {
  /** A built binary to run instead of the source. */
  binary?: string;
  /** A directory that takes the JSON lines of every program when the fleet stops. */
  logs?: string;
  /** Sections of every daemon's settings file to add or replace. */
  daemonSettings?: Readonly<Record<string, unknown>>;
}

/** Where a daemon or runner belongs. */
export interface Place {
  readonly firm: string;
  readonly region: string;
  readonly dataCentre: string;
}

/** Options of a runner's process. */
export interface RunnerProcessOptions extends Place {
  id: string;
  service: string;
  /** For engines; a plain runner has none. */
  model?: string;
  /** Further command line arguments of the stand-in. */
  arguments?: readonly string[];
}

/** A runner's process. */
export interface RunnerProcess {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly place: Place;
  readonly program: ChildProgram;
}

/** Options of a daemon's process. */
export interface DaemonProcessOptions extends Place {
  id: string;
  /** Sections of the settings file to add or replace. */
  settings?: Readonly<Record<string, unknown>>;
}

/** A daemon's process. */
export interface DaemonProcess {
  readonly id: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly operatorEndpoint: string;
  readonly program: ChildProgram;
}

/** Runner parts of the platform's list that change. */
export type RunnerListState = 'live' | 'leaving';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const DAEMON_STARTED = 1000;

function typeScript(file: string, rest: readonly string[]): readonly string[] {
  return ['--import', 'tsx', join(ROOT, file), ...rest];
}

function isReady({ ready, address }: OutputLine): boolean {
  return ready === true || address !== undefined;
}

/** Starts, lists and stops the processes; only those that it started. */
export class FleetProcesses {
  private readonly binary: string | undefined;

  private readonly logs: string | undefined;

  private readonly daemonSettings: Readonly<Record<string, unknown>>;

  private readonly programs: ChildProgram[] = [];

  private readonly daemons: DaemonProcess[] = [];

  private readonly fleetSecret = randomBytes(24).toString('hex');

  private readonly operatorToken = randomBytes(24).toString('hex');

  private directory = '';

  private platformAddress = '';

  private administrationAddress = '';

  private store: EtcdPlatformStore | undefined;

  /**
   * @param options - what runs the daemons.
   */
  constructor({ binary, logs, daemonSettings = {} }: FleetProcessesOptions = {}) {
    this.binary = binary;
    this.logs = logs;
    this.daemonSettings = daemonSettings;
  }

  /** Starts the platform's stand-in. */
  async startPlatform(): Promise<void> {
    this.directory = await mkdtemp(join(tmpdir(), 'baobabdock-'));
    const program = this.start('platform', typeScript('standIns/platform/platformMain.ts', []));
    const { address, administration } = await program.waitFor(isReady);
    this.platformAddress = String(address);
    this.administrationAddress = String(administration);
    const settings = platformFeature.settings.parse({ addresses: [this.platformUrl()] });
    this.store = new EtcdPlatformStore(settings);
  }

  /**
   * Switches lasting faults of the platform.
   *
   * @param faults - as `PlatformAdministration` takes them, for example `{ outage: true }`.
   */
  async setPlatformFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    await this.administer('PUT', '/faults', faults);
  }

  /**
   * Plans a fault for the next call of one kind.
   *
   * @param operation - for example `transact`.
   * @param fault - for example `lose_answer`.
   */
  async planPlatformFault(operation: string, fault: string): Promise<void> {
    await this.administer('POST', '/faults/plan', { operation, fault });
  }

  /**
   * Starts a runner and puts it on the platform's list.
   *
   * @param options - what it is and where.
   * @returns The runner.
   */
  async startRunner(options: RunnerProcessOptions): Promise<RunnerProcess> {
    const { id, service, model, firm, region, dataCentre } = options;
    const main = model ? 'engineMain.ts' : 'plainMain.ts';
    const described = model ? ['--name', id, '--model', model] : ['--name', id];
    const rest = [...described, ...(options.arguments ?? [])];
    const program = this.start(id, typeScript(`standIns/runners/${main}`, rest));
    const { address } = await program.waitFor(isReady);
    const place = { firm, region, dataCentre };
    const runner = { id, service, address: String(address), place, program };
    await this.listRunner(runner, 'live');
    return runner;
  }

  /**
   * Writes a runner's entry of the platform's list.
   *
   * @param runner - the runner.
   * @param state - live or leaving.
   * @returns The platform's revision of the entry.
   */
  async listRunner(runner: RunnerProcess, state: RunnerListState): Promise<number> {
    const { id: runnerId, service, address, place } = runner;
    const incarnation = BigInt(runner.program.pid);
    const accelerators = 8;
    const record: RunnerRecord = create(RunnerRecordSchema, {
      runnerId,
      service,
      address,
      state,
      incarnation,
      accelerators,
      ...place,
    });
    const write = instanceWrite(record);
    const { entry } = await this.platform().get(write.key);
    const { revision } = await this.platform().transact({
      expected: [{ key: write.key, modifiedRevision: entry?.modifiedRevision ?? 0 }],
      writes: [write],
    });
    return revision;
  }

  /**
   * Starts a daemon that knows the running ones as seeds.
   *
   * @param options - who and where it is.
   * @returns The daemon, once it serves.
   */
  async startDaemon(options: DaemonProcessOptions): Promise<DaemonProcess> {
    const file = join(this.directory, `${options.id}.yaml`);
    await writeFile(file, stringify(this.settingsOf(options)));
    const program = this.binary
      ? this.start(options.id, ['serve', file], this.binary)
      : this.start(options.id, typeScript('src/baobabdock.ts', ['serve', file]));
    const line = await program.waitFor(({ number }) => number === DAEMON_STARTED);
    const fields = line.fields as Readonly<Record<string, string>>;
    const daemon: DaemonProcess = {
      id: options.id,
      callerAddress: String(fields.callerAddress),
      peerAddress: String(fields.peerAddress),
      operatorEndpoint: `http://${fields.operatorAddress}`,
      program,
    };
    this.daemons.push(daemon);
    return daemon;
  }

  /**
   * @param endpoints - of the daemons to call; missing means all that run.
   * @returns A client of their operators' interface.
   */
  operator(endpoints = this.runningDaemons().map((each) => each.operatorEndpoint)): OperatorClient {
    return new OperatorClient({ endpoints, token: this.operatorToken });
  }

  /** @returns Daemons whose process runs. */
  runningDaemons(): DaemonProcess[] {
    return this.daemons.filter(({ program }) => program.running);
  }

  /** Kills what still runs, by process id, and removes the settings files. */
  async stop(): Promise<void> {
    await Promise.all(this.programs.map((program) => program.kill()));
    await this.store?.close();
    await this.keepLogs();
    if (this.directory) await rm(this.directory, { recursive: true, force: true });
  }

  private async keepLogs(): Promise<void> {
    if (!this.logs) return;
    await mkdir(this.logs, { recursive: true });
    for (const program of this.programs) {
      const lines = program.output().map((line) => `${JSON.stringify(line)}\n`);
      await writeFile(join(this.logs, `${program.name}.jsonl`), lines.join(''));
    }
  }

  private async administer(method: string, path: string, body: object): Promise<void> {
    const administration = this.administrationAddress.replace(/^https?:\/\//u, '');
    const response = await fetch(`http://${administration}${path}`, {
      method,
      body: JSON.stringify(body),
    });
    if (!response.ok) throw new Error(`The platform refused faults: ${await response.text()}`);
  }

  private platform(): EtcdPlatformStore {
    if (!this.store) throw new Error('Start the platform first.');
    return this.store;
  }

  private platformUrl(): string {
    return this.platformAddress.startsWith('http')
      ? this.platformAddress
      : `http://${this.platformAddress}`;
  }

  private settingsOf({ id, settings = {}, ...place }: DaemonProcessOptions): object {
    const sha256 = createHash('sha256').update(this.operatorToken).digest('hex');
    return {
      daemon: { id, ...place, seeds: this.runningDaemons().map((each) => each.peerAddress) },
      peers: { fleetSecrets: [this.fleetSecret] },
      platform: { addresses: [this.platformUrl()] },
      operators: { tokens: [{ name: 'demo', role: 'write', sha256 }] },
      ...this.daemonSettings,
      ...settings,
    };
  }

  private start(name: string, rest: readonly string[], command = process.execPath): ChildProgram {
    const program = new ChildProgram({ name, command, arguments: rest });
    this.programs.push(program);
    return program;
  }
}
