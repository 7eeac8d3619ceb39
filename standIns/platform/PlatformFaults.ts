/**
 * The faults that a test or an operator of the demo can switch on at the platform's stand-in.
 */

/** Operations for which faults are set separately. */
export type PlatformOperation =
  'get' | 'range' | 'transact' | 'grantLease' | 'renewLease' | 'revokeLease' | 'watch';

/**
 * A fault of one call.
 *
 * - `refuse`: answered with an error before any effect; the caller knows that nothing happened.
 * - `lose_request`: no effect, no answer; the caller cannot know.
 * - `lose_answer`: takes effect, no answer; the caller cannot know.
 * - `late_effect`: no answer; takes effect only when {@link PlatformFaults.releaseLateEffects} is called.
 */
export type PlatformFault = 'refuse' | 'lose_request' | 'lose_answer' | 'late_effect';

/** Faults that last, as the administration of the stand-in sets them. */
export interface LastingFaults {
  /** Nothing answers and every connection and watch breaks. */
  outage: boolean;
  /** Milliseconds by which every answer is late. */
  slowMilliseconds: number;
  /** Reads answer as of this revision. */
  oldDataRevision: number | undefined;
  /** Watches stay open and report nothing. */
  muteWatches: boolean;
}

/** Holds the active faults; the services query it for each call. */
export class PlatformFaults {
  private readonly planned: { operation: PlatformOperation; fault: PlatformFault }[] = [];

  private readonly lateEffects: (() => void)[] = [];

  private readonly breakListeners = new Set<() => void>();

  private lastingFaults: LastingFaults = {
    outage: false,
    slowMilliseconds: 0,
    oldDataRevision: undefined,
    muteWatches: false,
  };

  /** @returns What lasts. */
  get lasting(): Readonly<LastingFaults> {
    return this.lastingFaults;
  }

  /**
   * @param change - what to switch on or off; an outage also breaks the open watches.
   */
  set(change: Partial<LastingFaults>): void {
    this.lastingFaults = { ...this.lastingFaults, ...change };
    if (change.outage) this.breakWatches();
  }

  /**
   * Makes the next call of an operation fail; several plans are used up in their order.
   *
   * @param operation - which calls.
   * @param fault - how.
   */
  plan(operation: PlatformOperation, fault: PlatformFault): void {
    this.planned.push({ operation, fault });
  }

  /**
   * Takes the fault that is planned for a call that is being served.
   *
   * @param operation - the call.
   * @returns Its fault, or `undefined`.
   */
  take(operation: PlatformOperation): PlatformFault | undefined {
    if (this.lastingFaults.outage) return 'refuse';
    const index = this.planned.findIndex((plan) => plan.operation === operation);
    return index < 0 ? undefined : this.planned.splice(index, 1)[0]!.fault;
  }

  /** @returns Planned faults that no call has met yet: a test that ends with some tested nothing. */
  get unused(): number {
    return this.planned.length;
  }

  /**
   * Keeps an effect for later.
   *
   * @param effect - applies the call.
   */
  delayEffect(effect: () => void): void {
    this.lateEffects.push(effect);
  }

  /** Lets every late effect happen now, in order. */
  releaseLateEffects(): void {
    this.lateEffects.splice(0).forEach((effect) => effect());
  }

  /** Ends every open watch with an error. */
  breakWatches(): void {
    [...this.breakListeners].forEach((listener) => listener());
  }

  /**
   * @param listener - called when watches break.
   * @returns Stops calling it.
   */
  onBreak(listener: () => void): () => void {
    this.breakListeners.add(listener);
    return () => this.breakListeners.delete(listener);
  }
}
