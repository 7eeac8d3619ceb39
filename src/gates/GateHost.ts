/**
 * Manages the gates that this daemon holds: opens and closes them as the assignment of runners to daemons
 * changes, hands them over to other daemons, and passes attempts to them.
 */
import type { FleetRunner, FleetView } from '../fleet/FleetView.js';
import type { Service } from '../generated/baobabdock/v1/configuration_pb.js';
import type {
  CancelRequest,
  ExecuteEvent,
  ExecuteRequest,
  HandOverGateRequest,
  PoolDigest,
  ResumeRequest,
} from '../generated/baobabdock/v1/peers_pb.js';
import type { Log } from '../logging/Log.js';
import { SilentLog } from '../logging/Log.js';
import type { PeerLink } from '../peers/PeerLink.js';
import type { Clock } from '../time/Clock.js';
import { SystemClock } from '../time/SystemClock.js';
import { GateHostFactory } from './GateHostFactory.js';
import type { GateHostFactoryOptions } from './GateHostFactory.js';
import { GateHostHandOver } from './GateHostHandOver.js';
import { heldWorkOf, poolDigests } from './GateHostDigests.js';
import { gatesFeature, gatesLogEvents } from './gatesFeature.js';
import type { GatesSettings } from './gatesFeature.js';
import type { GateTask } from './GateTask.js';
import { singleEventStream, refusedEvent } from './GateTaskEvents.js';

/** Options of a {@link GateHost}. */
export interface GateHostOptions extends Omit<
  GateHostFactoryOptions,
  'clock' | 'log' | 'settings'
> {
  peers: PeerLink;
  clock?: Clock;
  log?: Log;
  settings?: GatesSettings;
}

/** A gate that this daemon holds, or one that it has closed and whose attempts are still finishing. */
export interface HostedGate {
  readonly task: GateTask;
  readonly address: string;
  /** Whether this daemon holds the gate; if not, the gate only lets its running attempts finish. */
  held: boolean;
}

/** Opens, closes and hands over the gates of one daemon, and finds the gate for each attempt. */
export class GateHost {
  private readonly fleet: FleetView;

  private readonly log: Log;

  private readonly settings: GatesSettings;

  private readonly handOver: GateHostHandOver;

  private readonly factory: GateHostFactory;

  private readonly gates = new Map<string, HostedGate>();

  /** One promise for each closed gate whose attempts are still finishing; `drain` waits for them. */
  private readonly pendingCloses = new Set<Promise<void>>();

  private readonly timers: NodeJS.Timeout[] = [];

  private draining = false;

  /**
   * @param options - the daemon's view of the fleet, the connections to other daemons, and settings.
   */
  constructor(options: GateHostOptions) {
    const { clock = new SystemClock(), log = new SilentLog() } = options;
    this.fleet = options.fleet;
    this.log = log;
    this.settings = options.settings ?? gatesFeature.settings.parse({});
    this.factory = new GateHostFactory({ ...options, clock, log, settings: this.settings });
    this.handOver = new GateHostHandOver({
      fleet: options.fleet,
      peers: options.peers,
      clock,
      log,
      timeoutMilliseconds: this.settings.handOverTimeoutMilliseconds,
    });
  }

  /** Opens the gates of this daemon and starts the periodic reconciliation. */
  start(): void {
    this.reconcile();
    const { reviewMilliseconds, poolMeanMilliseconds } = this.settings;
    this.timers.push(
      setInterval(() => this.reconcile(), reviewMilliseconds),
      setInterval(() => this.updateGates(), poolMeanMilliseconds),
    );
  }

  /**
   * Opens and closes gates so that they match the runners assigned to this daemon. To be called whenever
   * membership, runners or the configuration have changed; the periodic call covers changes that were not
   * announced.
   */
  reconcile(): void {
    const wanted = this.draining ? new Map<string, FleetRunner>() : this.runnersOfOwnGates();
    for (const [runnerId, gate] of this.gates) {
      const runner = wanted.get(runnerId);
      const moved = runner !== undefined && runner.record.address !== gate.address;
      if (gate.held && (!runner || moved)) this.closeGate(runnerId, gate);
    }
    for (const [runnerId, runner] of wanted) {
      if (!this.gates.get(runnerId)?.held) this.openGate(runner);
    }
    this.updateGates();
  }

  /**
   * Runs an attempt at a gate held here; see `GatePort`.
   *
   * @param request - the attempt and its runner.
   * @param signal - aborting it cancels the attempt.
   * @returns Its events.
   */
  execute(request: ExecuteRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    if (this.draining) return singleEventStream(refusedEvent({ reason: 'draining' }));
    const gate = this.gates.get(request.runnerId);
    if (!gate?.held) return singleEventStream(refusedEvent({ reason: 'gate_not_here' }));
    return gate.task.execute(request, signal);
  }

  /**
   * Continues the stream of an attempt; see `GatePort`. A closed gate still continues attempts that it
   * started.
   *
   * @param request - the attempt, and the last chunk that the reader has received.
   * @param signal - aborting it stops reading.
   * @returns The remaining events of the attempt.
   */
  resume(request: ResumeRequest, signal: AbortSignal): AsyncIterable<ExecuteEvent> {
    const gate = this.gates.get(request.runnerId);
    // This daemon may be about to open the gate, once its runner list is up to date, so the reader should
    // retry. Answering `cannot_resume` would end a stream that the runner is still generating.
    if (!gate) return singleEventStream(refusedEvent({ reason: 'gate_not_here' }));
    return gate.task.resume(request, signal);
  }

  /**
   * Cancels an attempt at a gate that is here.
   *
   * @param request - the attempt.
   * @returns Whether the gate or the runner knew the attempt.
   */
  async cancel(request: CancelRequest): Promise<boolean> {
    return (await this.gates.get(request.runnerId)?.task.cancel(request)) ?? false;
  }

  /**
   * Receives a handover: the attempts that the previous holder of a gate still has on the runner. It is
   * stored if this daemon has not opened the gate yet.
   *
   * @param request - the handover from the previous holder.
   * @returns Whether it was accepted; false while this daemon drains.
   */
  receiveHandOver(request: HandOverGateRequest): boolean {
    if (this.draining) return false;
    const gate = this.gates.get(request.runnerId);
    if (gate?.held) gate.task.open(heldWorkOf(request), Number(request.lastCacheEvent));
    else this.handOver.storeReceived(request);
    return true;
  }

  /** @returns The load of each pool, summed over the gates held here, for gossip to the other daemons. */
  poolDigests(): PoolDigest[] {
    const held = [...this.gates.values()].filter((gate) => gate.held);
    return poolDigests(held.map(({ task }) => task));
  }

  /** @returns Gates by runner: those held here, and closed ones whose attempts are still finishing. */
  hosted(): ReadonlyMap<string, HostedGate> {
    return this.gates;
  }

  /** @returns The number of attempts in progress at all gates of this daemon. */
  inProgress(): number {
    return [...this.gates.values()].reduce((sum, { task }) => sum + task.inProgress, 0);
  }

  /**
   * Hands over all gates and waits until their last attempts have ended. The fleet must already know that
   * this daemon is leaving; otherwise no next holder is assigned to receive the handovers.
   *
   * @returns Resolves when the last attempt has ended and the final handovers were sent.
   */
  async drain(): Promise<void> {
    this.draining = true;
    this.reconcile();
    await Promise.all(this.pendingCloses);
  }

  /** Stops all gates and cancels the attempts that still run. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
    this.factory.cacheMoves.stop();
    for (const { task } of this.gates.values()) task.stop();
    this.gates.clear();
  }

  private runnersOfOwnGates(): Map<string, FleetRunner> {
    const self = this.fleet.self().daemonId;
    const runners = this.fleet
      .configuration()
      .services.flatMap(({ name }) => this.fleet.runners(name))
      .filter(({ id }) => this.fleet.gateOf(id)?.daemonId === self);
    return new Map(runners.map((runner) => [runner.id, runner]));
  }

  /** Updates the runner state and pool mean of each gate held here; cheap, as it reads no whole list. */
  private updateGates(): void {
    for (const [runnerId, gate] of this.gates) {
      const runner = gate.held ? this.fleet.runner(runnerId) : undefined;
      if (runner) this.updateGate(runner);
    }
    this.handOver.resendAll();
  }

  private updateGate(runner: FleetRunner): void {
    const { id, state, record } = runner;
    const gate = this.gates.get(id);
    if (!gate?.held) return;
    gate.task.updateRunner(state, Number(record.incarnation));
    const { mean, runners } = this.fleet.poolLoad(record.service);
    gate.task.updatePool(mean, runners);
    this.factory.cacheMoves.updateRunner(runner, gate.task.watch);
  }

  private openGate(runner: FleetRunner): void {
    const service = this.fleet.service(runner.record.service);
    if (!service) return;
    const before = this.gates.get(runner.id);
    // The gate came back before its last attempt had ended: reuse it, so that this attempt stays counted.
    const reused = before?.address === runner.record.address ? before : undefined;
    const gate = reused ?? this.newGate(runner, service);
    if (!gate) return;
    gate.held = true;
    this.gates.set(runner.id, gate);
    this.handOver.stopSending(runner.id);
    const kept = this.handOver.takeReceived(runner.id);
    gate.task.updateRunner(runner.state, Number(runner.record.incarnation));
    gate.task.open(kept && heldWorkOf(kept), Number(kept?.lastCacheEvent ?? 0));
    const { id, record } = runner;
    const known = kept?.attempts.length;
    this.log.write(gatesLogEvents.opened, {
      runner: id,
      service: record.service,
      handedOver: known,
    });
  }

  private newGate(runner: FleetRunner, service: Service): HostedGate | undefined {
    const { address } = runner.record;
    try {
      return { task: this.factory.createGate(runner, service), address, held: false };
    } catch (error) {
      // One invalid address in the list must not prevent the other gates of this daemon from opening.
      const message = error instanceof Error ? error.message : String(error);
      this.log.write(gatesLogEvents.cannotOpen, { runner: runner.id, address, message });
      return undefined;
    }
  }

  private closeGate(runnerId: string, gate: HostedGate): void {
    const { task } = gate;
    // eslint-disable-next-line no-param-reassign -- the host owns its gates.
    gate.held = false;
    task.closeGate();
    this.handOver.startSending(task);
    this.log.write(gatesLogEvents.closed, { runner: runnerId, inProgress: task.inProgress });
    const closing = this.removeWhenEmpty(runnerId, gate);
    this.pendingCloses.add(closing);
    void closing.finally(() => this.pendingCloses.delete(closing));
  }

  private async removeWhenEmpty(runnerId: string, gate: HostedGate): Promise<void> {
    await gate.task.whenEmpty();
    if (gate.held) return;
    await this.handOver.sendFinal(gate.task);
    // Meanwhile this daemon may have opened the gate again, or the gate may have new attempts.
    if (gate.held || gate.task.inProgress > 0) return;
    if (this.gates.get(runnerId) === gate) this.gates.delete(runnerId);
    gate.task.stop();
  }
}
