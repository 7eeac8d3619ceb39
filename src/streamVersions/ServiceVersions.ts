/**
 * The software versions that the runners of each service have had lately.
 */
import type { Runner } from '../runners/Runner.js';

/** What is known of one service. */
interface ServiceHistory {
  /** When the first runner of the service was seen, monotonic ms. */
  readonly since: number;
  /** When a runner of each version was last seen, monotonic ms. */
  readonly seenAt: Map<string, number>;
}

/** Keeps the versions of runners that have left for some time, since streams that they began may be taken up again. */
export class ServiceVersions {
  private readonly services = new Map<string, ServiceHistory>();

  /**
   * @param runners - all listed runners.
   * @param now - monotonic ms.
   */
  see(runners: readonly Runner[], now: number): void {
    for (const { entry, softwareVersion } of runners)
      this.note(entry.service, softwareVersion, now);
  }

  /**
   * @param service - name of a service.
   * @param softwareVersion - version of one of its runners.
   * @param now - monotonic ms.
   */
  note(service: string, softwareVersion: string, now: number): void {
    const known = this.services.get(service);
    const history = known ?? { since: now, seenAt: new Map<string, number>() };
    if (!known) this.services.set(service, history);
    history.seenAt.set(softwareVersion, now);
  }

  /**
   * @param service - name of a service.
   * @param from - monotonic ms.
   * @returns The only version of its runners since then, as far as is known; `undefined` if there are several or none.
   */
  onlyVersionOf(service: string, from: number): string | undefined {
    const { seenAt } = this.services.get(service) ?? { seenAt: new Map<string, number>() };
    const versions = [...seenAt].filter(([, at]) => at >= from).map(([version]) => version);
    return versions.length === 1 ? versions[0] : undefined;
  }

  /**
   * @param service - name of a service.
   * @param from - monotonic ms.
   * @returns Whether its runners have been known since then.
   */
  isKnownSince(service: string, from: number): boolean {
    const history = this.services.get(service);
    return history !== undefined && history.since <= from;
  }
}
