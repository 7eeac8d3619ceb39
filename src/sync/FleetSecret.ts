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

/** Options of a {@link FleetSecret}. */
export interface FleetSecretOptions {
  store: Pick<FleetStore, 'proposeSecret'>;
  clock: Clock;
  log: Log;
}

/** Proposes one where there is none. */
export class FleetSecret {
  private readonly options: FleetSecretOptions;

  private proposedAt = Number.NEGATIVE_INFINITY;

  /**
   * @param options - where it is kept.
   */
  constructor(options: FleetSecretOptions) {
    this.options = options;
  }

  /**
   * The store keeps the first proposal; what it kept comes with the next changes.
   *
   * @param known - the secret, once the store has told it.
   */
  ensure(known: string | undefined): void {
    const { store, clock, log } = this.options;
    const now = clock.monotonicMilliseconds();
    if (known !== undefined || now - this.proposedAt < PROPOSAL_MILLISECONDS) return;
    this.proposedAt = now;
    const secret = randomBytes(SECRET_BYTES).toString('base64');
    store.proposeSecret(secret).catch((error: Error) => {
      const fields = { during: 'secret', error: error.message };
      log.write(syncLogEvents.registrationFailed, fields);
    });
  }
}
