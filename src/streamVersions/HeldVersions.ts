/**
 * Tells whether streams may begin at a version, and logs how long they may not.
 */
import { forwardingLogEvents } from '../forwarding/forwardingFeature.js';
import { BurstLog } from '../logging/BurstLog.js';
import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import type { BeginVerdict, ServiceVersions } from './ServiceVersions.js';

/** Options of {@link HeldVersions}. */
export interface HeldVersionsOptions {
  clock: Clock;
  log: Log;
  versions: Pick<ServiceVersions, 'beginVerdictOf'>;
}

/** A version at which no stream begins. */
interface HeldVersion {
  readonly service: string;
  readonly softwareVersion: string;
  /** When the first stream could not begin there, monotonic ms. */
  readonly heldAt: number;
}

/** Owns the versions that are held back. */
export class HeldVersions {
  private readonly options: HeldVersionsOptions;

  private readonly log: BurstLog;

  private readonly held = new Map<string, HeldVersion>();

  /**
   * @param options - the versions of all services, and the log.
   */
  constructor(options: HeldVersionsOptions) {
    this.options = options;
    this.log = new BurstLog(options);
  }

  /**
   * @param service - name of a service.
   * @param softwareVersion - version of one of its runners, at which a stream is to begin.
   * @returns Whether it may, see {@link ServiceVersions.mayBegin}.
   */
  mayBegin(service: string, softwareVersion: string): boolean {
    const verdict = this.verdictOf(service, softwareVersion);
    if (verdict !== 'held') return true;
    const key = JSON.stringify([service, softwareVersion]);
    if (this.held.has(key)) return false;
    this.held.set(key, { service, softwareVersion, heldAt: this.now });
    this.log.write(forwardingLogEvents.versionHeld, { service, softwareVersion });
    return false;
  }

  /** Logs which versions are held back no longer. */
  look(): void {
    for (const [key, { service, softwareVersion, heldAt }] of this.held) {
      const cause = this.verdictOf(service, softwareVersion);
      if (cause === 'held') continue;
      this.held.delete(key);
      const milliseconds = Math.round(this.now - heldAt);
      const fields = { service, softwareVersion, cause, milliseconds };
      this.log.write(forwardingLogEvents.versionReleased, fields);
    }
  }

  private get now(): number {
    return this.options.clock.monotonicMilliseconds();
  }

  private verdictOf(service: string, softwareVersion: string): BeginVerdict {
    return this.options.versions.beginVerdictOf(service, softwareVersion, this.now);
  }
}
