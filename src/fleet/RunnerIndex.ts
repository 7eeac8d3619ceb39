/**
 * Keeps the runners of the fleet with their states, which follow from the runner list, from drains and from the states that
 * this daemon observed itself.
 */
import type { Drain, RunnerRecord } from '../generated/baobabdock/v1/configuration_pb.js';
import type { RunnerState } from '../gates/gateTypes.js';
import type { FleetRunner } from './FleetView.js';

interface ReportedState {
  readonly incarnation: bigint;
  readonly state: RunnerState;
}

/**
 * Limit on the runners whose leaving is remembered. Beyond it, the oldest of those that are not in the list is forgotten.
 * Runners off the list are remembered at all because an outdated list may bring them back.
 */
const MAXIMUM_REMEMBERED_LEAVING = 4_096;

/** Indexes runners by name and by service. */
export class RunnerIndex {
  private byId = new Map<string, FleetRunner>();

  private byService = new Map<string, FleetRunner[]>();

  private readonly reportedStates = new Map<string, ReportedState>();

  /** Incarnations, by runner, that operators or roll-outs have drained: they get no new work. */
  private drained: ReadonlyMap<string, bigint> = new Map();

  /** The highest incarnation of each runner that has announced that it leaves. */
  private readonly leaving = new Map<string, bigint>();

  /**
   * Replaces the runner list.
   *
   * @param records - the records of all runners.
   */
  replaceList(records: readonly RunnerRecord[]): void {
    for (const { runnerId, state, incarnation } of records) {
      if (state === 'leaving') this.rememberLeaving(runnerId, incarnation);
    }
    this.byId = new Map();
    this.byService = new Map();
    for (const record of records) this.put(record);
    for (const runnerId of this.reportedStates.keys()) {
      if (!this.byId.has(runnerId)) this.reportedStates.delete(runnerId);
    }
  }

  /**
   * Applies a runner state that this daemon observed itself.
   *
   * @param runnerId - the runner's name.
   * @param incarnation - the incarnation that the report is about.
   * @param state - the observed state; `leaving` is final for the incarnation.
   * @returns Whether the runner's state changed.
   */
  applyReport(runnerId: string, incarnation: bigint, state: RunnerState): boolean {
    const runner = this.byId.get(runnerId);
    if (!runner || incarnation < runner.record.incarnation) return false;
    if (state === 'leaving') this.rememberLeaving(runnerId, incarnation);
    this.reportedStates.set(runnerId, { incarnation, state });
    const before = runner.state;
    this.put(runner.record);
    return this.byId.get(runnerId)?.state !== before;
  }

  /**
   * Applies the drains of the configuration in force. Unlike leaving, a drain can be lifted: a drained runner has the state
   * `ejected` and gets no new work until the drain is gone.
   *
   * @param drains - the drains of daemons and runners; that of a runner applies to one incarnation.
   * @returns Whether the drains of runners have changed.
   */
  drain(drains: readonly Drain[]): boolean {
    const wanted = new Map(
      drains.filter(({ kind }) => kind === 'runner').map((each) => [each.id, each.incarnation]),
    );
    const same =
      wanted.size === this.drained.size &&
      [...wanted].every(([id, incarnation]) => this.drained.get(id) === incarnation);
    if (same) return false;
    this.drained = wanted;
    for (const { record } of [...this.byId.values()]) this.put(record);
    return true;
  }

  /**
   * @param runnerId - the runner's name.
   * @returns The runner, or `undefined`.
   */
  get(runnerId: string): FleetRunner | undefined {
    return this.byId.get(runnerId);
  }

  /**
   * @param service - the service's name.
   * @returns The service's runners in any state.
   */
  ofService(service: string): readonly FleetRunner[] {
    return this.byService.get(service) ?? [];
  }

  /** @returns All runners. */
  all(): readonly FleetRunner[] {
    return [...this.byId.values()];
  }

  private put(record: RunnerRecord): void {
    const runner = { id: record.runnerId, record, state: this.stateOf(record) };
    const known = this.byId.get(runner.id);
    this.byId.set(runner.id, runner);
    const pool = this.byService.get(record.service) ?? [];
    const index = known ? pool.indexOf(known) : -1;
    // The list is replaced, never changed in place: callers cache results by the identity of the list.
    this.byService.set(record.service, index < 0 ? [...pool, runner] : pool.with(index, runner));
  }

  /**
   * Works out the state of a runner. An outdated list or a flapping runner may report "live" again for a runner that is
   * leaving; new work would then go to it and be cut when it stops. So only a newer incarnation ends `leaving`.
   */
  private stateOf({ runnerId, state, incarnation }: RunnerRecord): RunnerState {
    const leftAt = this.leaving.get(runnerId);
    if (leftAt !== undefined && incarnation <= leftAt) return 'leaving';
    if (state === 'leaving') return 'leaving';
    const reported = this.reportedStates.get(runnerId);
    const current = reported && reported.incarnation >= incarnation ? reported.state : 'live';
    const drained = this.drained.get(runnerId) === incarnation;
    return drained && current !== 'down' ? 'ejected' : current;
  }

  private rememberLeaving(runnerId: string, incarnation: bigint): void {
    const known = this.leaving.get(runnerId) ?? 0n;
    this.leaving.delete(runnerId);
    this.leaving.set(runnerId, incarnation > known ? incarnation : known);
    if (this.leaving.size <= MAXIMUM_REMEMBERED_LEAVING) return;
    for (const oldest of this.leaving.keys()) {
      if (this.byId.has(oldest)) continue;
      this.leaving.delete(oldest);
      return;
    }
  }
}
