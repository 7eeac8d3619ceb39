/**
 * Which data centres the operators have evacuated. An order is written without a lease, so that an outage of the store
 * takes none back.
 */
import type { RunnerTable } from '../runners/RunnerTable.js';
import type { StoreFact } from './FleetStore.js';
import type { KnowledgeListener } from './knowledgeTypes.js';
import type { ChangeMoment } from './RunnerListing.js';

/** Options of an {@link EvacuationListing}. */
export interface EvacuationListingOptions {
  runners: Pick<RunnerTable, 'setEvacuated'>;
  listener: Pick<KnowledgeListener, 'evacuationChanged'>;
  /** Hears of each change. */
  onChange: (fact: StoreFact, moment: ChangeMoment) => void;
}

/** Takes what the store and other daemons say of evacuations. */
export class EvacuationListing {
  private readonly evacuated = new Set<string>();

  private readonly options: EvacuationListingOptions;

  /**
   * @param options - whom an order concerns, and who hears of it.
   */
  constructor(options: EvacuationListingOptions) {
    this.options = options;
  }

  /** @returns Names of the evacuated data centres, sorted. */
  get names(): string[] {
    return [...this.evacuated].sort();
  }

  /**
   * @param dataCentre - that is evacuated.
   * @param moment - of the order.
   */
  put(dataCentre: string, moment: ChangeMoment): void {
    if (this.evacuated.has(dataCentre)) return;
    this.evacuated.add(dataCentre);
    this.changed({ kind: 'evacuation', dataCentre }, moment);
  }

  /**
   * @param dataCentre - whose order has been taken back.
   * @param moment - at which there was none.
   */
  remove(dataCentre: string, moment: ChangeMoment): void {
    if (!this.evacuated.delete(dataCentre)) return;
    this.changed({ kind: 'evacuation_over', dataCentre }, moment);
  }

  /**
   * Takes back all orders but these.
   *
   * @param dataCentres - that are evacuated.
   * @param moment - of the list.
   */
  keepOnly(dataCentres: ReadonlySet<string>, moment: ChangeMoment): void {
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
