/**
 * What this daemon believes of the configuration, the runners and the other daemons, with its revision.
 * Versions of the configuration never go back within the life of the process.
 */
import { RouteTable } from '../routes/RouteTable.js';
import type { RoutingConfiguration } from '../routes/routeTypes.js';
import type { RunnerTable } from '../runners/RunnerTable.js';
import { ChangeLog } from './ChangeLog.js';
import { DaemonListing } from './DaemonListing.js';
import { EvacuationListing } from './EvacuationListing.js';
import type { DaemonEntry, StoreFact, StoreRead } from './FleetStore.js';
import { digestOf, factsOf, isListing } from './listings.js';
import type { KnowledgeListener, KnowledgeSnapshot } from './knowledgeTypes.js';
import type { ChangeMoment } from './RunnerListing.js';
import { RunnerListing } from './RunnerListing.js';
import { UnreadableEntries } from './UnreadableEntries.js';

/** Options of a {@link FleetKnowledge}. */
export interface FleetKnowledgeOptions {
  listener: KnowledgeListener;
}

/** Holds beliefs; the follower and the peers feed it. */
export class FleetKnowledge {
  readonly runners: RunnerTable;

  /** All listed daemons by name, whether they live or not. */
  readonly daemons: ReadonlyMap<string, DaemonEntry>;

  /** The secret by which daemons know each other's messages, once the store has told it. */
  secret: string | undefined;

  /** The store's revision that all of it has reached; 0 before anything is known. */
  revision = 0;

  /** The revision of the latest change of the configuration or of a runner that the store has told. */
  changedAtRevision = 0;

  /** Changes of runners and daemons, for daemons that do not read the store. */
  readonly changeLog = new ChangeLog();

  private readonly listener: KnowledgeListener;

  private keptDigest: number | undefined;

  /** How often the configuration or a runner has changed. */
  private changes = 0;

  private table: RouteTable | undefined;

  private readonly listing: RunnerListing;

  private readonly daemonListing: DaemonListing;

  private readonly evacuations: EvacuationListing;

  private readonly unreadable: UnreadableEntries;

  /**
   * @param options - who hears of changes.
   */
  constructor({ listener }: FleetKnowledgeOptions) {
    this.listener = listener;
    this.unreadable = new UnreadableEntries((key, message) => listener.unreadable(key, message));
    const onWorkChange = (fact: StoreFact, moment: ChangeMoment) => {
      this.changes += 1;
      this.logChange(fact, moment);
    };
    this.listing = new RunnerListing({
      listener,
      unreadable: this.unreadable,
      onChange: onWorkChange,
    });
    this.runners = this.listing.table;
    this.evacuations = new EvacuationListing({
      runners: this.runners,
      listener,
      onChange: onWorkChange,
    });
    this.daemonListing = new DaemonListing({
      listener,
      graceFor: (now) => this.listing.outages.graceFor(now),
      onChange: (fact, moment) => this.logChange(fact, moment),
    });
    this.daemons = this.daemonListing.daemons;
  }

  /** @returns How often the list of daemons has changed. */
  get daemonChanges(): number {
    return this.daemonListing.changes;
  }

  /**
   * @param periodMilliseconds - how long what a daemon has used counts.
   * @param now - monotonic milliseconds.
   * @returns How many daemons divide what the fleet as a whole may use, this one too.
   */
  sharers(periodMilliseconds: number, now: number): number {
    return this.daemonListing.size.mostWithin(periodMilliseconds, now);
  }

  /** @returns The configuration in force, or `undefined` before the first one. */
  get routes(): RouteTable | undefined {
    return this.table;
  }

  /** @returns Digest of all that have an entry: daemons differ in how long they wait for runners that have none. */
  get listingDigest(): number {
    this.keptDigest ??= digestOf({
      runners: this.runners.list().filter(({ isLapsed }) => !isLapsed),
      daemons: this.daemonListing.registered,
      evacuated: this.evacuations.names,
    });
    return this.keptDigest;
  }

  /** @returns Names of the data centres whose runners get nothing more. */
  get evacuated(): readonly string[] {
    return this.evacuations.names;
  }

  /** A call of this daemon to the store failed. */
  storeFailed(): void {
    this.listing.outages.failed();
  }

  /**
   * The store has answered this daemon or another one.
   *
   * @param at - monotonic milliseconds.
   */
  storeServed(at: number): void {
    this.listing.outages.served(at);
  }

  /**
   * Another daemon believes that entries have lapsed with the store: what this one misses in its next reads may be
   * back.
   *
   * @param now - monotonic milliseconds.
   */
  suspectOutage(now: number): void {
    this.listing.outages.suspect(now);
  }

  /**
   * Takes changes.
   *
   * @param read - from the store.
   * @param now - monotonic milliseconds.
   */
  applyChanges({ revision, facts }: StoreRead, now: number): void {
    const isOld = revision < this.revision;
    for (const fact of facts) {
      if (isOld && isListing(fact)) continue;
      this.apply(fact, { revision: fact.revision ?? revision, now });
    }
    this.revision = Math.max(this.revision, revision);
    this.listing.expire(now);
    this.daemonListing.expire(now);
    this.listener.updated();
  }

  /**
   * Takes a read of everything: what it does not name is gone.
   *
   * @param read - from the store.
   * @param now - monotonic milliseconds.
   */
  applyAll(read: StoreRead, now: number): void {
    if (read.revision < this.revision) {
      this.applyChanges(read, now);
      return;
    }
    const runners = new Set<string>();
    const daemons = new Set<string>();
    const evacuated = new Set<string>();
    const moment = { revision: read.revision, now };
    for (const fact of read.facts) {
      if (fact.kind === 'runner') runners.add(fact.runner.id);
      if (fact.kind === 'runner_unreadable') runners.add(fact.id);
      if (fact.kind === 'daemon') daemons.add(fact.daemon.name);
      if (fact.kind === 'evacuation' || fact.kind === 'evacuation_unreadable') {
        evacuated.add(fact.dataCentre);
      }
    }
    this.evacuations.keepOnly(evacuated, moment);
    for (const { entry } of this.runners.list()) {
      if (!runners.has(entry.id)) this.listing.remove(entry.id, moment);
    }
    for (const name of [...this.daemons.keys()])
      if (!daemons.has(name)) this.daemonListing.remove(name, moment);
    this.applyChanges(read, now);
  }

  /**
   * Takes what another daemon knows, if it is newer.
   *
   * @param snapshot - from a daemon that reaches the store.
   * @param now - monotonic milliseconds.
   * @returns Whether anything was newer.
   */
  applyPeer(snapshot: KnowledgeSnapshot, now: number): boolean {
    const { revision, configuration, storeSilentMilliseconds } = snapshot;
    this.storeServed(now - (storeSilentMilliseconds ?? Number.POSITIVE_INFINITY));
    const newVersion = (configuration?.version ?? 0) > (this.table?.configuration.version ?? 0);
    this.listener.runnersLeaving(snapshot.leaving ?? []);
    if (configuration && newVersion) this.putConfiguration(configuration);
    if (revision <= this.revision) return newVersion;
    this.applyListing(snapshot, now);
    return true;
  }

  /**
   * Takes changes that a coordinator tells; those that are known already would bring back what has gone since. What a
   * coordinator takes for gone is gone, also where this daemon has waited for it.
   *
   * @param read - with the revision of each change.
   * @param now - monotonic milliseconds.
   */
  applyTold({ revision, facts }: StoreRead, now: number): void {
    const isGone = (fact: StoreFact) =>
      fact.kind === 'runner_gone' && this.listing.isMissingSince(fact.id, fact.revision ?? 0);
    const isNew = (fact: StoreFact) => (fact.revision ?? 0) > this.revision || isGone(fact);
    const told = facts.filter(isNew).map((fact) => {
      if (fact.kind !== 'runner_gone') return fact;
      return { ...fact, isCertain: true };
    });
    this.applyChanges({ revision, facts: told }, now);
  }

  /**
   * @param configuration - that the store holds or another daemon has; an older one changes nothing.
   */
  applyConfiguration(configuration: RoutingConfiguration): void {
    this.putConfiguration(configuration);
    this.listener.updated();
  }

  /**
   * Takes everything that a coordinator lists, also at the same revision: this daemon has missed a change.
   *
   * @param snapshot - from a daemon that reads the store.
   * @param now - monotonic milliseconds.
   */
  applyListing(snapshot: KnowledgeSnapshot, now: number): void {
    const { revision } = snapshot;
    if (revision < this.revision) return;
    this.applyAll({ revision, facts: factsOf(snapshot, this.evacuations.names) }, now);
  }

  /**
   * @param knownVersion - of the configuration that the other daemon has.
   * @param now - monotonic milliseconds.
   * @returns Everything, the configuration only if it is newer.
   */
  snapshot(knownVersion: number, now: number): KnowledgeSnapshot {
    const configuration = this.table?.configuration;
    return {
      revision: this.revision,
      configuration: (configuration?.version ?? 0) > knownVersion ? configuration : undefined,
      configurationVersion: configuration?.version,
      runners: this.runners.list().map((runner) => runner.entryAt(now)),
      lapsed: this.listing.lapsedIds,
      leaving: this.runners.leavingLives,
      storeSilentMilliseconds: Math.round(this.listing.outages.silentMilliseconds(now)),
      daemons: this.daemonListing.registered,
      evacuated: this.evacuations.names,
    };
  }

  private logChange(fact: StoreFact, { revision, now }: ChangeMoment): void {
    this.keptDigest = undefined;
    this.changeLog.append(fact, revision, now);
  }

  private apply(fact: StoreFact, moment: ChangeMoment): void {
    const before = this.changes;
    this.take(fact, moment);
    const { revision = 0 } = fact;
    if (this.changes > before && revision > this.changedAtRevision)
      this.changedAtRevision = revision;
  }

  private take(fact: StoreFact, moment: ChangeMoment): void {
    const { listing } = this;
    switch (fact.kind) {
      case 'configuration':
        this.putConfiguration(fact.configuration);
        break;
      case 'runner':
        listing.put(fact.runner, moment);
        break;
      case 'runner_gone':
        if (fact.isCertain) listing.drop(fact.id, moment);
        else listing.remove(fact.id, moment);
        break;
      case 'runner_lapsed':
        listing.lapse(fact.id, moment);
        break;
      case 'runner_unreadable':
        listing.putUnreadable(fact.id, fact.message, moment);
        break;
      case 'daemon':
        this.daemonListing.put(fact.daemon, moment);
        break;
      case 'evacuation':
        this.unreadable.clear(fact.dataCentre);
        this.evacuations.put(fact.dataCentre, moment);
        break;
      case 'evacuation_over':
        this.evacuations.remove(fact.dataCentre, moment);
        break;
      case 'evacuation_unreadable':
        this.unreadable.report(fact.dataCentre, fact.message);
        break;
      case 'secret':
        this.secret = fact.secret;
        break;
      case 'warm_places':
        this.listener.warmPlacesKept(fact.places);
        break;
      case 'quarantine':
        this.listener.quarantineKept(fact.page);
        break;
      case 'daemon_gone':
        this.daemonListing.remove(fact.name, moment);
        break;
      default:
        this.unreadable.report(fact.key, fact.message);
    }
  }

  private putConfiguration(configuration: RoutingConfiguration): void {
    if (this.table && configuration.version <= this.table.configuration.version) return;
    this.changes += 1;
    this.table = new RouteTable({ configuration });
    this.listener.configurationChanged(configuration);
  }
}
