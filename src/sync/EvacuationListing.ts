/**
 * The data centres that operators have evacuated. An evacuation order is written without a lease, so that it does not
 * expire during an outage of the store.
 */
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { StoreFact } from './FleetStore.js';
import type { KnowledgeListener } from './knowledgeTypes.js';
import type { ChangeMoment } from './RunnerListing.js';
import { LAPSE_GRACE_MILLISECONDS } from './StoreOutageDetector.js';

/** Options of an {@link EvacuationListing}. */
export interface EvacuationListingOptions {
  runners: Pick<RunnerTable, 'setEvacuated'>;
  listener: Pick<KnowledgeListener, 'evacuationChanged'>;
  /** Called for each order that is given or withdrawn. */
  onChange: (fact: StoreFact, moment: ChangeMoment) => void;
}

/** Keeps the evacuated data centres from the facts of the store and of other daemons, and applies them to the runners. */
export class EvacuationListing {
  private readonly evacuated = new Set<string>();

  /** Until when missing orders may be written again, monotonic ms. */
  private graceUntil = Number.NEGATIVE_INFINITY;

  private readonly options: EvacuationListingOptions;

  /**
   * @param options - the runners that orders apply to, and who is notified of changes.
   */
  constructor(options: EvacuationListingOptions) {
    this.options = options;
  }

  /** @returns Names of the evacuated data centres, sorted. */
  get names(): string[] {
    return [...this.evacuated].sort();
  }

  /**
   * Keeps orders that are missing in full reads for a while, since the store has been restored from an older copy and
   * operators write again what the copy lacks.
   *
   * @param now - monotonic milliseconds.
   */
  handleRestore(now: number): void {
    this.graceUntil = now + LAPSE_GRACE_MILLISECONDS;
  }

  /**
   * Adds an evacuated data centre.
   *
   * @param dataCentre - its name.
   * @param moment - revision and time of the order.
   */
  put(dataCentre: string, moment: ChangeMoment): void {
    if (this.evacuated.has(dataCentre)) return;
    this.evacuated.add(dataCentre);
    this.changed({ kind: 'evacuation', dataCentre }, moment);
  }

  /**
   * Ends the evacuation of a data centre.
   *
   * @param dataCentre - its name.
   * @param moment - revision and time at which the order was missing.
   */
  remove(dataCentre: string, moment: ChangeMoment): void {
    if (!this.evacuated.delete(dataCentre)) return;
    this.changed({ kind: 'evacuation_over', dataCentre }, moment);
  }

  /**
   * Ends the evacuation of all data centres except the given ones, unless the store has just been restored.
   *
   * @param dataCentres - names of the data centres that stay evacuated.
   * @param moment - revision and time of the full list.
   */
  keepOnly(dataCentres: ReadonlySet<string>, moment: ChangeMoment): void {
    if (moment.now < this.graceUntil) return;
    for (const name of this.names) if (!dataCentres.has(name)) this.remove(name, moment);
  }

  private changed(
    fact: Extract<StoreFact, { kind: 'evacuation' | 'evacuation_over' }>,
    moment: ChangeMoment,
  ): void {
    const { runners, listener, onChange } = this.options;
    runners.setEvacuated(this.evacuated);
    onChange(fact, moment);
    listener.evacuationChanged(fact.dataCentre, fact.kind === 'evacuation' ? 'begun' : 'over');
  }
}
