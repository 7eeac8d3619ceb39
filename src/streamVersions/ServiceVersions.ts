/**
 * The software versions that the runners of each service have had lately: those that this daemon has seen, and those that
 * the fleet's history in the store names.
 */
import type { Runner } from '../runners/Runner.js';
import type { SavedHistory, VersionHistory } from './streamVersionTypes.js';
import type { SeenVersion } from './takeUpDecision.js';

/** What is known of one version. */
interface KnownVersion {
  /** When a runner of this version was last known to serve, monotonic ms. */
  seenAt: number;
  /** When this daemon first heard of it, or of its return, monotonic ms. */
  heardAt: number;
  readonly isNewSinceStart: boolean;
}

/** What is known of one service. */
interface ServiceHistory {
  /** Since when no version of the service can have been missed, monotonic ms. */
  since: number;
  readonly versions: Map<string, KnownVersion>;
}

/** A moment on both clocks, in ms. */
export interface Moment {
  readonly monotonic: number;
  readonly wall: number;
}

/**
 * Whether streams may begin at a version. `saved`: the store names it; `no_history`: the store names no version of the
 * service; `held_too_long`: the store has not named it for longer than streams are held back; `held`: they may not.
 */
export type BeginVerdict = 'saved' | 'no_history' | 'held_too_long' | 'held';

/** Options of {@link ServiceVersions}. */
export interface ServiceVersionsOptions {
  /** When this daemon started. */
  startedAt: Moment;
}

/** How long no stream begins at a version that the store's history does not name, in ms, while another version serves. */
const HOLD_MILLISECONDS = 12_000;

/**
 * Age up to which a saved history names all versions at which streams have begun, in ms: less than the hold, since not all
 * daemons hear of a version at the same moment.
 */
const COMPLETE_MILLISECONDS = 9_000;

/** Age at which the history is saved again although nothing has changed, in ms, so that it counts as complete. */
const RENEWAL_MILLISECONDS = 3_000;

/**
 * How long after its start a daemon without a complete history does not know at which versions the streams began that
 * callers take up, in ms: as long as callers come back with streams from before.
 */
const RECOVERY_MILLISECONDS = 10_000;

/** Keeps the versions of runners that have left for some time, since streams that they began may be taken up again. */
export class ServiceVersions {
  private readonly services = new Map<string, ServiceHistory>();

  /** Versions that have runners now, by service. */
  private present: ReadonlyMap<string, ReadonlySet<string>> = new Map();

  /** The history as the store has it, as far as is known. */
  private saved: SavedHistory = { versions: new Map(), completeAt: 0 };

  private readonly startedAt: Moment;

  private isLoaded = false;

  /** The history as it was when this daemon started; `undefined` if none was read before the list of runners. */
  private firstSaved: SavedHistory | undefined;

  /** Whether a version has appeared since {@link takeNews}. */
  private hasNews = false;

  /**
   * @param options - when this daemon started.
   */
  constructor({ startedAt }: ServiceVersionsOptions) {
    this.startedAt = startedAt;
  }

  /** @returns Whether the list of runners, and with it the history, has been read. */
  get isKnown(): boolean {
    return this.isLoaded;
  }

  /** @returns Whether the history, as it was when this daemon started, named all versions at which streams had begun. */
  get wasCompleteAtStart(): boolean {
    const { completeAt = Number.NEGATIVE_INFINITY } = this.firstSaved ?? {};
    return Math.abs(this.startedAt.wall - completeAt) < COMPLETE_MILLISECONDS;
  }

  /** @returns Age of the saved history when this daemon started, in ms; `undefined` if it does not say. */
  get savedAgeAtStart(): number | undefined {
    const { completeAt = 0 } = this.firstSaved ?? {};
    return completeAt === 0 ? undefined : Math.round(this.startedAt.wall - completeAt);
  }

  /** @returns The versions that the store named when this daemon started; `undefined` if it had no history. */
  get savedAtStart(): VersionHistory | undefined {
    return this.firstSaved?.versions;
  }

  /**
   * Takes the history as the store has it. At the start of a daemon, it comes before the first list of runners.
   *
   * @param saved - the versions of all services.
   * @param now - the current time.
   */
  load(saved: SavedHistory, now: Moment): void {
    this.saved = saved;
    if (!this.isLoaded) this.firstSaved = saved;
    for (const [service, versions] of saved.versions) {
      for (const [softwareVersion, goneAt] of versions) {
        // Clocks of instances differ, so that a time may seem to be in the future.
        const age = goneAt === 0 ? 0 : Math.max(0, now.wall - goneAt);
        this.noteAt(service, softwareVersion, now.monotonic - age, this.isLoaded);
      }
      // The history covers the time before the start of this daemon.
      if (!this.isLoaded) this.serviceOf(service, now.monotonic).since = Number.NEGATIVE_INFINITY;
    }
  }

  /**
   * @param runners - all listed runners.
   * @param now - monotonic ms.
   */
  see(runners: readonly Runner[], now: number): void {
    const present = new Map<string, Set<string>>();
    for (const { entry, softwareVersion } of runners) {
      const versions = present.get(entry.service) ?? new Set();
      present.set(entry.service, versions.add(softwareVersion));
    }
    for (const [service, versions] of present) {
      // A service that the history does not name may have had any version before the start of this daemon.
      const isNew = this.saved.versions.has(service) || this.isKnownSince(service, now - 1);
      for (const version of versions) {
        const isBack = !this.isPresent(service, version);
        const known = this.noteAt(service, version, now, isNew);
        if (isBack) known.heardAt = now;
      }
    }
    this.present = present;
    if (runners.length > 0) this.isLoaded = true;
  }

  /**
   * @param service - name of a service.
   * @param softwareVersion - version of one of its runners.
   * @param now - monotonic ms.
   */
  note(service: string, softwareVersion: string, now: number): void {
    this.noteAt(service, softwareVersion, now, this.isLoaded);
  }

  /** @returns Whether a version has appeared, after the first list of runners, since this was last asked. */
  takeNews(): boolean {
    const { hasNews } = this;
    this.hasNews = false;
    return hasNews;
  }

  /**
   * @param service - name of a service.
   * @param from - monotonic ms.
   * @returns All versions that it has had since then, as far as is known.
   */
  versionsOf(service: string, from: number): SeenVersion[] {
    const versions = this.services.get(service)?.versions ?? new Map<string, KnownVersion>();
    return [...versions]
      .filter(([, { seenAt }]) => seenAt >= from)
      .map(([softwareVersion, { isNewSinceStart }]) => ({
        softwareVersion,
        // A history that lacks a version says nothing of when that version came.
        isNewSinceStart: isNewSinceStart && this.wasCompleteAtStart,
      }));
  }

  /**
   * @param service - name of a service.
   * @param from - monotonic ms.
   * @returns The only version of its runners since then, as far as is known; `undefined` if there are several or none.
   */
  onlyVersionOf(service: string, from: number): string | undefined {
    const versions = this.versionsOf(service, from);
    return versions.length === 1 ? versions[0]?.softwareVersion : undefined;
  }

  /**
   * @param service - name of a service.
   * @param from - monotonic ms.
   * @returns Whether all versions that it has had since then are known.
   */
  isKnownSince(service: string, from: number): boolean {
    const history = this.services.get(service);
    return history !== undefined && history.since <= from;
  }

  /**
   * @param from - monotonic ms.
   * @returns Whether any service has had several versions since then.
   */
  hasSeveral(from: number): boolean {
    return [...this.services.keys()].some((service) => this.versionsOf(service, from).length > 1);
  }

  /**
   * Tells whether streams may begin at a version. While the store does not name it, nobody could tell after a loss of all
   * daemons that they had.
   *
   * @param service - name of a service.
   * @param softwareVersion - version of one of its runners.
   * @param now - monotonic ms.
   * @returns Whether the store names it as one that has runners, has no history of the service at all, or has not named it
   *   for too long.
   */
  mayBegin(service: string, softwareVersion: string, now: number): boolean {
    return this.beginVerdictOf(service, softwareVersion, now) !== 'held';
  }

  /**
   * @param service - name of a service.
   * @param softwareVersion - version of one of its runners.
   * @param now - monotonic ms.
   * @returns Whether streams may begin there, and why.
   */
  beginVerdictOf(service: string, softwareVersion: string, now: number): BeginVerdict {
    const saved = this.saved.versions.get(service);
    if (!saved) return 'no_history';
    if (saved.get(softwareVersion) === 0) return 'saved';
    const heardAt = this.services.get(service)?.versions.get(softwareVersion)?.heardAt ?? now;
    return now - heardAt >= HOLD_MILLISECONDS ? 'held_too_long' : 'held';
  }

  /**
   * @param saved - what this daemon has just saved to the store.
   */
  recordSaved(saved: SavedHistory): void {
    this.saved = saved;
  }

  /**
   * @param now - the current time.
   * @returns Whether the history has to be saved again so that it counts as complete.
   */
  isRenewalDue(now: Moment): boolean {
    // The clock of the instance that saved it last may be ahead.
    const age = Math.abs(now.wall - this.saved.completeAt);
    return this.knowsAll(now) && age >= RENEWAL_MILLISECONDS;
  }

  /**
   * Tells whether the history of the store lacks a version, or takes one for gone or present that is not. Another daemon may
   * have told of a version before a runner of it is in this daemon's list.
   *
   * @param from - monotonic ms; versions that have been gone for longer are not kept.
   * @returns Whether the history has to be saved again.
   */
  isSavedOutdated(from: number): boolean {
    return [...this.services].some(([service, { versions }]) => {
      const saved = this.saved.versions.get(service);
      return [...versions].some(([version, { seenAt }]) => {
        const goneAt = saved?.get(version);
        if (this.isPresent(service, version)) return goneAt !== 0;
        return goneAt === 0 || (goneAt === undefined && seenAt >= from);
      });
    });
  }

  /**
   * @param now - the current time.
   * @param retentionMilliseconds - how long versions without runners are kept.
   * @returns The history to save.
   */
  export(now: Moment, retentionMilliseconds: number): SavedHistory {
    const byService = new Map<string, Map<string, number>>();
    for (const [service, { versions }] of this.services) {
      const kept = new Map<string, number>();
      for (const [version, { seenAt }] of versions) {
        const age = now.monotonic - seenAt;
        if (this.isPresent(service, version)) kept.set(version, 0);
        else if (age <= retentionMilliseconds) kept.set(version, Math.round(now.wall - age));
      }
      if (kept.size > 0) byService.set(service, kept);
    }
    return { versions: byService, completeAt: this.knowsAll(now) ? now.wall : 0 };
  }

  /** Whether no stream can be taken up that began at a version that this daemon does not know. */
  private knowsAll({ monotonic }: Moment): boolean {
    return this.wasCompleteAtStart || monotonic - this.startedAt.monotonic >= RECOVERY_MILLISECONDS;
  }

  private isPresent(service: string, softwareVersion: string): boolean {
    return this.present.get(service)?.has(softwareVersion) === true;
  }

  private serviceOf(service: string, now: number): ServiceHistory {
    const known = this.services.get(service);
    if (known) return known;
    const history = { since: now, versions: new Map<string, KnownVersion>() };
    this.services.set(service, history);
    return history;
  }

  private noteAt(
    service: string,
    softwareVersion: string,
    at: number,
    isNewSinceStart: boolean,
  ): KnownVersion {
    const { versions } = this.serviceOf(service, at);
    const known = versions.get(softwareVersion);
    if (known) {
      known.seenAt = Math.max(known.seenAt, at);
      return known;
    }
    const added = { seenAt: at, heardAt: at, isNewSinceStart };
    versions.set(softwareVersion, added);
    this.hasNews ||= this.isLoaded;
    return added;
  }
}
