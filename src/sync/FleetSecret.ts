/**
 * Sees to it that the fleet has a secret by which its daemons know each other's messages.
 */
import { randomBytes } from 'node:crypto';

import type { Log } from '../logging/Log.js';
import type { Clock } from '../time/Clock.js';
import type { FleetStore } from './FleetStore.js';
import { syncLogEvents } from './syncFeature.js';

/** As hard to guess as the seal of a message. */
const SECRET_BYTES = 24;

/** Between proposals while the store does not take one, in ms. */
const PROPOSAL_MILLISECONDS = 2_000;

/** The first daemon of the list proposes; without a secret for this long any daemon does, in ms. */
const PATIENCE_MILLISECONDS = 4_000;

/** Options of a {@link FleetSecret}. */
export interface FleetSecretOptions {
  store: Pick<FleetStore, 'proposeSecret'>;
  clock: Clock;
  log: Log;
}

/** Proposes one where there is none. */
export class FleetSecret {
  private readonly options: FleetSecretOptions;

  /** Since when the store is known to hold none, monotonic ms. */
  private missingSince: number | undefined;

  private proposedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param options - where it is kept.
   */
  constructor(options: FleetSecretOptions) {
    this.options = options;
  }

  /**
   * The store keeps the first proposal; what it kept comes with the next changes. Where all daemons of a fleet start at
   * once each would propose one: 195 writes for one secret.
   *
   * @param known - the secret, once the store has told it.
   * @param isFirst - whether this daemon is the first of those that are listed.
   */
  ensure(known: string | undefined, isFirst: () => boolean): void {
    if (known !== undefined) return;
    const { store, clock, log } = this.options;
    const now = clock.monotonicMilliseconds();
    this.missingSince ??= now;
    const isOverdue = now - this.missingSince >= PATIENCE_MILLISECONDS;
    if ((!isOverdue && !isFirst()) || now - this.proposedAt < PROPOSAL_MILLISECONDS) return;
    this.proposedAt = now;
    const secret = randomBytes(SECRET_BYTES).toString('base64');
    store.proposeSecret(secret).catch((error: Error) => {
      const fields = { during: 'secret', error: error.message };
      log.write(syncLogEvents.registrationFailed, fields);
    });
  }
}
